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
	// sweepRounds is the number of rounds in which a step's need row must be
	// unchanged before the step is removed. Owners write that row every
	// refreshPeriod.
	sweepRounds = 30
	// sweepPage bounds the steps that are checked in a round, sweepMax the
	// steps that are removed in a round, and maxTrackedRows the rows in
	// sweeper.unchanged.
	sweepPage      = 50
	sweepMax       = 4
	maxTrackedRows = 10_000
)

// sweeper removes steps whose owner died and that no trainer pulls.
type sweeper struct {
	c *Controller
	// after is the key after which the next round starts.
	after string
	// unchanged counts the rounds since the last change of each need row, by key.
	unchanged map[string]unchangedRow
}

// unchangedRow counts the consecutive rounds in which a row had the same
// version.
type unchangedRow struct {
	version uint64
	rounds  int
}

// sweep runs rounds until the Controller stops. Only the instance whose name
// comes first sweeps; two instances that sweep at the same time do no harm.
func (c *Controller) sweep() {
	s := &sweeper{c: c, unchanged: map[string]unchangedRow{}}
	for {
		pause := sweepPeriod/2 + rand.N(sweepPeriod)
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(pause):
		}
		if !c.hasLowestName() {
			clear(s.unchanged)
			continue
		}
		if err := s.round(c.ctx); err != nil {
			c.o.Log.Debug("sweep of steps failed", "error", err)
		}
	}
}

// hasLowestName reports whether this instance has the lowest name of all
// members. It ignores other instances that are leaving.
func (c *Controller) hasLowestName() bool {
	for name, m := range c.o.Views.Load().Members {
		if name < c.o.Self && !m.Leaving {
			return false
		}
	}
	return true
}

// round checks the next page of steps.
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
		if removed < sweepMax && s.observe(row) {
			removed++
			if err := s.remove(ctx, row.Key); err != nil {
				return err
			}
		}
	}
	return nil
}

// observe counts a round for a need row, and reports whether the row was
// unchanged for sweepRounds rounds, which means that the step has no active
// owner.
func (s *sweeper) observe(row infra.Row) bool {
	if len(s.unchanged) >= maxTrackedRows {
		clear(s.unchanged)
	}
	count := s.unchanged[row.Key]
	if count.version != row.Version {
		count = unchangedRow{version: row.Version}
	}
	count.rounds++
	s.unchanged[row.Key] = count
	return count.rounds >= sweepRounds
}

// remove deletes the rows of the step that the need row at key belongs to.
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
	delete(s.unchanged, key)
	s.c.o.Log.Info("step without an owner removed", "team", k.team, "step", k.id)
	s.c.o.Scope.Counter("rollout_steps_swept").Inc(1)
	return nil
}

// parseNeedKey returns the service and the step of a need row.
func parseNeedKey(key string) (service string, k stepKey, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, needPrefix), "/")
	if len(parts) != 3 {
		return "", stepKey{}, false
	}
	return parts[0], stepKey{team: parts[1], id: parts[2]}, true
}
