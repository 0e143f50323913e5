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
	// tickPeriod is the longest time between two looks at a step.
	tickPeriod = 100 * time.Millisecond
	// refreshPeriod is the time between two reads of the newest weight version
	// and of the owner row.
	refreshPeriod = 2 * time.Second
	// storeTimeout bounds a call of the store.
	storeTimeout = 5 * time.Second
	// keepExpired is how long whole groups can be pulled after the deadline.
	keepExpired = 10 * time.Minute
	// keepIdle is how long a step goes on without a pull.
	keepIdle = 30 * time.Minute
	// priority puts rollouts below interactive requests, which have zero.
	priority = -1
	// maxScoring bounds the groups of a step that are being scored at a time.
	maxScoring = 16
	// batchTokens bounds a batch, which takes up to about seven bytes a token
	// in the store.
	batchTokens = 128 << 10
)

// worker runs one step that this instance owns.
type worker struct {
	c    *Controller
	key  stepKey
	spec rollout.Spec
	// keyDigest is that of the key that the step was opened with.
	keyDigest string
	epoch     uint64
	version   uint64 // of the owner row
	// heldBytes is the memory set aside for the step.
	heldBytes int

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	step    *rollout.Step
	streams map[rollout.RunID]context.CancelFunc
	scoring map[rollout.CallID]context.CancelFunc
	turns   turns
	// changed is closed when there may be something new to pull.
	changed chan struct{}
	// expires is when the deadline passes; zero means never.
	expires time.Duration
	// doneAt is when the trainer was last told that it is done; zero means
	// never.
	doneAt time.Duration
	// pulledAt is when the trainer last pulled.
	pulledAt time.Duration
	// wantedBy is when the step is to be done: its deadline, if it has one.
	wantedBy time.Duration
	// others holds what other steps of the service need.
	others map[string]seenNeed
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
	w.wantedBy = c.o.Clock.Now() + left
	if s.Spec.Deadline() > 0 {
		w.expires = max(w.wantedBy, 1)
	}
	groups := c.groupsInMemory(s.Spec)
	w.heldBytes = groups * groupBytes(s.Spec)
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

// run works on the step until the worker is dropped.
func (w *worker) run() {
	w.c.wg.Go(w.refresh)
	defer w.closeTurns()
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		now := w.c.o.Clock.Now()
		if w.over(now) {
			w.end()
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

// over reports whether the step was done, or its deadline passed, long ago.
func (w *worker) over(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (w.expires != 0 && now > w.expires+keepExpired) ||
		(w.doneAt != 0 && now > w.doneAt+keepExpired)
}

// idle reports whether the trainer has not pulled for long. Its next pull
// makes an owner anew.
func (w *worker) idle(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now > w.pulledAt+keepIdle
}

// end removes the step and drops the worker.
func (w *worker) end() {
	defer w.c.drop(w)
	ctx, cancel := context.WithTimeout(w.c.ctx, storeTimeout)
	defer cancel()
	if err := w.c.rows.remove(ctx, w.key, w.spec.Service, w.version); err != nil {
		w.c.o.Log.Warn("step not removed", "step", w.key.id, "error", err)
	}
}

// refresh follows the newest weight version and drops the worker when the step
// has another owner.
func (w *worker) refresh() {
	for {
		if v, err := w.c.o.Newest(w.ctx, w.spec.Service); err == nil {
			w.advance(v)
		}
		if err := w.tellNeed(w.ctx); err != nil {
			w.c.o.Log.Debug("need not told", "step", w.key.id, "error", err)
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

func (w *worker) advance(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step.Advance(version)
}

// tick carries out what the step wants now.
func (w *worker) tick(now time.Duration) {
	list, addrs, leave := w.endpoints()
	w.mu.Lock()
	w.turns.addRoom(list)
	defer w.mu.Unlock()
	for _, name := range leave {
		w.step.Leave(name)
	}
	w.step.SetScorer(w.scorer().Idempotent)
	quota, steps := w.quota(now, list)
	spare := quota - w.step.Need().Running
	for _, a := range w.step.Tick(now, list, min(spare, len(w.turns.held))) {
		switch a := a.(type) {
		case rollout.Start:
			t := addrs[a.Endpoint]
			t.from = addrs[a.From.Endpoint].addr
			w.start(a, t)
		case rollout.Halt:
			w.halt(a, addrs[a.Endpoint].addr)
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
	w.askTurns(now, steps)
}

// halt asks an engine to end a stream that is to be moved. If the engine is not
// known any more the Step gives up waiting.
func (w *worker) halt(a rollout.Halt, addr string) {
	w.c.o.Scope.Counter("rollout_streams_moved").Inc(1)
	if addr != "" {
		w.c.wg.Go(func() { w.cancelAt(addr, w.requestID(a.Run)) })
	}
}

// start needs mu.
func (w *worker) start(a rollout.Start, t target) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.streams[a.Run] = cancel
	t.stats.InFlight.Add(1)
	t.stats.Sent.Add(1)
	var turn *dispatch.Turn
	if a.From.Endpoint == "" { // what goes on from elsewhere had its turn there
		turn = w.turns.take(a.Endpoint)
	}
	turn.Begin()
	w.c.wg.Go(func() {
		defer turn.Done()
		defer t.stats.InFlight.Add(-1)
		defer cancel()
		w.generate(ctx, a, t)
	})
}

// generate runs one stream.
func (w *worker) generate(ctx context.Context, a rollout.Start, t target) {
	id := w.requestID(a.Run)
	a.Request.KVHandle = w.bringKV(ctx, a, t)
	useful, done := true, false
	err := w.c.o.Engine.Generate(ctx, t.addr, id, a.Request, func(c engine.Chunk) bool {
		done = c.Done
		useful = w.chunk(a.Run, c)
		return useful
	})
	w.mu.Lock()
	delete(w.streams, a.Run)
	w.step.Ended(w.c.o.Clock.Now(), a.Run, errors.Is(err, engine.ErrNotRun))
	w.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		t.stats.Failed.Add(1)
		w.c.o.Scope.Counter("rollout_streams_lost").Inc(1)
	}
	if !done {
		w.cancelAt(t.addr, id)
	}
	w.poke()
}

// cancelAt tells an engine that a stream is of no use; closing the connection
// may take it long to see.
func (w *worker) cancelAt(addr, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(w.ctx), storeTimeout)
	defer cancel()
	if err := w.c.o.Engine.Cancel(ctx, addr, id); err != nil {
		w.c.o.Log.Debug("stream not cancelled", "request", id, "error", err)
	}
}

func (w *worker) chunk(id rollout.RunID, c engine.Chunk) bool {
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
		w.step.Stored(now, b.Seq)
	} else {
		w.step.Failed(now, b.Seq)
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
	w.poke()
}

func (w *worker) poke() {
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

// sameSpec compares what trainers see.
func sameSpec(a, b rollout.Spec) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}
