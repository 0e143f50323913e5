package deduplication

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
)

const (
	// maxRecords is the maximum number of records that wait to be written.
	maxRecords = 8192
	// batchRecords is the maximum number of rows in one transaction.
	batchRecords = 64
	// retryMin and retryMax bound the wait after a failed call, which doubles
	// each time.
	retryMin = 250 * time.Millisecond
	retryMax = 30 * time.Second
	// shutdownTimeout bounds the writes at shutdown.
	shutdownTimeout = 5 * time.Second
)

// record is the outcome of one request that is not written yet.
type record struct {
	name   string
	finish *dedup.Finish
	// put is the write in progress.
	put dedup.Put
	// unbatched records are written in a transaction of their own.
	unbatched bool
	due       time.Time
	wait      time.Duration
}

// recorder writes records. A record that can't be written is lost, and its row
// continues to state that the request may have run.
type recorder struct {
	rows    rows
	o       Options
	queue   chan *record
	pending atomic.Int64 // records in queue and waiting
	waiting []*record    // records taken from the queue but not finished
}

func newRecorder(r rows, o Options) *recorder {
	return &recorder{rows: r, o: o, queue: make(chan *record, maxRecords)}
}

// add queues a record, or drops it if maxRecords are pending.
func (r *recorder) add(rec *record) {
	if r.pending.Add(1) > maxRecords {
		r.drop()
		return
	}
	r.queue <- rec // doesn't block: pending bounds the length of the queue
}

func (r *recorder) drop() {
	r.pending.Add(-1)
	r.o.Scope.Counter("dedup_records_lost").Inc(1)
}

// run writes records until ctx ends, and then the remaining ones within
// shutdownTimeout.
func (r *recorder) run(ctx context.Context) {
	t := time.NewTicker(retryMin)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		case rec := <-r.queue:
			r.waiting = append(r.waiting, rec)
		}
		r.writeDue(ctx)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	for r.pending.Load() > 0 && last.Err() == nil {
		r.writeDue(last)
		time.Sleep(retryMin / 10)
	}
}

// writeDue makes the next call of each record that is due.
func (r *recorder) writeDue(ctx context.Context) {
	for len(r.queue) > 0 {
		r.waiting = append(r.waiting, <-r.queue)
	}
	now := time.Now()
	due := r.waiting
	r.waiting = nil
	var batch []*record
	for _, rec := range due {
		if rec.due.After(now) {
			r.waiting = append(r.waiting, rec)
			continue
		}
		switch call := rec.finish.Next().(type) {
		case nil:
			r.drop()
		case dedup.ReadAt:
			r.read(ctx, rec, call)
		case dedup.Put:
			rec.put = call
			if rec.unbatched {
				r.write(ctx, []*record{rec})
				continue
			}
			if batch = append(batch, rec); len(batch) == batchRecords {
				r.write(ctx, batch)
				batch = nil
			}
		}
	}
	r.write(ctx, batch)
}

func (r *recorder) read(ctx context.Context, rec *record, call dedup.ReadAt) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := r.rows.readRow(ctx, call.Generation, rec.name)
	if err == nil {
		rec.finish.Step(v)
	}
	r.requeue(rec, err == nil)
}

// write writes records in one transaction. If one of several conflicts, none is
// written, and each is retried in a transaction of its own.
func (r *recorder) write(ctx context.Context, batch []*record) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ops := make([]infra.Op, len(batch))
	for i, rec := range batch {
		ops[i] = infra.PutJSON(rowKey(rec.put.Position.Generation, rec.name), rec.put.Position.Version, rec.put.Row)
	}
	o := infra.EffectOf(r.rows.table.Commit(ctx, ops...))
	for _, rec := range batch {
		if o == effect.Conflict && len(batch) > 1 {
			rec.unbatched = true
			rec.finish.Step(dedup.WriteResult{Outcome: effect.None})
		} else {
			rec.finish.Step(dedup.WriteResult{Outcome: o})
		}
		r.requeue(rec, o == effect.Done || o == effect.Conflict)
	}
}

// requeue keeps a record for its next call, unless it is finished. If the last
// call failed, the next one is delayed.
func (r *recorder) requeue(rec *record, ok bool) {
	if rec.finish.Done() {
		r.pending.Add(-1)
		return
	}
	if !ok {
		rec.wait = min(max(2*rec.wait, retryMin), retryMax)
		rec.due = time.Now().Add(rec.wait/2 + rand.N(rec.wait))
	}
	r.waiting = append(r.waiting, rec)
}
