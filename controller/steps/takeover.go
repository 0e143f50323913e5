package steps

import (
	"context"
	"errors"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
)

var (
	// errReplaced is returned if another instance became the owner of a step.
	errReplaced = errors.New("steps: another instance became the owner")
	// errEnded is returned if a step has ended.
	errEnded = errors.New("steps: the step has ended")
)

// inBackground locks a step, calls claim, and unlocks the step. It does nothing if the
// step is locked. At most maxClaims calls run at a time.
func (c *Controller) inBackground(id string, claim func(ctx context.Context)) {
	if !c.tryLockStep(id) {
		return
	}
	c.running.Go(func() {
		defer c.unlockStep(id)
		select {
		case c.claims <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.claims }()
		ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
		defer cancel()
		claim(ctx)
	})
}

// readInBackground claims a step that is unknown or idle. These reads are separate from
// the claims of other steps, which do not wait for them: most of the steps that an
// instance does not know when it starts, or that their owner did not report, have ended.
// The step is not locked until its turn comes, so that another instance can request this
// one to run it meanwhile.
func (c *Controller) readInBackground(id string) {
	c.mu.Lock()
	queued := c.queuedReads[id]
	c.queuedReads[id] = true
	c.mu.Unlock()
	if queued {
		return
	}
	c.running.Go(func() {
		defer c.endRead(id)
		select {
		case c.reads <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.reads }()
		if !c.needsRead(id) || !c.tryLockStep(id) {
			return
		}
		defer c.unlockStep(id)
		ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
		defer cancel()
		c.claim(infra.WithClass(ctx, infra.ClassBulk), id, Owner{})
	})
}

func (c *Controller) endRead(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.queuedReads, id)
}

// claimInBackground calls claim in the background.
func (c *Controller) claimInBackground(id string, lost Owner) {
	c.inBackground(id, func(ctx context.Context) { c.claim(ctx, id, lost) })
}

// claim reads a step and, if the step has not ended, runs it in these cases:
//
//   - The owner is down or has released the step, or is the owner passed as lost,
//     and the step is assigned to this instance.
//   - This instance is the owner and does not run the step yet.
//
// The caller must have locked the step.
func (c *Controller) claim(ctx context.Context, id string, lost Owner) {
	if c.runner(id) != nil || c.isClosed(id) {
		return
	}
	t := c.table(id)
	s, err := c.readState(ctx, t)
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

// claimUnreported claims a step that no instance reports. An owner that is alive is
// requested to run the step first, because its report can be late. The caller must
// have locked the step.
func (c *Controller) claimUnreported(ctx context.Context, id string) {
	s, err := c.readState(ctx, c.table(id))
	if err != nil {
		c.o.Log.Debug("step not read", "step", id, "error", err)
		return
	}
	c.recordOwner(id, s)
	if s.ended || !s.accepted() {
		return
	}
	c.o.Log.Warn("no instance reports that it runs the step", "step", id, "owner", s.owner.Instance,
		"incarnation", s.owner.Incarnation)
	c.o.Scope.Counter("steps_unreported").Inc(1)
	if c.ownerAlive(s.owner) && c.requestAdoption(ctx, id, s.owner) == nil {
		return
	}
	c.claim(ctx, id, s.owner)
}

// requestAdoption requests the owner of a step to run it.
func (c *Controller) requestAdoption(ctx context.Context, id string, owner Owner) error {
	m := c.o.Views.Load().Members[owner.Instance]
	if m.Incarnation != owner.Incarnation {
		return errNotAdopted
	}
	err := c.o.Handoff.Adopt(ctx, m, id)
	c.o.Log.Info("owner requested to run its step", "step", id, "owner", owner.Instance,
		"incarnation", owner.Incarnation, "error", err)
	return err
}

func (c *Controller) readState(ctx context.Context, t infra.Table) (state, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return readState(ctx, t)
}

// adopt runs a step that was accepted with this instance as its owner. No other
// instance has owned the step, so the owner's row need not be written again to
// fence off an earlier owner.
func (c *Controller) adopt(ctx context.Context, id string, t infra.Table, s state) {
	l, err := c.loadOf(id, t, s.head).run(ctx, nil)
	if err != nil {
		c.o.Log.Info("step not adopted yet", "step", id, "error", err)
		return
	}
	if err := c.startLoaded(ctx, t, l, s.ownerVersion); err != nil {
		c.o.Log.Info("step not adopted", "step", id, "error", err)
		return
	}
	c.o.Log.Info("step adopted", "step", id, "results", len(l.results))
}

// takeOver makes this instance the owner of a step and continues from the step's
// rows. For samples in reported, it uses the state that the previous owner sent.
// After an error, the next scan reads the step again. The caller must have locked
// the step.
func (c *Controller) takeOver(ctx context.Context, id string, t infra.Table, s state, reported []durable.Saved) error {
	began := c.o.Clock.Now()
	version, err := c.writeOwner(ctx, t, s.ownerVersion)
	if err != nil {
		c.forgetOwner(id)
		c.o.Log.Info("step not taken over", "step", id, "owner", s.owner.Instance, "error", err,
			"took", c.o.Clock.Now()-began)
		return err
	}
	l, err := c.loadOwned(ctx, c.loadOf(id, t, s.head), reported)
	if err != nil {
		c.forgetOwner(id)
		c.o.Log.Warn("step taken over, but its rows could not be read", "step", id, "error", err)
		return err
	}
	if err := c.startLoaded(ctx, t, l, version); err != nil {
		c.o.Log.Info("step taken over, but not run", "step", id, "error", err, "took", c.o.Clock.Now()-began)
		return err
	}
	c.o.Log.Info("step taken over", "step", id, "from", s.owner.Instance, "incarnation", s.owner.Incarnation,
		"results", len(l.results), "saved", len(l.savedVersions), "told", len(reported), "took", c.o.Clock.Now()-began)
	return nil
}

// startLoaded runs a step that was loaded. It reads the step's state once more first,
// because loading can take seconds: a step that has ended meanwhile is not run, nor one
// that has another owner.
func (c *Controller) startLoaded(ctx context.Context, t infra.Table, l loadedStep, ownerVersion uint64) error {
	id := l.step.Spec().ID
	s, err := c.readStateUntil(ctx, t)
	if err != nil {
		return err
	}
	switch {
	case s.ended:
		c.recordOwner(id, s)
		return errEnded
	case s.ownerVersion != ownerVersion:
		c.recordOwner(id, s)
		return errReplaced
	}
	r := newRunner(c, l.step, t, ownerVersion, l.results)
	r.savedVersions = l.savedVersions
	c.startRunner(r)
	return nil
}

// readStateUntil reads the state of a step, and retries until ctx ends.
func (c *Controller) readStateUntil(ctx context.Context, t infra.Table) (state, error) {
	var pause backoff
	for {
		s, err := c.readState(ctx, t)
		if err == nil || pause.wait(ctx) != nil {
			return s, err
		}
	}
}

// writeOwner makes this instance the owner of a step whose owner's row has the given
// version, and returns the row's new version. If the outcome of a write is unknown,
// it reads the row, and writes again if the row is unchanged, until the outcome is
// known or ctx ends. It returns errReplaced if another instance wrote the row.
func (c *Controller) writeOwner(ctx context.Context, t infra.Table, version uint64) (uint64, error) {
	var pause backoff
	for {
		err := c.commitOwner(ctx, t, version)
		switch infra.EffectOf(err) {
		case effect.Done:
			return version + 1, nil
		case effect.None:
			return 0, err
		}
		s, readErr := c.readState(ctx, t)
		switch {
		case readErr != nil:
		case s.owner == c.self() && s.ownerVersion == version+1:
			return s.ownerVersion, nil
		case s.ownerVersion != version:
			return 0, errReplaced
		}
		if pause.wait(ctx) != nil {
			return 0, err
		}
	}
}

func (c *Controller) commitOwner(ctx context.Context, t infra.Table, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.Commit(ctx, infra.PutJSON(ownerKey, version, c.self()))
}

// loadOwned loads a step that this instance owns, and retries until ctx ends.
func (c *Controller) loadOwned(ctx context.Context, load *stepLoad, reported []durable.Saved) (loadedStep, error) {
	var pause backoff
	for {
		l, err := load.run(ctx, reported)
		if err == nil || pause.wait(ctx) != nil {
			return l, err
		}
	}
}
