package rollout

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/share"
	"github.com/cumincove/cumincove/view"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"
)

// Defaults of Options.
const (
	DefaultMaxBufferedBytes = 64 << 20
	DefaultBatchSamples     = 128
	DefaultLinger           = 250 * time.Millisecond
	DefaultGrace            = 5 * time.Second
)

// Options configures a Controller.
type Options struct {
	// Self is this instance's name.
	Self  string
	Table infra.Table
	Views *view.Store
	Clock clock.Clock
	// Dispatcher grants permits to start streams.
	Dispatcher *dispatch.Dispatcher
	// Engine is the client for engines, and Peers the one for other instances.
	Engine *engine.Client
	Peers  *http.Client
	Log    *slog.Logger
	Scope  tally.Scope
	// Call calls a service on behalf of a team. It returns the status and body
	// of a complete answer, or a *code.Error whose effect states whether the
	// request ran, did not run, or may have run.
	Call func(ctx context.Context, c ServiceCall) (status int, body []byte, err error)
	// NewestVersion reads the newest weight version of a service from the store.
	NewestVersion func(ctx context.Context, service string) (uint64, error)
	// MaxBufferedBytes bounds the memory that steps reserve for samples that their
	// trainers have not confirmed yet.
	MaxBufferedBytes int
	// BatchSamples is the number of samples that are written at once. A smaller
	// batch waits for up to Linger.
	BatchSamples int
	Linger       time.Duration
	// Grace is how long samples wait for the store before they are delivered
	// from memory.
	Grace time.Duration
	// NoMoves disables the moves of slow streams to other endpoints.
	NoMoves bool
	// Divide divides streams among steps; nil means share.Divide.
	Divide func(streams int, needs []share.Need) []int
}

// Controller runs the steps that this instance owns, and forwards calls for
// other steps to their owners.
type Controller struct {
	o    Options
	rows rows

	ctx  context.Context // ends when the workers must stop
	stop context.CancelFunc
	wg   sync.WaitGroup // the workers and the goroutines that they started
	// takeovers merges concurrent takeovers of a step.
	takeovers singleflight.Group
	// transfers has one element for each KV cache transfer in progress.
	transfers chan struct{}

	mu      sync.Mutex
	workers map[stepKey]*worker
	// owners has the last observed owner of each step, for store outages.
	owners        map[stepKey]string
	reservedBytes int
}

// maxOwners bounds Controller.owners.
const maxOwners = 10_000

// New returns a Controller.
func New(o Options) *Controller {
	if o.Divide == nil {
		o.Divide = share.Divide
	}
	c := &Controller{
		o:       o,
		rows:    rows{o.Table},
		workers: map[stepKey]*worker{},
		owners:  map[stepKey]string{},

		transfers: make(chan struct{}, maxTransfers),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// Run sweeps abandoned steps until ctx ends. Then it stops all workers and
// waits for them.
func (c *Controller) Run(ctx context.Context) error {
	c.wg.Go(c.sweep)
	<-ctx.Done()
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// open creates a step with this instance as its owner. KeyDigest is the digest
// of the key that the trainer opens the step with.
func (c *Controller) open(ctx context.Context, team, keyDigest string, spec rollout.Spec) (OpenResponse, error) {
	resp := OpenResponse{ID: spec.ID, Cursor: ledger.Cursor{}.String()}
	k := stepKey{team, spec.ID}
	if c.full(spec) {
		return resp, code.New(code.StepBackPressure, "step %s", spec.ID)
	}
	s := specRow{Spec: spec, KeyDigest: keyDigest}
	o := ownerRow{Instance: c.o.Self, Epoch: 1, Nonce: uuid.NewString()}
	o, version, err := c.rows.open(ctx, k, s, o)
	switch {
	case errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrUnknownOutcome):
		resp.Existed = true
		return resp, c.checkSameSpec(ctx, k, spec)
	case err != nil:
		return resp, storeError(err)
	}
	c.startWorker(k, s, o, version, s.timeLeft(), nil)
	return resp, nil
}

// checkSameSpec returns nil if the step exists with the same spec. The first
// pull finds the step's owner, or takes the step over.
func (c *Controller) checkSameSpec(ctx context.Context, k stepKey, spec rollout.Spec) error {
	var stored specRow
	if _, err := c.rows.read(ctx, k.spec(), &stored); err != nil {
		if errors.Is(err, infra.ErrNotFound) {
			return code.New(code.StoreDown, "the step was not stored")
		}
		return storeError(err)
	}
	if !sameSpec(stored.Spec, spec) {
		return code.New(code.StepExists, "step %s", k.id)
	}
	return nil
}

// takeOver makes this instance the owner of an existing step. Concurrent calls
// share one takeover.
func (c *Controller) takeOver(ctx context.Context, k stepKey) (*worker, error) {
	w, err, _ := c.takeovers.Do(k.owner(), func() (any, error) {
		return c.takeOverOnce(ctx, k)
	})
	if err != nil {
		return nil, err
	}
	return w.(*worker), nil
}

func (c *Controller) takeOverOnce(ctx context.Context, k stepKey) (*worker, error) {
	var (
		s   specRow
		old ownerRow
	)
	if _, err := c.rows.read(ctx, k.spec(), &s); err != nil {
		return nil, storeError(err)
	}
	version, err := c.rows.read(ctx, k.owner(), &old)
	if err != nil {
		return nil, storeError(err)
	}
	o := ownerRow{Instance: c.o.Self, Epoch: old.Epoch + 1, Nonce: uuid.NewString()}
	if err := c.rows.takeOver(ctx, k, version, o); err != nil {
		return nil, storeError(err)
	}
	var batches []ledger.Batch
	err = c.rows.eachBatch(ctx, k, func(_ string, b ledger.Batch) error {
		batches = append(batches, b)
		return nil
	})
	if err != nil {
		return nil, storeError(err)
	}
	c.o.Log.Info("step taken over", "team", k.team, "step", k.id, "from", old.Instance, "epoch", o.Epoch, "batches", len(batches))
	c.o.Scope.Counter("rollout_takeovers").Inc(1)
	left, err := c.rows.timeLeft(ctx, k, s)
	if err != nil {
		return nil, storeError(err)
	}
	return c.startWorker(k, s, o, version+1, left, batches), nil
}

// startWorker starts the worker of a step that this instance owns, and returns
// it. It replaces a worker of an earlier epoch; if there is one of the same or
// a later epoch, it returns that one.
func (c *Controller) startWorker(k stepKey, s specRow, o ownerRow, version uint64, left time.Duration, batches []ledger.Batch) *worker {
	w := newWorker(c, k, s, o, version, left)
	now := c.o.Clock.Now()
	for _, b := range batches {
		if err := w.step.Load(now, b); err != nil {
			c.o.Log.Error("stored batch not loaded", "step", k.id, "batch", b.Seq, "error", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.workers[k]; current != nil {
		if current.epoch >= w.epoch {
			return current
		}
		c.dropLocked(current)
	}
	c.workers[k] = w
	c.reservedBytes += w.reservedBytes
	if c.ctx.Err() == nil {
		c.wg.Go(w.run)
	}
	return w
}

// local returns the worker of a step, if this instance owns it.
func (c *Controller) local(k stepKey) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[k]
}

// drop stops a worker and releases its memory.
func (c *Controller) drop(w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(w)
}

func (c *Controller) dropLocked(w *worker) {
	if c.workers[w.key] != w {
		return
	}
	delete(c.workers, w.key)
	c.reservedBytes -= w.reservedBytes
	w.cancel()
}

// full reports whether there is no memory left for a group of the step. The
// first step always has room.
func (c *Controller) full(spec rollout.Spec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reservedBytes > 0 && c.reservedBytes+groupBytes(spec) > c.o.MaxBufferedBytes
}

// groupsInMemory returns the number of a step's groups that may be kept in
// memory. They may take a quarter of this instance's unreserved memory; one
// group is always allowed.
func (c *Controller) groupsInMemory(spec rollout.Spec) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	available := (c.o.MaxBufferedBytes - c.reservedBytes) / 4
	return min(max(available/groupBytes(spec), 1), len(spec.Prompts))
}

// groupBytes returns the maximum size of a group in memory.
func groupBytes(spec rollout.Spec) int {
	const tokenBytes, sampleBytes = 4, 512
	return spec.Samples * (spec.MaxTokens*tokenBytes + sampleBytes)
}

func (c *Controller) rememberOwner(k stepKey, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.owners) >= maxOwners {
		clear(c.owners)
	}
	c.owners[k] = instance
}

func (c *Controller) lastOwner(k stepKey) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, ok := c.owners[k]
	return name, ok
}

// storeError converts an error of the store to a *code.Error.
func storeError(err error) error {
	switch {
	case errors.Is(err, infra.ErrNotFound):
		return code.Wrap(code.StepUnknown, err, "")
	case errors.Is(err, infra.ErrConflict):
		return code.Wrap(code.StepOwnerMoving, err, "")
	}
	return code.Wrap(code.StoreDown, err, "")
}
