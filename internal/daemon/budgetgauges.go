package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/membudget"
)

// budgetGauges exports the memory that requests hold as metrics, and logs refusals,
// at most one line per gaugePeriod.
type budgetGauges struct {
	budget *membudget.Budget
	scope  tally.Scope
	log    *slog.Logger
}

// Run updates the metrics until ctx ends.
func (g budgetGauges) Run(ctx context.Context) error {
	tick := time.NewTicker(gaugePeriod)
	defer tick.Stop()
	var last membudget.Stats
	for {
		select {
		case <-tick.C:
			last = g.update(last)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g budgetGauges) update(last membudget.Stats) membudget.Stats {
	s := g.budget.Stats()
	g.scope.Gauge("request_memory_bytes").Update(float64(s.Held))
	g.scope.Gauge("request_memory_large_bytes").Update(float64(s.Large))
	refused, evicted := s.Refused-last.Refused, s.Evicted-last.Evicted
	if refused+evicted > 0 {
		g.scope.Tagged(map[string]string{"reason": "full"}).Counter("request_memory_refused").Inc(refused)
		g.scope.Tagged(map[string]string{"reason": "evicted"}).Counter("request_memory_refused").Inc(evicted)
		g.log.Warn("memory for requests is full", "held_bytes", s.Held, "refused", refused, "evicted", evicted)
	}
	return s
}
