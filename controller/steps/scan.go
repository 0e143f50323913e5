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

// partsPage is the number of steps listed at a time.
const partsPage = 1000

// scan looks for steps whose owner is gone, and takes over those that fall to
// this instance.
func (c *Controller) scan(ctx context.Context) {
	if !c.o.Synced() || c.isLeaving() || !c.fits() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for after := ""; ; {
		ids, err := c.o.Steps.Parts(ctx, after, partsPage)
		if err != nil {
			c.o.Log.Debug("steps not listed", "error", err)
			return
		}
		for _, id := range ids {
			c.look(ctx, id)
			after = id
		}
		if len(ids) < partsPage {
			break
		}
	}
	c.sweep(ctx)
}

// look reads a step whose owner is not known or gone.
func (c *Controller) look(ctx context.Context, id string) {
	c.mu.Lock()
	_, closed := c.closed[id]
	own, seen := c.known[id]
	busy := c.runners[id] != nil || c.accepting[id]
	c.mu.Unlock()
	if closed || busy || seen && c.alive(own) && !c.leaves(own) {
		return
	}
	t := c.table(id)
	s, err := readState(ctx, t)
	if err != nil {
		c.o.Log.Debug("step not read", "step", id, "error", err)
		return
	}
	c.note(id, s)
	if !s.accepted() || s.ended || c.alive(s.owner) || c.successor(id) != c.o.Self {
		return
	}
	c.takeOver(ctx, id, t, s)
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
	c.known[id] = s.owner
}

// alive reports whether an owner is there. This instance's own earlier
// processes are not, nor is what this process does not run any more.
func (c *Controller) alive(o owner) bool {
	if o.Instance == c.o.Self {
		return false
	}
	m, ok := c.o.Views.Load().Members[o.Instance]
	return ok && m.Incarnation == o.Incarnation
}

// leaves reports whether an owner is about to give its steps away.
func (c *Controller) leaves(o owner) bool {
	return c.o.Views.Load().Members[o.Instance].Leaving
}

// fits reports whether this instance is one of those that steps fall to.
func (c *Controller) fits() bool {
	return slices.ContainsFunc(c.o.Views.Load().Fitting(), func(m view.Member) bool { return m.Name == c.o.Self })
}

// successor names the instance that a step without an owner falls to: all that
// see the same members name the same one.
func (c *Controller) successor(id string) string {
	var names []string
	for _, m := range c.o.Views.Load().Fitting() {
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

// takeOver makes this instance the owner and goes on from the rows.
func (c *Controller) takeOver(ctx context.Context, id string, t infra.Table, s state) {
	began := c.o.Clock.Now()
	if err := t.Commit(ctx, infra.PutJSON(ownerKey, s.ownerVersion, c.self())); err != nil {
		c.o.Log.Info("step not taken over", "step", id, "owner", s.owner.Instance, "error", err)
		return
	}
	l, err := load(ctx, t, s.head)
	if err != nil {
		c.o.Log.Warn("step taken over and not read", "step", id, "error", err)
		return
	}
	c.o.Log.Info("step taken over", "step", id, "from", s.owner.Instance, "incarnation", s.owner.Incarnation,
		"results", len(l.results), "saved", len(l.saved), "took", c.o.Clock.Now()-began)
	r := newRunner(c, l.step, t, s.ownerVersion+1, l.results)
	r.saved = l.saved
	c.begin(r)
}

// loaded is a step as its rows tell it.
type loaded struct {
	step    *durable.Step
	results []durable.Result
	// saved holds the versions of the rows of unfinished samples.
	saved map[string]uint64
}

// load reads a step. Nothing is written to it meanwhile by anybody else.
func load(ctx context.Context, t infra.Table, h head) (loaded, error) {
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
	return loaded{durable.New(spec, results, saved), results, versions}, nil
}

// endpointsOf returns the engines of a service as a step sees them.
func endpointsOf(v *view.View, spec durable.Spec) []durable.Endpoint {
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
		})
	}
	return list
}

// unixMillis returns the time of day.
func unixMillis() int64 { return time.Now().UnixMilli() }
