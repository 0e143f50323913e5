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

const (
	// lockTimeout is how long a submission waits for a submission or claim of the
	// same step at this instance.
	lockTimeout = 300 * time.Millisecond
	// lockPollPeriod is the time between two attempts to lock a step.
	lockPollPeriod = 10 * time.Millisecond
)

// Accept stores a step and starts it. A nil error means that the step is stored, by
// this call or an earlier one. An error whose code means "not run" guarantees that
// no part of the step runs unless it is submitted again.
func (c *Controller) Accept(ctx context.Context, spec durable.Spec) error {
	if c.isLeaving() {
		return code.New(code.Draining, "")
	}
	if !c.lockStep(ctx, spec.ID) {
		return code.New(code.StepOwnerMoving, "the step is being submitted")
	}
	defer c.unlockStep(spec.ID)
	spec.MaxScoreFailures = c.maxScoreFailures(spec)
	ctx = infra.WithClass(ctx, infra.ClassCaller)
	sub := submission{c: c, spec: spec, t: c.table(spec.ID), tag: rand.Text()[:8], runner: c.runnerOf(spec)}
	err := sub.run(ctx)
	if err != nil {
		c.o.Log.Warn("step not accepted", "step", spec.ID, "team", spec.Team, "samples", len(spec.Samples), "error", err)
		return err
	}
	c.running.Go(func() { c.recordDemand(c.ctx, spec) })
	return nil
}

// maxScoreFailures returns the number of scoring service failures after which a
// sample is abandoned: the largest MaxAttempts of the scoring calls' routes, but
// at least the number of engine failures.
func (c *Controller) maxScoreFailures(spec durable.Spec) int {
	limit := spec.MaxFailures
	cfg := c.o.Views.Load().Config
	for _, s := range spec.Samples {
		if s.Scorer == nil {
			continue
		}
		if route, ok := cfg.RouteFor(s.Scorer.Host, s.Scorer.Path); ok {
			limit = max(limit, route.MaxAttempts)
		}
	}
	return limit
}

// lockStep locks a step for a submission. It waits for up to lockTimeout, because a
// claim that only reads the step is short.
func (c *Controller) lockStep(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	for !c.tryLockStep(id) {
		if sleep(ctx, lockPollPeriod) != nil {
			return false
		}
	}
	return true
}

// tryLockStep locks a step for a submission or claim at this instance. It returns
// false if the step is already locked.
func (c *Controller) tryLockStep(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lockedSteps[id] {
		return false
	}
	c.lockedSteps[id] = true
	return true
}

func (c *Controller) unlockStep(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lockedSteps, id)
}

// submission is one submission of a step.
type submission struct {
	c    *Controller
	spec durable.Spec
	t    infra.Table
	tag  string
	// runner is the instance that will run the step.
	runner view.Member
	// headVersion is the version of the row under headKey: zero, or that of the
	// row of a refused submission.
	headVersion uint64
	// outcomeUnknown reports that a write may still take effect.
	outcomeUnknown bool
}

func (sub *submission) run(ctx context.Context) error {
	for {
		err := sub.store(ctx)
		switch infra.EffectOf(err) {
		case effect.Done:
			sub.startRunner(1)
			return nil
		case effect.None:
			return code.Wrap(code.StoreDown, err, "")
		case effect.Unknown:
			sub.outcomeUnknown = true
		}
		again, err := sub.resolve(ctx)
		if !again || err != nil {
			return err
		}
	}
}

// store writes the step, in one transaction if it is small enough. Otherwise it
// writes the head and the owner last, because the step exists once the head is
// stored.
func (sub *submission) store(ctx context.Context) error {
	samples, err := encodeSamples(sub.tag, sub.spec.Samples)
	if err != nil {
		return err
	}
	h := head{Spec: sub.spec, Tag: sub.tag, Total: len(sub.spec.Samples), Sums: samples.sums}
	ops := append(samples.ops,
		infra.PutJSON(headKey, sub.headVersion, h),
		infra.PutJSON(ownerKey, 0, sub.owner()),
	)
	if numFittingOps(ops) == len(ops) {
		return commit(ctx, sub.t, ops)
	}
	last := len(ops) - 2
	if err := commitAll(ctx, sub.t, ops[:last]); err != nil {
		return errors.Join(infra.ErrUnavailable, err) // rows without a head have no effect
	}
	return commit(ctx, sub.t, ops[last:])
}

// resolve determines the outcome of the submission. If again is false and err is
// nil, the step is stored.
func (sub *submission) resolve(ctx context.Context) (again bool, err error) {
	var pause backoff
	for {
		s, err := sub.read(ctx)
		switch {
		case err == nil && s.accepted():
			return false, sub.handleExisting(s)
		case err == nil && !sub.outcomeUnknown:
			sub.headVersion = s.headVersion // of a refused submission
			return true, nil
		case err == nil:
			err = sub.refuse(ctx, s)
			if err == nil {
				return false, code.New(code.StoreDown, "the store's answer was lost")
			}
		}
		if ctx.Err() != nil || pause.wait(ctx) != nil {
			return false, code.Wrap(code.CommitUnknown, err, "")
		}
	}
}

func (sub *submission) read(ctx context.Context) (state, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return readState(ctx, sub.t)
}

// refuse writes a row under the head's key, so that the condition of a delayed
// transaction no longer holds.
func (sub *submission) refuse(ctx context.Context, s state) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return sub.t.Commit(ctx, infra.PutJSON(headKey, s.headVersion, head{Refused: true}))
}

// handleExisting is called when the step is stored. It starts the step if this
// submission stored it, and returns code.StepExists if the step belongs to another
// team.
func (sub *submission) handleExisting(s state) error {
	if s.head.Team != sub.spec.Team {
		return code.New(code.StepExists, "")
	}
	if s.head.Tag == sub.tag && s.owner == sub.owner() && !s.ended {
		sub.startRunner(s.ownerVersion)
	}
	return nil
}

func (sub *submission) startRunner(ownerVersion uint64) {
	sub.c.o.Log.Info("step accepted", "step", sub.spec.ID, "team", sub.spec.Team, "route", sub.spec.Route,
		"number", sub.spec.Number, "model", sub.spec.Model, "min_version", sub.spec.MinVersion,
		"samples", len(sub.spec.Samples), "runner", sub.runner.Name, "resolved", sub.outcomeUnknown)
	if sub.runner.Name != sub.c.o.Self {
		sub.c.running.Go(func() { sub.c.handOffAccepted(sub.runner, sub.spec.ID) })
		return
	}
	sub.c.startRunner(newRunner(sub.c, durable.New(sub.spec, nil, nil), sub.t, ownerVersion, nil))
}

func (sub *submission) owner() Owner { return Owner{sub.runner.Name, sub.runner.Incarnation} }

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

// endRow is the value of the row under endKey.
type endRow struct {
	By string `json:"by"`
}

// End ends a step of a team. It is idempotent.
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
	if cached := c.cachedSteps[id]; cached != nil {
		cached.ended.Store(true)
	}
	return nil
}

// writeEnd writes the row that ends a step, and retries until the row is stored or
// ctx ends.
func (c *Controller) writeEnd(ctx context.Context, id string) error {
	ctx = infra.WithClass(ctx, infra.ClassCaller)
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
