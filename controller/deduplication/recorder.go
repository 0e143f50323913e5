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
	// maxRecords bounds the records that wait to be written.
	maxRecords = 8192
	// batchRecords bounds the rows of one transaction.
	batchRecords = 64
	// retryMin and retryMax bound the wait after a failed write, which doubles
	// each time.
	retryMin = 250 * time.Millisecond
	retryMax = 30 * time.Second
	// lastRecords bounds the writes at shutdown.
	lastRecords = 5 * time.Second
)

// record is what became of one request, on its way to the table.
type record struct {
	name string
	f    *dedup.Finish
	// put is the write under way.
	put dedup.Put
	// alone keeps it out of transactions with others.
	alone bool
	due   time.Time
	wait  time.Duration
}

// recorder writes records. One that can't be written is lost, and its row goes
// on saying that the request may have run.
type recorder struct {
	rows  rows
	o     Options
	queue chan *record
	held  atomic.Int64
	late  []*record // that wait for another try
}

func newRecorder(r rows, o Options) *recorder {
	return &recorder{rows: r, o: o, queue: make(chan *record, maxRecords)}
}

// add queues a record.
func (r *recorder) add(rec *record) {
	if r.held.Add(1) > maxRecords {
		r.drop()
		return
	}
	r.queue <- rec // held bounds the queue
}

func (r *recorder) drop() {
	r.held.Add(-1)
	r.o.Scope.Counter("dedup_records_lost").Inc(1)
}

// run writes until ctx ends, then what is left.
func (r *recorder) run(ctx context.Context) {
	t := time.NewTicker(retryMin)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		case rec := <-r.queue:
			r.late = append(r.late, rec)
		}
		r.pass(ctx)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastRecords)
	defer cancel()
	for r.held.Load() > 0 && last.Err() == nil {
		r.pass(last)
		time.Sleep(retryMin / 10)
	}
}

// pass tries all records that are due.
func (r *recorder) pass(ctx context.Context) {
	for len(r.queue) > 0 {
		r.late = append(r.late, <-r.queue)
	}
	now := time.Now()
	due := r.late
	r.late = nil
	var batch []*record
	for _, rec := range due {
		if rec.due.After(now) {
			r.late = append(r.late, rec)
			continue
		}
		switch a := rec.f.Next().(type) {
		case nil:
			r.drop()
		case dedup.ReadAt:
			r.read(ctx, rec, a)
		case dedup.Put:
			rec.put = a
			if rec.alone {
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

func (r *recorder) read(ctx context.Context, rec *record, a dedup.ReadAt) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := r.rows.versioned(ctx, a.Generation, rec.name)
	if err == nil {
		rec.f.Step(v)
	}
	r.next(rec, err == nil)
}

// write writes records in one transaction. If one of them met another version
// none was written, and each is tried alone.
func (r *recorder) write(ctx context.Context, batch []*record) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ops := make([]infra.Op, len(batch))
	for i, rec := range batch {
		ops[i] = infra.PutJSON(rowKey(rec.put.Place.Generation, rec.name), rec.put.Place.Version, rec.put.Row)
	}
	o := infra.EffectOf(r.rows.table.Commit(ctx, ops...))
	for _, rec := range batch {
		if o == effect.Conflict && len(batch) > 1 {
			rec.alone = true
			rec.f.Step(dedup.Wrote{Outcome: effect.None})
		} else {
			rec.f.Step(dedup.Wrote{Outcome: o})
		}
		r.next(rec, o == effect.Done || o == effect.Conflict)
	}
}

// next keeps a record for its next call, after a wait if the last one failed.
func (r *recorder) next(rec *record, answered bool) {
	if rec.f.Done() {
		r.held.Add(-1)
		return
	}
	if !answered {
		rec.wait = min(max(2*rec.wait, retryMin), retryMax)
		rec.due = time.Now().Add(rec.wait/2 + rand.N(rec.wait))
	}
	r.late = append(r.late, rec)
}
