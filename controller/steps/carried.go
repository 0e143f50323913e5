package steps

import (
	"slices"

	"github.com/cumincove/cumincove/durable"
)

const (
	// maxCarriedGroups bounds the groups that are remembered of a trainer, and
	// maxCarriedTrainers the trainers.
	maxCarriedGroups   = 256
	maxCarriedTrainers = 1024
)

// trainer identifies the steps of one trainer.
type trainer struct{ team, model string }

func trainerOf(spec durable.Spec) trainer { return trainer{spec.Team, spec.Model} }

// rememberIncomplete remembers the groups that a step did not complete, and forgets
// those that it completed. The trainer may submit the former again, under the same IDs.
// The steps of a model are run by the same instance while the members stay the same, so
// nothing is stored.
func (c *Controller) rememberIncomplete(spec durable.Spec, complete, incomplete []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.incomplete) >= maxCarriedTrainers {
		clear(c.incomplete)
	}
	list := slices.DeleteFunc(c.incomplete[trainerOf(spec)], func(id string) bool {
		return slices.Contains(complete, id) || slices.Contains(incomplete, id)
	})
	list = append(list, incomplete...)
	c.incomplete[trainerOf(spec)] = list[max(len(list)-maxCarriedGroups, 0):]
}

// incompleteGroups returns the groups that earlier steps of the same trainer did not
// complete at this instance.
func (c *Controller) incompleteGroups(spec durable.Spec) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := map[string]bool{}
	for _, id := range c.incomplete[trainerOf(spec)] {
		groups[id] = true
	}
	return groups
}

// markCarried marks the groups that were carried over from earlier steps.
func (r *runner) markCarried() {
	groups := r.c.incompleteGroups(r.spec)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updatePriority(r.c.o.Views.Load().Config)
	if n := r.step.SetCarried(groups); n > 0 {
		r.scope().Counter("groups_carried").Inc(int64(n))
	}
}
