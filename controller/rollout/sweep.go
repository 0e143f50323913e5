package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cumincove/cumincove/infra"
)

const (
	// sweepPeriod is the mean time between two rounds of the sweeper.
	sweepPeriod = time.Minute
	// sweepRounds is how often a step must be found without an owner at work
	// before its rows are removed. Owners write every refreshPeriod.
	sweepRounds = 30
	// sweepPage bounds the steps looked at in a round, sweepMax the steps
	// removed, and sweepMemory those remembered.
	sweepPage   = 50
	sweepMax    = 4
	sweepMemory = 10_000
)

// sweeper finds steps whose owner died and which no trainer asks for.
type sweeper struct {
	c     *Controller
	after string
	still map[string]stillRow
}

// stillRow is how often in a row a row was found with the same version.
type stillRow struct {
	version uint64
	rounds  int
}

// sweep runs rounds until the Controller stops. The first instance by name
// does the work; two at a time do no harm.
func (c *Controller) sweep() {
	s := &sweeper{c: c, still: map[string]stillRow{}}
	for {
		pause := sweepPeriod/2 + rand.N(sweepPeriod)
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(pause):
		}
		if !c.first() {
			clear(s.still)
			continue
		}
		if err := s.round(c.ctx); err != nil {
			c.o.Log.Debug("sweep of steps failed", "error", err)
		}
	}
}

// first reports whether no other instance has a lower name.
func (c *Controller) first() bool {
	for name, m := range c.o.Views.Load().Members {
		if name < c.o.Self && !m.Leaving {
			return false
		}
	}
	return true
}

// round looks at the next page of steps.
func (s *sweeper) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := s.c.rows.table.List(ctx, needPrefix, s.after, sweepPage)
	if err != nil {
		return err
	}
	s.after = ""
	if len(list) == sweepPage {
		s.after = list[len(list)-1].Key
	}
	removed := 0
	for _, row := range list {
		if removed < sweepMax && s.look(row) {
			removed++
			if err := s.remove(ctx, row.Key); err != nil {
				return err
			}
		}
	}
	return nil
}

// look reports whether a step has had no owner at work for long.
func (s *sweeper) look(row infra.Row) bool {
	if len(s.still) >= sweepMemory {
		clear(s.still)
	}
	have := s.still[row.Key]
	if have.version != row.Version {
		have = stillRow{version: row.Version}
	}
	have.rounds++
	s.still[row.Key] = have
	return have.rounds >= sweepRounds
}

func (s *sweeper) remove(ctx context.Context, key string) error {
	service, k, ok := parseNeedKey(key)
	if !ok {
		return nil
	}
	row, err := s.c.rows.table.Get(ctx, k.owner())
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return err
	}
	if err := s.c.rows.remove(ctx, k, service, row.Version); err != nil {
		return err
	}
	delete(s.still, key)
	s.c.o.Log.Info("step without an owner removed", "team", k.team, "step", k.id)
	s.c.o.Scope.Counter("rollout_steps_swept").Inc(1)
	return nil
}

func parseNeedKey(key string) (service string, k stepKey, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, needPrefix), "/")
	if len(parts) != 3 {
		return "", stepKey{}, false
	}
	return parts[0], stepKey{team: parts[1], id: parts[2]}, true
}
