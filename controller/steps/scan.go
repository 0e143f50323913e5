package steps

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/rendezvous"
	"github.com/cumincove/cumincove/view"
)

const (
	// stepsPage is the number of steps listed at a time.
	stepsPage = 1000
	// ineligibleScanInterval is the number of scan periods between two scans of an
	// instance that is not eligible for steps.
	ineligibleScanInterval = 10
)

// scan searches for steps that need another owner, and takes over those that are
// assigned to this instance.
func (c *Controller) scan(ctx context.Context) {
	if !c.o.MembersSynced() || c.isLeaving() || !c.isEligible() && !c.ineligibleScanDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prober := ownerProber{c: c, probed: map[Owner]bool{}}
	for after := ""; ; {
		ids, err := c.o.Steps.Parts(ctx, after, stepsPage)
		if err != nil {
			c.o.Log.Debug("steps not listed", "error", err)
			return
		}
		for _, id := range ids {
			c.checkStep(ctx, id, &prober)
			after = id
		}
		if len(ids) < stepsPage {
			break
		}
	}
	c.sweep(ctx)
}

// checkStep tries to claim a step if its owner is unknown, down, leaving or
// unresponsive.
func (c *Controller) checkStep(ctx context.Context, id string, prober *ownerProber) {
	c.mu.Lock()
	_, closed := c.closed[id]
	step, observed := c.stepOwners[id]
	c.mu.Unlock()
	switch {
	case closed:
	case !observed || !c.ownerAlive(step.owner) || c.ownerLeaving(step.owner):
		c.claim(ctx, id, Owner{})
	case c.successorExcept(id, step.spec, step.owner.Instance) == c.o.Self && prober.ownerLost(ctx, step.owner):
		c.claim(ctx, id, step.owner)
	}
}

// claim reads a step and, if the step has not ended, runs it in these cases:
//
//   - The owner is down or has released the step, or is the owner passed as lost,
//     and the step is assigned to this instance.
//   - This instance is the owner and does not run the step yet.
func (c *Controller) claim(ctx context.Context, id string, lost Owner) {
	if c.runner(id) != nil || !c.tryLockStep(id) {
		return
	}
	defer c.unlockStep(id)
	t := c.table(id)
	s, err := readState(ctx, t)
	if err != nil {
		c.o.Log.Debug("step not read", "step", id, "error", err)
		return
	}
	c.recordOwner(id, s)
	if !s.accepted() || s.ended || c.ownerAlive(s.owner) && s.owner != lost {
		return
	}
	if s.owner == c.self() && s.ownerVersion == 1 {
		c.adopt(ctx, id, t, s)
		return
	}
	if s.owner == c.self() || c.successorExcept(id, s.head.Spec, lost.Instance) == c.o.Self {
		_ = c.takeOver(ctx, id, t, s, nil) // takeOver logs the error; the next scan tries again
	}
}

// sweep deletes the rows of one step that has been in c.closed for more than
// rowRetention. The state rows are deleted last, so that an incomplete deletion is
// found again.
func (c *Controller) sweep(ctx context.Context) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	var id string
	for closed, at := range c.closed {
		if now-at > rowRetention {
			id = closed
			break
		}
	}
	c.mu.Unlock()
	if id == "" {
		return
	}
	if c.sweeperOf(id) == c.o.Self {
		if err := deleteStep(ctx, c.table(id)); err != nil {
			c.o.Log.Debug("step not deleted", "step", id, "error", err)
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closed, id)
}

// deleteStep removes all rows of a step.
func deleteStep(ctx context.Context, t infra.Table) error {
	for _, prefix := range []string{specPrefix, resultPrefix, savedPrefix, statePrefix} {
		rows, err := listAll(ctx, t, prefix)
		if err != nil {
			return err
		}
		var ops []infra.Op
		for _, row := range rows {
			ops = append(ops, infra.Delete(row.Key))
		}
		if err := commitAll(ctx, t, ops); err != nil {
			return err
		}
	}
	return nil
}

// recordOwner records the owner of a step, or that the step has ended, as read from
// its rows.
func (c *Controller) recordOwner(id string, s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ended {
		c.closed[id] = c.o.Clock.Now()
		delete(c.stepOwners, id)
		return
	}
	s.head.Spec.Samples = nil
	c.stepOwners[id] = ownedStep{s.owner, s.head.Spec}
}

// ownerAlive reports whether an owner is a current member. It returns false for
// this instance: the owner is then an earlier process of it, or this process does
// not run the step.
func (c *Controller) ownerAlive(o Owner) bool {
	if o.Instance == c.o.Self {
		return false
	}
	m, ok := c.o.Views.Load().Members[o.Instance]
	return ok && m.Incarnation == o.Incarnation
}

// ownerLeaving reports whether an owner is leaving and hands off its steps.
func (c *Controller) ownerLeaving(o Owner) bool {
	return c.o.Views.Load().Members[o.Instance].Leaving
}

// isEligible reports whether steps can be assigned to this instance.
func (c *Controller) isEligible() bool {
	return slices.ContainsFunc(c.o.Views.Load().Eligible(), func(m view.Member) bool { return m.Name == c.o.Self })
}

// successorExcept returns the name of the instance that a step without an owner is
// assigned to, other than the lost one. All instances with the same member list
// return the same name.
func (c *Controller) successorExcept(id string, spec durable.Spec, lost string) string {
	members := c.o.Views.Load().Eligible()
	members = slices.DeleteFunc(members, func(m view.Member) bool { return m.Name == lost })
	return cmp.Or(c.o.Handoff.Runner(spec, members), highestRanked(id, members))
}

// ineligibleScanDue reports whether this instance scans although it is not eligible
// for steps: it may own a step because of a write whose response was lost.
func (c *Controller) ineligibleScanDue() bool {
	c.ineligibleScans++
	return c.ineligibleScans%ineligibleScanInterval == 0
}

// sweeperOf returns the name of the instance that deletes the rows of a step.
// It depends only on the step's ID and the member list.
func (c *Controller) sweeperOf(id string) string {
	return highestRanked(id, c.o.Views.Load().Eligible())
}

// highestRanked returns the name of the member with the highest hash for the ID.
func highestRanked(id string, members []view.Member) string {
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	return rendezvous.Highest(id, names)
}

// adopt runs a step that was accepted with this instance as its owner. No other
// instance has owned the step, so the owner's row need not be written again to
// fence off an earlier owner.
func (c *Controller) adopt(ctx context.Context, id string, t infra.Table, s state) {
	l, err := load(ctx, t, s.head, nil)
	if err != nil {
		c.o.Log.Debug("step not adopted yet", "step", id, "error", err)
		return
	}
	c.o.Log.Info("step adopted", "step", id, "results", len(l.results))
	r := newRunner(c, l.step, t, s.ownerVersion, l.results)
	r.savedVersions = l.savedVersions
	c.startRunner(r)
}

// takeOver makes this instance the owner of a step and continues from the step's
// rows. For samples in reported, it uses the state that the previous owner sent.
func (c *Controller) takeOver(ctx context.Context, id string, t infra.Table, s state, reported []durable.Saved) error {
	began := c.o.Clock.Now()
	if err := t.Commit(ctx, infra.PutJSON(ownerKey, s.ownerVersion, c.self())); err != nil {
		c.o.Log.Info("step not taken over", "step", id, "owner", s.owner.Instance, "error", err)
		return err
	}
	l, err := load(ctx, t, s.head, reported)
	if err != nil {
		c.o.Log.Warn("step taken over, but its rows could not be read", "step", id, "error", err)
		return err
	}
	c.o.Log.Info("step taken over", "step", id, "from", s.owner.Instance, "incarnation", s.owner.Incarnation,
		"results", len(l.results), "saved", len(l.savedVersions), "told", len(reported), "took", c.o.Clock.Now()-began)
	r := newRunner(c, l.step, t, s.ownerVersion+1, l.results)
	r.savedVersions = l.savedVersions
	c.startRunner(r)
	return nil
}

// loadedStep is a step that was read from its rows.
type loadedStep struct {
	step    *durable.Step
	results []durable.Result
	// savedVersions contains the versions of the rows of unfinished samples, by
	// sample ID.
	savedVersions map[string]uint64
}

// load reads a step from its rows. No other instance writes to the step at the same
// time. The reported sample state is newer than the samples' rows and takes
// precedence.
func load(ctx context.Context, t infra.Table, h head, reported []durable.Saved) (loadedStep, error) {
	samples, err := readSamples(ctx, t, h)
	if err != nil {
		return loadedStep{}, err
	}
	results, err := readAllResults(ctx, t)
	if err != nil {
		return loadedStep{}, err
	}
	saved, versions, err := readSaved(ctx, t)
	if err != nil {
		return loadedStep{}, err
	}
	spec := h.Spec
	spec.Samples = samples
	return loadedStep{durable.New(spec, results, append(reported, saved...)), results, versions}, nil
}

// endpointsOf returns the endpoints of the step's service that have its model and
// are not leaving.
func (c *Controller) endpointsOf(v *view.View, spec durable.Spec) []durable.Endpoint {
	var list []durable.Endpoint
	for _, e := range v.Endpoints[spec.Service] {
		if e.Leaving || e.Weights[spec.Model] == 0 {
			continue
		}
		inUse := int(e.Stats.InFlight.Load()) + e.RemoteRequests()
		list = append(list, durable.Endpoint{
			Name:            e.Name,
			Version:         e.Weights[spec.Model],
			FreeSlots:       c.permitted(e, e.Slots-inUse),
			Load:            float64(inUse) / float64(max(e.Slots, 1)),
			IdleConnections: c.o.IdleConnections(e.Addr),
		})
	}
	return list
}

// unixMillis returns the current time in Unix milliseconds.
func unixMillis() int64 { return time.Now().UnixMilli() }
