package daemon

import (
	"context"
	"time"

	"github.com/cumincove/cumincove/membudget"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// gauges exports the work in progress at a Managed instance, and the age of its
// configuration and member list, as metrics.
type gauges struct{ m *Managed }

// Run updates the gauges until ctx ends.
func (g gauges) Run(ctx context.Context) error {
	tick := time.NewTicker(gaugePeriod)
	defer tick.Stop()
	budget, last := budgetGauges{g.m.budget, g.m.deps.Scope, g.m.deps.Log}, membudget.Stats{}
	for {
		select {
		case <-tick.C:
			g.update()
			last = budget.update(last)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g gauges) update() {
	m := g.m
	scope := m.deps.Scope
	now := m.deps.Clock.Now()
	if age, ok := m.intent.Age(now); ok {
		scope.Gauge("config_age_seconds").Update(age.Seconds())
	}
	v := m.views.Load()
	scope.Gauge("config_version").Update(float64(v.Config.Version))
	scope.Gauge("members").Update(float64(len(v.Members)))
	scope.Gauge("members_age_seconds").Update(m.presence.Age().Seconds())
	running, waiting := m.steps.Samples()
	scope.Gauge("steps_open").Update(float64(m.steps.OpenSteps()))
	scope.Gauge("samples_running").Update(float64(running))
	scope.Gauge("samples_waiting").Update(float64(waiting))
	scope.Gauge("requests_in_flight").Update(float64(m.inFlight.Load()))
}
