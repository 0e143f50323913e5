package steps

import (
	"context"
	"encoding/json"
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
	ops, err := r.resultOps(b)
	if err != nil {
		r.log.Error("results not encoded", "error", err)
		return false
	}
	var pause backoff
	for {
		err := r.commit(ctx, ops)
		switch infra.EffectOf(err) {
		case effect.Done:
			r.batchStored(b, began)
			return true
		case effect.Conflict, effect.Unknown:
			done, owns := r.resolve(ctx, b)
			if done {
				r.batchStored(b, began)
				return true
			}
			if !owns {
				return false
			}
		}
		if pause.wait(ctx) != nil {
			return false
		}
	}
}

func (r *runner) resultOps(b *durable.Batch) ([]infra.Op, error) {
	ops := []infra.Op{infra.CheckVersion(ownerKey, r.ownerVersion)}
	for i, result := range b.Results {
		value, err := json.Marshal(result)
		if err != nil {
			return nil, err
		}
		ops = append(ops, split(resultKey(b.Position+i), value)...)
	}
	return ops, nil
}

func (r *runner) commit(ctx context.Context, ops []infra.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.t.Commit(ctx, ops...)
}

// resolve reads whether a batch is stored, and if not, whether this instance still
// owns the step. If another owner has stored a result at the batch's position, done
// and owns are both false.
func (r *runner) resolve(ctx context.Context, b *durable.Batch) (done, owns bool) {
	var pause backoff
	for ctx.Err() == nil {
		list, err := r.readBatch(ctx, b)
		if err == nil && len(list) > 0 {
			return list[0].ID == b.Results[0].ID, false
		}
		if err == nil {
			owns, err = r.checkOwner(ctx)
			if err == nil {
				return false, owns
			}
		}
		r.log.Warn("outcome of a write still unknown", "position", b.Position, "error", err)
		if pause.wait(ctx) != nil {
			break
		}
	}
	return false, false
}

func (r *runner) readBatch(ctx context.Context, b *durable.Batch) ([]durable.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return readResults(ctx, r.t, b.Position)
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
