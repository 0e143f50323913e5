package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/ledger"
)

// pollPeriod is the time between two polls for samples while a pull waits.
const pollPeriod = 100 * time.Millisecond

// pull returns samples, or none once wait has passed.
func (w *worker) pull(ctx context.Context, r pullRequest, wait time.Duration) (Samples, error) {
	timeout := time.After(wait)
	for {
		changed := w.watch()
		resp, err := w.tryPull(ctx, r)
		if err != nil || len(resp.Samples) > 0 || resp.Done {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return resp, ctx.Err()
		case <-timeout:
			return resp, nil
		case <-w.ctx.Done():
			return resp, code.New(code.StepOwnerMoving, "step %s", w.key.id)
		case <-changed:
		case <-time.After(pollPeriod):
		}
	}
}

// watch returns a channel that is closed when there may be new samples to pull.
func (w *worker) watch() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// tryPull returns the samples that can be delivered now. If there are any, it
// reads the newest weight version and checks staleness against it. It reads the
// version after the pull arrived, so that it can't miss one that was published
// before the pull.
func (w *worker) tryPull(ctx context.Context, r pullRequest) (Samples, error) {
	resp, err := w.pullNow(r)
	if err != nil || len(resp.Samples) == 0 {
		return resp, err
	}
	newest, err := w.c.o.NewestVersion(ctx, w.spec.Service)
	if err != nil && r.version == 0 {
		return Samples{}, code.Wrap(code.StoreDown, err,
			"the newest weight version can't be read; name it in the pull's version")
	}
	w.setNewestVersion(max(newest, r.version))
	resp, err = w.pullNow(r)
	if err != nil {
		return resp, err
	}
	w.checkDelivery(r, resp)
	return resp, nil
}

// pullNow pulls from the step without reading the newest weight version.
func (w *worker) pullNow(r pullRequest) (Samples, error) {
	now := w.c.o.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pulledAt = now
	d, err := w.step.Pull(now, r.cursor, r.max)
	switch {
	case errors.Is(err, ledger.ErrCursorBehind):
		return Samples{}, code.Wrap(code.CursorBehind, err, "")
	case err != nil:
		return Samples{}, code.Wrap(code.CursorAhead, err, "")
	}
	resp := Samples{
		Step:          w.key.id,
		Samples:       d.Samples,
		Next:          d.Next.String(),
		Done:          w.step.Complete(d.Next),
		Durable:       d.Durable,
		NewestVersion: w.step.Newest(),
		Failed:        w.step.Progress(now).Failed,
	}
	if resp.Done {
		w.doneAt = now
	}
	if w.step.Expired(now) && len(d.Samples) == 0 && !resp.Done && !w.step.ScoresPending() {
		return Samples{}, code.New(code.StepExpired, "step %s", w.key.id)
	}
	return resp, nil
}

// checkDelivery checks the invariants of every delivery.
func (w *worker) checkDelivery(r pullRequest, resp Samples) {
	delivered := make(map[ledger.Slot]bool, len(resp.Samples))
	for _, s := range resp.Samples {
		invariant.Check(invariant.SampleVersions, s.Attributed(), "step %s: %v", w.key.id, s.Slot)
		invariant.Check(invariant.SampleStaleness, s.Oldest()+w.spec.MaxStaleness >= resp.NewestVersion,
			"step %s: %v has version %d, newest is %d", w.key.id, s.Slot, s.Oldest(), resp.NewestVersion)
		invariant.Check(invariant.SampleOnce, !delivered[s.Slot] && !r.cursor.Has(s.Group),
			"step %s: %v delivered again", w.key.id, s.Slot)
		delivered[s.Slot] = true
	}
}
