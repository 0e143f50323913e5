package steps

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

const (
	// partsPage is the number of steps listed at a time.
	partsPage = 1000
	// seldom is how many times as long instances that steps don't fall to take
	// between two looks.
	seldom = 10
)

// scan looks for steps whose owner is gone, and takes over those that fall to
// this instance.
func (c *Controller) scan(ctx context.Context) {
	if !c.o.Synced() || c.isLeaving() || !c.fits() && !c.scansSeldom() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	silent := silence{c: c, asked: map[Owner]bool{}}
	for after := ""; ; {
		ids, err := c.o.Steps.Parts(ctx, after, partsPage)
		if err != nil {
			c.o.Log.Debug("steps not listed", "error", err)
			return
		}
		for _, id := range ids {
			c.look(ctx, id, &silent)
			after = id
		}
		if len(ids) < partsPage {
			break
		}
	}
	c.sweep(ctx)
}

// look reads a step whose owner is not known or gone.
func (c *Controller) look(ctx context.Context, id string, silent *silence) {
	c.mu.Lock()
	_, closed := c.closed[id]
	k, seen := c.known[id]
	c.mu.Unlock()
	switch {
	case closed:
	case !seen || !c.alive(k.owner) || c.leaves(k.owner):
		c.claim(ctx, id, Owner{})
	case c.heirBut(id, k.spec, k.owner.Instance) == c.o.Self && silent.is(ctx, k.owner):
		c.claim(ctx, id, k.owner)
	}
}

// claim reads a step and takes it over if its owner is gone, or is the one that is
// known to be lost, and it falls to this instance, or if this instance is the owner
// and does not run it yet.
func (c *Controller) claim(ctx context.Context, id string, lost Owner) {
	if c.runner(id) != nil || !c.startAccepting(id) {
		return
	}
	defer c.stopAccepting(id)
	t := c.table(id)
	s, err := readState(ctx, t)
	if err != nil {
		c.o.Log.Debug("step not read", "step", id, "error", err)
		return
	}
	c.note(id, s)
	if !s.accepted() || s.ended || c.alive(s.owner) && s.owner != lost {
		return
	}
	if s.owner == c.self() && s.ownerVersion == 1 {
		c.adopt(ctx, id, t, s)
		return
	}
	if s.owner == c.self() || c.heirBut(id, s.head.Spec, lost.Instance) == c.o.Self {
		_ = c.takeOver(ctx, id, t, s, nil) // it has left its line; the next look tries again
	}
}

// sweep deletes the rows of a step that was closed long ago, some at a time. The
// state goes last, so that the rest is found again.
func (c *Controller) sweep(ctx context.Context) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	var id string
	for closed, at := range c.closed {
		if now-at > keepTime {
			id = closed
			break
		}
	}
	c.mu.Unlock()
	if id == "" {
		return
	}
	if c.successor(id) == c.o.Self {
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

// note remembers what a step's rows say.
func (c *Controller) note(id string, s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ended {
		c.closed[id] = c.o.Clock.Now()
		delete(c.known, id)
		return
	}
	s.head.Spec.Samples = nil
	c.known[id] = owned{s.owner, s.head.Spec}
}

// alive reports whether an owner is there. This instance's own earlier
// processes are not, nor is what this process does not run any more.
func (c *Controller) alive(o Owner) bool {
	if o.Instance == c.o.Self {
		return false
	}
	m, ok := c.o.Views.Load().Members[o.Instance]
	return ok && m.Incarnation == o.Incarnation
}

// leaves reports whether an owner is about to give its steps away.
func (c *Controller) leaves(o Owner) bool {
	return c.o.Views.Load().Members[o.Instance].Leaving
}

// fits reports whether this instance is one of those that steps fall to.
func (c *Controller) fits() bool {
	return slices.ContainsFunc(c.o.Views.Load().Fitting(), func(m view.Member) bool { return m.Name == c.o.Self })
}

// heirBut names the instance that a step without an owner falls to, if one of them
// is lost: all that see the same members name the same one.
func (c *Controller) heirBut(id string, spec durable.Spec, lost string) string {
	members := c.o.Views.Load().Fitting()
	members = slices.DeleteFunc(members, func(m view.Member) bool { return m.Name == lost })
	return cmp.Or(c.o.Hand.Runner(spec, members), firstOf(id, members))
}

// scansSeldom reports whether an instance that steps don't fall to looks all the same:
// a step may be its own by a write whose answer was lost.
func (c *Controller) scansSeldom() bool {
	c.scans++
	return c.scans%seldom == 0
}

// successor names an instance for a step of which only the ID is known.
func (c *Controller) successor(id string) string {
	return firstOf(id, c.o.Views.Load().Fitting())
}

func firstOf(id string, members []view.Member) string {
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	return firstBy(id, names)
}

// firstBy returns the name with the highest hash beside the ID.
func firstBy(id string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(id+"/"+a), xxhash.Sum64String(id+"/"+b))
	})
}

// adopt runs a step that was accepted for this instance. Nobody else has owned it,
// so there is nobody to be kept from writing.
func (c *Controller) adopt(ctx context.Context, id string, t infra.Table, s state) {
	l, err := load(ctx, t, s.head, nil)
	if err != nil {
		c.o.Log.Debug("step not adopted yet", "step", id, "error", err)
		return
	}
	c.o.Log.Info("step adopted", "step", id, "results", len(l.results))
	r := newRunner(c, l.step, t, s.ownerVersion, l.results)
	r.saved = l.saved
	c.begin(r)
}

// takeOver makes this instance the owner and goes on from the rows, or from what the
// owner before said of the samples, if it did.
func (c *Controller) takeOver(ctx context.Context, id string, t infra.Table, s state, told []durable.Saved) error {
	began := c.o.Clock.Now()
	if err := t.Commit(ctx, infra.PutJSON(ownerKey, s.ownerVersion, c.self())); err != nil {
		c.o.Log.Info("step not taken over", "step", id, "owner", s.owner.Instance, "error", err)
		return err
	}
	l, err := load(ctx, t, s.head, told)
	if err != nil {
		c.o.Log.Warn("step taken over and not read", "step", id, "error", err)
		return err
	}
	c.o.Log.Info("step taken over", "step", id, "from", s.owner.Instance, "incarnation", s.owner.Incarnation,
		"results", len(l.results), "saved", len(l.saved), "told", len(told), "took", c.o.Clock.Now()-began)
	r := newRunner(c, l.step, t, s.ownerVersion+1, l.results)
	r.saved = l.saved
	c.begin(r)
	return nil
}

// loaded is a step as its rows tell it.
type loaded struct {
	step    *durable.Step
	results []durable.Result
	// saved holds the versions of the rows of unfinished samples.
	saved map[string]uint64
}

// load reads a step. Nothing is written to it meanwhile by anybody else. What was
// told of samples is newer than their rows.
func load(ctx context.Context, t infra.Table, h head, told []durable.Saved) (loaded, error) {
	samples, err := readSamples(ctx, t, h)
	if err != nil {
		return loaded{}, err
	}
	results, err := readAllResults(ctx, t)
	if err != nil {
		return loaded{}, err
	}
	saved, versions, err := readSaved(ctx, t)
	if err != nil {
		return loaded{}, err
	}
	spec := h.Spec
	spec.Samples = samples
	return loaded{durable.New(spec, results, append(told, saved...)), results, versions}, nil
}

// endpointsOf returns the engines of a service as a step sees them.
func (c *Controller) endpointsOf(v *view.View, spec durable.Spec) []durable.Endpoint {
	var list []durable.Endpoint
	for _, e := range v.Endpoints[spec.Service] {
		if e.Leaving || e.Weights[spec.Model] == 0 {
			continue
		}
		inUse := int(e.Stats.InFlight.Load()) + e.Others()
		list = append(list, durable.Endpoint{
			Name:    e.Name,
			Version: e.Weights[spec.Model],
			Free:    e.Slots - inUse,
			Load:    float64(inUse) / float64(max(e.Slots, 1)),
			Warm:    c.o.Warm(e.Addr),
		})
	}
	return list
}

// unixMillis returns the time of day.
func unixMillis() int64 { return time.Now().UnixMilli() }
