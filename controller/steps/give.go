package steps

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/view"
)

// mostAsked is how many instances are asked at a time to take a step over.
const mostAsked = 3

// giveAway has other instances take over all steps of this one, which can't reach
// the store. Where none does, for example as the store is down, they stay.
func (c *Controller) giveAway(ctx context.Context) {
	c.mu.Lock()
	list := slices.Collect(maps.Values(c.runners))
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range list {
		wg.Go(func() { c.give(ctx, r) })
	}
	wg.Wait()
}

// give asks some instances in turn to take a step over. What has come of the samples
// may be long, and goes only to one that says that it takes steps.
func (c *Controller) give(ctx context.Context, r *runner) {
	takers := c.takers(r.spec)
	for _, m := range takers[:min(len(takers), mostAsked)] {
		if takes, err := c.o.Hand.Alive(ctx, m); err != nil || !takes {
			continue
		}
		if c.giveTo(ctx, r, m) {
			return
		}
	}
}

// giveTo asks one instance to take a step over, and reports whether it has.
func (c *Controller) giveTo(ctx context.Context, r *runner, m view.Member) bool {
	began := c.o.Clock.Now()
	r.mu.Lock()
	saved := r.step.Unsaved(0)
	r.mu.Unlock()
	err := c.o.Hand.TakeOver(ctx, m, r.spec.ID, c.self(), saved)
	r.log.Info("step offered to another instance, as the store does not answer here", "to", m.Name,
		"saved", len(saved), "took", c.o.Clock.Now()-began, "error", err)
	if err != nil {
		return false
	}
	c.note(r.spec.ID, state{head: head{Spec: r.spec}, owner: Owner{m.Name, m.Incarnation}})
	r.end()
	return true
}

// takers lists the other fitting instances in an order of each step's own.
func (c *Controller) takers(spec durable.Spec) []view.Member {
	members := slices.DeleteFunc(c.o.Views.Load().Fitting(), func(m view.Member) bool {
		return m.Name == c.o.Self || m.PeerAddr == ""
	})
	slices.SortFunc(members, func(a, b view.Member) int {
		return cmp.Compare(xxhash.Sum64String(spec.ID+"/"+b.Name), xxhash.Sum64String(spec.ID+"/"+a.Name))
	})
	return members
}
