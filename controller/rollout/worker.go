package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
)

const (
	// tickPeriod is the longest time between two ticks of a step.
	tickPeriod = 100 * time.Millisecond
	// refreshPeriod is the time between two reads of the newest weight version,
	// the need rows and the owner row.
	refreshPeriod = 2 * time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 5 * time.Second
	// stepRetention is how long complete groups can be pulled after the
	// deadline, and how long a step is kept after a pull last returned that it
	// is done.
	stepRetention = 10 * time.Minute
	// idleTimeout is how long a step continues without a pull.
	idleTimeout = 30 * time.Minute
	// priority ranks rollouts below interactive requests, which have priority
	// zero.
	priority = -1
	// maxScoring bounds the groups of a step that are scored at the same time.
	maxScoring = 16
	// batchTokens bounds the tokens in a batch. A batch takes up to about seven
	// bytes per token in the store.
	batchTokens = 128 << 10
)

// worker runs one step that this instance owns.
type worker struct {
	c    *Controller
	key  stepKey
	spec rollout.Spec
	// keyDigest is the digest of the key that the step was opened with.
	keyDigest string
	epoch     uint64
	version   uint64 // of the owner row
	// reservedBytes is the memory reserved for the step.
	reservedBytes int

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	step    *rollout.Step
	streams map[rollout.RunID]context.CancelFunc
	scoring map[rollout.CallID]context.CancelFunc
	permits permits
	// changed is closed when there may be new samples to pull.
	changed chan struct{}
	// expires is when the deadline passes; zero means never.
	expires time.Duration
	// doneAt is when a pull last returned that the step is done; zero means
	// never.
	doneAt time.Duration
	// pulledAt is when the trainer last pulled.
	pulledAt time.Duration
	// dueAt is when the step is due: its deadline or, if it has none,
	// defaultTimeLeft after its opening.
	dueAt time.Duration
	// otherNeeds has the needs of the team's other steps at the service, by
	// key.
	otherNeeds map[string]observedNeed
}

func newWorker(c *Controller, k stepKey, s specRow, o ownerRow, version uint64, left time.Duration) *worker {
	w := &worker{
		c:    c,
		key:  k,
		spec: s.Spec,

		keyDigest: s.KeyDigest,

		epoch:   o.Epoch,
		version: version,
		wake:    make(chan struct{}, 1),
		streams: map[rollout.RunID]context.CancelFunc{},
		scoring: map[rollout.CallID]context.CancelFunc{},
		changed: make(chan struct{}),

		pulledAt: c.o.Clock.Now(),
	}
	w.dueAt = c.o.Clock.Now() + left
	if s.Spec.Deadline() > 0 {
		w.expires = max(w.dueAt, 1)
	}
	groups := c.groupsInMemory(s.Spec)
	w.reservedBytes = groups * groupBytes(s.Spec)
	w.step = rollout.New(s.Spec, rollout.Options{
		Epoch:        o.Epoch,
		Expires:      w.expires,
		MaxGroups:    groups,
		BatchSamples: c.o.BatchSamples,
		BatchTokens:  batchTokens,
		Linger:       c.o.Linger,
		Grace:        c.o.Grace,
		Priority:     priority,
		MaxScoring:   maxScoring,
		NoMoves:      c.o.NoMoves,
	})
	w.ctx, w.cancel = context.WithCancel(c.ctx)
	return w
}

// run ticks the step until the worker is dropped.
func (w *worker) run() {
	w.c.wg.Go(w.refresh)
	defer w.closePermits()
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		now := w.c.o.Clock.Now()
		if w.retentionEnded(now) {
			w.removeStep()
			return
		}
		if w.idle(now) {
			w.c.drop(w)
			return
		}
		w.tick(now)
		select {
		case <-w.ctx.Done():
			return
		case <-t.C:
		case <-w.wake:
		}
	}
}

// retentionEnded reports whether the step was done, or its deadline passed,
// more than stepRetention ago.
func (w *worker) retentionEnded(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (w.expires != 0 && now > w.expires+stepRetention) ||
		(w.doneAt != 0 && now > w.doneAt+stepRetention)
}

// idle reports whether the trainer has not pulled for idleTimeout. At its next
// pull, an instance takes the step over.
func (w *worker) idle(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now > w.pulledAt+idleTimeout
}

// removeStep deletes the step's rows and drops the worker.
func (w *worker) removeStep() {
	defer w.c.drop(w)
	ctx, cancel := context.WithTimeout(w.c.ctx, storeTimeout)
	defer cancel()
	if err := w.c.rows.remove(ctx, w.key, w.spec.Service, w.version); err != nil {
		w.c.o.Log.Warn("step not removed", "step", w.key.id, "error", err)
	}
}

// refresh periodically reads the newest weight version, exchanges need rows,
// and drops the worker when the step has another owner.
func (w *worker) refresh() {
	for {
		if v, err := w.c.o.NewestVersion(w.ctx, w.spec.Service); err == nil {
			w.setNewestVersion(v)
		}
		if err := w.exchangeNeeds(w.ctx); err != nil {
			w.c.o.Log.Debug("need rows not exchanged", "step", w.key.id, "error", err)
		}
		var o ownerRow
		v, err := w.c.rows.read(w.ctx, w.key.owner(), &o)
		if err == nil && v != w.version {
			w.c.o.Log.Info("step lost to another owner", "step", w.key.id, "owner", o.Instance, "epoch", o.Epoch)
			w.c.drop(w)
		}
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(refreshPeriod):
		}
	}
}

func (w *worker) setNewestVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step.Advance(version)
}

// tick executes the actions that the step returns now.
func (w *worker) tick(now time.Duration) {
	list, targets, leave := w.endpoints()
	w.mu.Lock()
	w.permits.addRoom(list)
	defer w.mu.Unlock()
	for _, name := range leave {
		w.step.EvacuateEndpoint(name)
	}
	w.step.SetScorerIdempotent(w.scorer().Idempotent)
	quota, steps := w.quota(now, list)
	spare := quota - w.step.Need().Running
	for _, a := range w.step.Tick(now, list, min(spare, len(w.permits.available))) {
		switch a := a.(type) {
		case rollout.Start:
			t := targets[a.Endpoint]
			t.previousAddr = targets[a.From.Endpoint].addr
			w.start(a, t)
		case rollout.Halt:
			w.halt(a, targets[a.Endpoint].addr)
		case rollout.Cancel:
			if cancel, ok := w.streams[a.Run]; ok {
				cancel()
			}
		case rollout.Write:
			w.c.wg.Go(func() { w.write(a.Batch) })
		case rollout.Score:
			w.startScore(a)
		case rollout.CancelScore:
			if cancel, ok := w.scoring[a.Call]; ok {
				cancel()
			}
		}
	}
	w.requestPermits(now, steps)
}

// halt cancels a stream at its engine so that it can be moved. If the engine is
// no longer listed, nothing is sent, and the Step stops waiting for the stream
// after a timeout.
func (w *worker) halt(a rollout.Halt, addr string) {
	w.c.o.Scope.Counter("rollout_streams_moved").Inc(1)
	if addr != "" {
		w.c.wg.Go(func() { w.cancelAt(addr, w.requestID(a.Run)) })
	}
}

// start starts a stream. The caller must hold mu.
func (w *worker) start(a rollout.Start, t target) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.streams[a.Run] = cancel
	t.stats.InFlight.Add(1)
	t.stats.Sent.Add(1)
	var permit *dispatch.RolloutPermit
	if a.From.Endpoint == "" { // a moved stream used its permit at the previous endpoint
		permit = w.permits.take(a.Endpoint)
	}
	permit.Start()
	w.c.wg.Go(func() {
		defer permit.Done()
		defer t.stats.InFlight.Add(-1)
		defer cancel()
		w.generate(ctx, a, t)
	})
}

// generate runs one stream until it ends.
func (w *worker) generate(ctx context.Context, a rollout.Start, t target) {
	id := w.requestID(a.Run)
	a.Request.KVHandle = w.transferKV(ctx, a, t)
	useful, done := true, false
	err := w.c.o.Engine.Generate(ctx, t.addr, id, a.Request, func(c engine.Chunk) bool {
		done = c.Done
		useful = w.handleChunk(a.Run, c)
		return useful
	})
	w.mu.Lock()
	delete(w.streams, a.Run)
	w.step.StreamEnded(w.c.o.Clock.Now(), a.Run, errors.Is(err, engine.ErrNotRun))
	w.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		t.stats.Failed.Add(1)
		w.c.o.Scope.Counter("rollout_streams_lost").Inc(1)
	}
	if !done {
		w.cancelAt(t.addr, id)
	}
	w.signal()
}

// cancelAt cancels a stream at an engine, which may notice a closed connection
// only much later.
func (w *worker) cancelAt(addr, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(w.ctx), storeTimeout)
	defer cancel()
	if err := w.c.o.Engine.Cancel(ctx, addr, id); err != nil {
		w.c.o.Log.Debug("stream not cancelled", "request", id, "error", err)
	}
}

// handleChunk passes a chunk to the step. It returns false if the stream is no
// longer needed.
func (w *worker) handleChunk(id rollout.RunID, c engine.Chunk) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.step.Chunk(w.c.o.Clock.Now(), id, c)
}

// write stores a batch.
func (w *worker) write(b *ledger.Batch) {
	ctx, cancel := context.WithTimeout(w.ctx, storeTimeout)
	defer cancel()
	err := w.c.rows.putBatch(ctx, w.key, w.version, w.epoch, b)
	now := w.c.o.Clock.Now()
	w.mu.Lock()
	if err == nil {
		w.step.BatchStored(now, b.Seq)
	} else {
		w.step.BatchFailed(now, b.Seq)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	w.c.o.Scope.Counter("rollout_batch_writes").Inc(1)
	switch {
	case errors.Is(err, infra.ErrConflict):
		w.c.o.Log.Info("batch refused: the step has another owner", "step", w.key.id)
		w.c.drop(w)
	case err != nil:
		w.c.o.Log.Warn("batch not stored", "step", w.key.id, "error", err)
		w.c.o.Scope.Counter("rollout_batch_failures").Inc(1)
	}
	w.signal()
}

// signal makes run tick at once.
func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) progress() StepProgress {
	w.mu.Lock()
	defer w.mu.Unlock()
	return StepProgress{
		ID:       w.key.id,
		Owner:    w.c.o.Self,
		Epoch:    w.epoch,
		Progress: w.step.Progress(w.c.o.Clock.Now()),
	}
}

// sameSpec reports whether two specs are equal in the JSON form that trainers
// send.
func sameSpec(a, b rollout.Spec) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}
