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

// maxTransferTargets is the number of instances that are tried per transfer of a
// step.
const maxTransferTargets = 3

// transferAll requests that other instances take over all steps of this instance,
// which cannot reach the store. A step that no instance takes over, for example
// because the store is down for all of them, stays here.
func (c *Controller) transferAll(ctx context.Context) {
	c.mu.Lock()
	list := slices.Collect(maps.Values(c.runners))
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range list {
		wg.Go(func() { c.transfer(ctx, r) })
	}
	wg.Wait()
}

// transfer requests a takeover of a step from up to maxTransferTargets instances,
// one after another. The state of the samples can be large, so it is sent only to
// an instance that has reported that it accepts takeovers.
func (c *Controller) transfer(ctx context.Context, r *runner) {
	targets := c.transferTargets(r.spec)
	for _, m := range targets[:min(len(targets), maxTransferTargets)] {
		if accepts, err := c.o.Handoff.Alive(ctx, m); err != nil || !accepts {
			continue
		}
		if c.transferTo(ctx, r, m) {
			return
		}
	}
}

// transferTo requests that one instance takes a step over, and reports whether it
// has done so.
func (c *Controller) transferTo(ctx context.Context, r *runner, m view.Member) bool {
	began := c.o.Clock.Now()
	r.mu.Lock()
	saved := r.step.Unsaved(0)
	r.mu.Unlock()
	err := c.o.Handoff.TakeOver(ctx, m, r.spec.ID, c.self(), saved)
	r.log.Info("step offered to another instance because the store does not respond here", "to", m.Name,
		"saved", len(saved), "took", c.o.Clock.Now()-began, "error", err)
	if err != nil {
		return false
	}
	c.recordOwner(r.spec.ID, state{head: head{Spec: r.spec}, headVersion: 1, owner: Owner{m.Name, m.Incarnation}, ownerVersion: r.ownerVersion})
	r.stopRunner()
	return true
}

// transferTargets returns the other eligible instances, in an order that differs
// between steps.
func (c *Controller) transferTargets(spec durable.Spec) []view.Member {
	members := slices.DeleteFunc(c.o.Views.Load().Eligible(), func(m view.Member) bool {
		return m.Name == c.o.Self || m.PeerAddr == ""
	})
	slices.SortFunc(members, func(a, b view.Member) int {
		return cmp.Compare(xxhash.Sum64String(spec.ID+"/"+b.Name), xxhash.Sum64String(spec.ID+"/"+a.Name))
	})
	return members
}
