package steps

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
)

const (
	// batchDelay is the wait before a batch is stored, so that it includes further
	// results.
	batchDelay = 25 * time.Millisecond
	// savePeriod is the minimum time between two writes of unfinished samples, and
	// saveEvents the minimum number of new events for which a sample is saved.
	savePeriod = time.Second
	saveEvents = 12
)

// storeLoop stores results, and periodically saves the state of other samples.
func (r *runner) storeLoop(ctx context.Context) {
	savedAt := r.c.o.Clock.Now()
	for sleep(ctx, batchDelay) == nil {
		r.mu.Lock()
		b := r.step.Batch()
		r.mu.Unlock()
		if b != nil && !r.store(ctx, b) {
			return
		}
		if now := r.c.o.Clock.Now(); now-savedAt > savePeriod {
			savedAt = now
			r.save(ctx, saveEvents)
		}
	}
}

// store writes a batch and retries until it is stored. It returns false if the
// batch cannot be stored, for example because this instance no longer owns the
// step.
func (r *runner) store(ctx context.Context, b *durable.Batch) bool {
	began := r.c.o.Clock.Now()
	encoded, err := encodeBatch(b, r.ownerVersion)
	if err != nil {
		r.log.Error("results not encoded", "error", err)
		return false
	}
	if !r.storeTexts(ctx, encoded.texts) {
		return false
	}
	var pause backoff
	for {
		outcome := infra.EffectOf(r.commit(ctx, r.owned(encoded.results)))
		if outcome == effect.Conflict || outcome == effect.Unknown {
			outcome = r.resolve(ctx, b, encoded.results)
		}
		switch outcome {
		case effect.Done:
			r.batchStored(b, began)
			return true
		case effect.Conflict:
			return false
		}
		if pause.wait(ctx) != nil {
			return false
		}
	}
}

// storeTexts writes the texts that are stored separately, and retries until they are
// stored. It returns false if this instance no longer owns the step, or ctx ends.
func (r *runner) storeTexts(ctx context.Context, texts []infra.Op) bool {
	var pause backoff
	for len(texts) > 0 {
		n := numFittingOps(texts)
		err := r.commit(ctx, r.owned(texts[:n]))
		if err == nil {
			texts = texts[n:]
			continue
		}
		if infra.EffectOf(err) == effect.Conflict {
			if owns, err := r.checkOwner(ctx); err == nil && !owns {
				return false
			}
		}
		r.log.Debug("text not stored", "error", err)
		if pause.wait(ctx) != nil {
			return false
		}
	}
	return true
}

// owned returns ops with the condition that this instance still owns the step.
func (r *runner) owned(ops []infra.Op) []infra.Op {
	return append([]infra.Op{infra.CheckVersion(ownerKey, r.ownerVersion)}, ops...)
}

func (r *runner) commit(ctx context.Context, ops []infra.Op) error { return commit(ctx, r.t, ops) }

// resolve reads what a commit of a batch, which puts rows, has done: effect.Done if
// the batch is stored, effect.None if it is not and this instance still owns the step,
// and effect.Conflict if it never will be. It stops the runner in the last case, and
// returns effect.Unknown if ctx ends.
//
// A batch is written in one transaction, so it is stored only if all of its rows are
// there, byte for byte. The ID of a result proves nothing: another owner runs the same
// samples, and stores other results of them.
func (r *runner) resolve(ctx context.Context, b *durable.Batch, puts []infra.Op) effect.Outcome {
	var pause backoff
	for ctx.Err() == nil {
		rows, err := r.readRows(ctx, b.Position, len(puts))
		if err == nil && containsAll(rows, puts) {
			return effect.Done
		}
		var owns bool
		if err == nil {
			owns, err = r.checkOwner(ctx)
		}
		switch {
		case err == nil && !owns:
			return effect.Conflict
		case err == nil && len(rows) > 0:
			r.stopAsSuperseded(b.Position)
			return effect.Conflict
		case err == nil:
			return effect.None
		}
		r.log.Warn("outcome of a write still unknown", "position", b.Position, "error", err)
		if pause.wait(ctx) != nil {
			break
		}
	}
	return effect.Unknown
}

// readRows reads up to limit rows of results, starting with those of a position.
func (r *runner) readRows(ctx context.Context, position, limit int) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.t.List(ctx, resultPrefix, lastKeyBefore(position), limit)
}

// containsAll reports whether rows are those that ops write, in the same order.
func containsAll(rows []infra.Row, ops []infra.Op) bool {
	return slices.EqualFunc(rows, ops, func(row infra.Row, op infra.Op) bool {
		return row.Key == op.Key && bytes.Equal(row.Value, op.Value)
	})
}

// stopAsSuperseded stops the runner because other results than its own are stored at a
// position, although this instance is the owner: a runner that it stopped earlier wrote
// them late. The next scan claims the step again.
func (r *runner) stopAsSuperseded(position int) {
	r.log.Warn("other results are stored", "position", position)
	r.c.o.Scope.Counter("steps_superseded").Inc(1)
	r.c.forgetOwner(r.spec.ID)
	r.stopRunner()
}

// checkOwner reads whether this instance still owns the step. It stops the runner
// if the step has another owner, and finishes the step if it was ended.
func (r *runner) checkOwner(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := readState(ctx, r.t)
	if err != nil {
		return false, err
	}
	if s.ownerVersion != r.ownerVersion {
		r.stopAsReplaced(s)
		return false, nil
	}
	if s.ended {
		r.finish()
	}
	return true, nil
}

// stopAsReplaced stops the runner because the step has another owner, and notifies
// the new owner, which may not know that its write was executed.
func (r *runner) stopAsReplaced(s state) {
	r.log.Warn("step ownership lost", "owner", s.owner.Instance, "incarnation", s.owner.Incarnation)
	r.c.recordOwner(r.spec.ID, s)
	r.stopRunner()
	if r.c.ownerAlive(s.owner) {
		r.c.running.Go(func() {
			_ = r.c.requestAdoption(r.c.ctx, r.spec.ID, s.owner) // the step is found again if it is lost
		})
	}
}

func (r *runner) batchStored(b *durable.Batch, began time.Duration) {
	took := r.c.o.Clock.Now() - began
	r.c.o.Scope.Timer("step_commit").Record(took)
	r.log.Info("results stored", "position", b.Position, "results", len(b.Results), "took", took)
	r.mu.Lock()
	r.step.MarkStored()
	r.results = append(r.results, b.Results...)
	close(r.resultsAdded)
	r.resultsAdded = make(chan struct{})
	r.mu.Unlock()
	r.wakeUp()
}

// save writes the state of the unfinished samples that have at least minEvents new
// events or have failed since they were last saved.
func (r *runner) save(ctx context.Context, minEvents int) {
	r.mu.Lock()
	list := r.step.Unsaved(minEvents)
	r.mu.Unlock()
	for len(list) > 0 && ctx.Err() == nil {
		n, ops := r.saveOps(list)
		if err := r.commit(ctx, ops); err != nil {
			r.log.Debug("unfinished samples not saved", "error", err)
			r.readSavedVersions(ctx)
			return
		}
		r.markSaved(list[:n])
		list = list[n:]
	}
}

func (r *runner) markSaved(list []durable.Saved) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range list {
		r.step.MarkSaved(v)
		r.savedVersions[v.ID]++
	}
}

// readSavedVersions reads the versions of the rows of unfinished samples.
func (r *runner) readSavedVersions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, versions, err := readSaved(ctx, r.t)
	if err != nil {
		return // the next save fails too, and reads the versions again
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.savedVersions = versions
}

// saveOps returns the operations that save the leading samples of list that fit
// into one transaction, and the number of these samples. Samples that are too large
// for a row are skipped.
func (r *runner) saveOps(list []durable.Saved) (int, []infra.Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ops := []infra.Op{infra.CheckVersion(ownerKey, r.ownerVersion)}
	for n, v := range list {
		value, err := json.Marshal(v)
		if err != nil || len(value) > rowBytes {
			continue
		}
		ops = append(ops, infra.PutIf(savedPrefix+v.ID, r.savedVersions[v.ID], value))
		if numFittingOps(ops) < len(ops) {
			return n, ops[:len(ops)-1]
		}
	}
	return len(list), ops
}
