package steps

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

// Accept stores a step and begins to run it. Nil means that the step is stored,
// by this call or an earlier one. An error that says "not run" means that
// nothing of it runs, and never will unless it is submitted again.
func (c *Controller) Accept(ctx context.Context, spec durable.Spec) error {
	if c.isLeaving() {
		return code.New(code.Draining, "")
	}
	if !c.startAccepting(spec.ID) {
		return code.New(code.StepOwnerMoving, "the step is being submitted")
	}
	defer c.stopAccepting(spec.ID)
	spec.MaxScoreFailures = c.scoreFailures(spec)
	a := acceptance{c: c, spec: spec, t: c.table(spec.ID), tag: rand.Text()[:8], runner: c.runnerOf(spec)}
	err := a.run(ctx)
	if err != nil {
		c.o.Log.Warn("step not accepted", "step", spec.ID, "team", spec.Team, "samples", len(spec.Samples), "error", err)
		return err
	}
	c.running.Go(func() { c.noteDemand(c.ctx, spec) })
	return nil
}

// scoreFailures returns how many failures of the scoring service make a sample
// unreachable: as many as the routes of its calls allow, but not fewer than
// those of the engine.
func (c *Controller) scoreFailures(spec durable.Spec) int {
	most := spec.MaxFailures
	cfg := c.o.Views.Load().Config
	for _, s := range spec.Samples {
		if s.Scorer == nil {
			continue
		}
		if route, ok := cfg.RouteFor(s.Scorer.Host, s.Scorer.Path); ok {
			most = max(most, route.MaxAttempts)
		}
	}
	return most
}

// startAccepting reports whether no other submission of the step is under way
// here.
func (c *Controller) startAccepting(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepting[id] {
		return false
	}
	c.accepting[id] = true
	return true
}

func (c *Controller) stopAccepting(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.accepting, id)
}

// acceptance is one submission of a step.
type acceptance struct {
	c    *Controller
	spec durable.Spec
	t    infra.Table
	tag  string
	// runner is the instance that is to run the step.
	runner view.Member
	// headVersion is that of the row in the head's place.
	headVersion uint64
	// unknown says that a write may still take effect.
	unknown bool
}

func (a *acceptance) run(ctx context.Context) error {
	for {
		err := a.store(ctx)
		switch infra.EffectOf(err) {
		case effect.Done:
			a.begin(1)
			return nil
		case effect.None:
			return code.Wrap(code.StoreDown, err, "")
		case effect.Unknown:
			a.unknown = true
		}
		again, err := a.resolve(ctx)
		if !again || err != nil {
			return err
		}
	}
}

// store writes the step, in one transaction unless it is too large for one. In
// that case the head, which counts, comes last.
func (a *acceptance) store(ctx context.Context) error {
	ops, err := specOps(a.tag, a.spec.Samples)
	if err != nil {
		return err
	}
	h := head{Spec: a.spec, Tag: a.tag, Total: len(a.spec.Samples)}
	ops = append(ops,
		infra.PutJSON(headKey, a.headVersion, h),
		infra.PutJSON(ownerKey, 0, a.owner()),
	)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fitting(ops) == len(ops) {
		return a.t.Commit(ctx, ops...)
	}
	last := len(ops) - 2
	if err := commitAll(ctx, a.t, ops[:last]); err != nil {
		return errors.Join(infra.ErrUnavailable, err) // without a head they are nothing
	}
	return a.t.Commit(ctx, ops[last:]...)
}

// resolve finds out what became of the submission: nil without again means that
// the step is there.
func (a *acceptance) resolve(ctx context.Context) (again bool, err error) {
	var pause backoff
	for {
		s, err := a.read(ctx)
		switch {
		case err == nil && s.accepted():
			return false, a.found(s)
		case err == nil && !a.unknown:
			a.headVersion = s.headVersion // of a refused submission
			return true, nil
		case err == nil:
			err = a.refuse(ctx, s)
			if err == nil {
				return false, code.New(code.StoreDown, "the store's answer was lost")
			}
		}
		if ctx.Err() != nil || pause.wait(ctx) != nil {
			return false, code.Wrap(code.CommitUnknown, err, "")
		}
	}
}

func (a *acceptance) read(ctx context.Context) (state, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return readState(ctx, a.t)
}

// refuse writes a row in the head's place, so that a delayed transaction finds
// its condition broken.
func (a *acceptance) refuse(ctx context.Context, s state) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.t.Commit(ctx, infra.PutJSON(headKey, s.headVersion, head{Refused: true}))
}

// found is called when the step is there.
func (a *acceptance) found(s state) error {
	if s.head.Team != a.spec.Team {
		return code.New(code.StepExists, "")
	}
	if s.head.Tag == a.tag && s.owner == a.owner() && !s.ended {
		a.begin(s.ownerVersion)
	}
	return nil
}

func (a *acceptance) begin(ownerVersion uint64) {
	a.c.o.Log.Info("step accepted", "step", a.spec.ID, "team", a.spec.Team, "route", a.spec.Route,
		"number", a.spec.Number, "model", a.spec.Model, "min_version", a.spec.MinVersion,
		"samples", len(a.spec.Samples), "runner", a.runner.Name, "resolved", a.unknown)
	if a.runner.Name != a.c.o.Self {
		a.c.running.Go(func() { a.c.hand(a.runner, a.spec.ID) })
		return
	}
	a.c.begin(newRunner(a.c, durable.New(a.spec, nil, nil), a.t, ownerVersion, nil))
}

func (a *acceptance) owner() Owner { return Owner{a.runner.Name, a.runner.Incarnation} }

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endRow is the row of that name.
type endRow struct {
	By string `json:"by"`
}

// End ends a step of a team. It may be repeated.
func (c *Controller) End(ctx context.Context, id, team string) error {
	s, err := c.lookup(ctx, id, team)
	if err != nil {
		return err
	}
	if !s.ended {
		if err := c.writeEnd(ctx, id); err != nil {
			return err
		}
	}
	if r := c.runner(id); r != nil {
		r.finish()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.views[id]; v != nil {
		v.ended.Store(true)
	}
	return nil
}

// writeEnd writes the row that ends a step, until it is there.
func (c *Controller) writeEnd(ctx context.Context, id string) error {
	value, err := json.Marshal(endRow{By: c.o.Self})
	if err != nil {
		return err
	}
	t := c.table(id)
	var pause backoff
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := t.Commit(call, infra.PutIf(endKey, 0, value))
		cancel()
		if err == nil || errors.Is(err, infra.ErrConflict) {
			c.o.Log.Info("step ended", "step", id)
			return nil
		}
		if pause.wait(ctx) != nil {
			return code.Wrap(code.CommitUnknown, err, "")
		}
	}
}
