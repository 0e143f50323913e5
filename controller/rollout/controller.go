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
	DefaultHeldBytes    = 64 << 20
	DefaultBatchSamples = 128
	DefaultLinger       = 250 * time.Millisecond
	DefaultGrace        = 5 * time.Second
)

// Options says what a Controller works with.
type Options struct {
	// Self is this instance's name.
	Self  string
	Table infra.Table
	Views *view.Store
	Clock clock.Clock
	// Dispatcher tells whose turn it is to begin a stream.
	Dispatcher *dispatch.Dispatcher
	// Engine speaks to engines, and Peers to other instances.
	Engine *engine.Client
	Peers  *http.Client
	Log    *slog.Logger
	Scope  tally.Scope
	// Call calls a service for a team. It returns the status of a whole answer
	// with its body, or a *code.Error whose effect says what is known of the
	// call.
	Call func(ctx context.Context, c ServiceCall) (status int, body []byte, err error)
	// Newest reads the newest weight version of a service from the store.
	Newest func(ctx context.Context, service string) (uint64, error)
	// HeldBytes bounds the samples in memory that trainers have not taken.
	HeldBytes int
	// BatchSamples is the number of samples that are written at once; fewer
	// wait for up to Linger.
	BatchSamples int
	Linger       time.Duration
	// Grace is how long samples wait for the store before they are delivered
	// from memory.
	Grace time.Duration
	// NoMoves leaves slow streams where they are.
	NoMoves bool
	// Divide shares streams among steps; nil means share.Divide.
	Divide func(streams int, needs []share.Need) []int
}

// Controller runs the steps that this instance owns, and passes calls for
// others on.
type Controller struct {
	o    Options
	rows rows

	ctx  context.Context // ends when the workers are to stop
	stop context.CancelFunc
	wg   sync.WaitGroup // of the workers and what they started
	// takeovers are those under way.
	takeovers singleflight.Group
	// transfers has one element for each KV cache under way.
	transfers chan struct{}

	mu      sync.Mutex
	workers map[stepKey]*worker
	// owners remembers who was last seen to own a step, for store outages.
	owners map[stepKey]string
	held   int
}

// maxOwners bounds the memory of owners.
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

// Run lets steps run until ctx ends, and waits until they have stopped.
func (c *Controller) Run(ctx context.Context) error {
	c.wg.Go(c.sweep)
	<-ctx.Done()
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// open makes this instance the owner of a new step, which is opened with the key
// of this digest.
func (c *Controller) open(ctx context.Context, team, keyDigest string, spec rollout.Spec) (OpenAnswer, error) {
	answer := OpenAnswer{ID: spec.ID, Cursor: ledger.Cursor{}.String()}
	k := stepKey{team, spec.ID}
	if c.full(spec) {
		return answer, code.New(code.StepBackPressure, "step %s", spec.ID)
	}
	s := specRow{Spec: spec, KeyDigest: keyDigest}
	o := ownerRow{Instance: c.o.Self, Epoch: 1, Nonce: uuid.NewString()}
	o, version, err := c.rows.open(ctx, k, s, o)
	switch {
	case errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrUnknownOutcome):
		answer.Existed = true
		return answer, c.checkSame(ctx, k, spec)
	case err != nil:
		return answer, storeError(err)
	}
	c.adopt(k, s, o, version, s.left(), nil)
	return answer, nil
}

// checkSame returns nil if the step exists with the same spec. Its owner is
// found, or made, by the first pull.
func (c *Controller) checkSame(ctx context.Context, k stepKey, spec rollout.Spec) error {
	var have specRow
	if _, err := c.rows.read(ctx, k.spec(), &have); err != nil {
		if errors.Is(err, infra.ErrNotFound) {
			return code.New(code.StoreDown, "the step was not stored")
		}
		return storeError(err)
	}
	if !sameSpec(have.Spec, spec) {
		return code.New(code.StepExists, "step %s", k.id)
	}
	return nil
}

// takeOver makes this instance the owner of a step that exists. Calls at the
// same time share one takeover.
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
	left, err := c.rows.left(ctx, k, s)
	if err != nil {
		return nil, storeError(err)
	}
	return c.adopt(k, s, o, version+1, left, batches), nil
}

// adopt starts the worker of a step that this instance owns. A worker of an
// earlier epoch is replaced.
func (c *Controller) adopt(k stepKey, s specRow, o ownerRow, version uint64, left time.Duration, batches []ledger.Batch) *worker {
	w := newWorker(c, k, s, o, version, left)
	now := c.o.Clock.Now()
	for _, b := range batches {
		if err := w.step.Load(now, b); err != nil {
			c.o.Log.Error("stored batch not loaded", "step", k.id, "batch", b.Seq, "error", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if have := c.workers[k]; have != nil {
		if have.epoch >= w.epoch {
			return have
		}
		c.dropLocked(have)
	}
	c.workers[k] = w
	c.held += w.heldBytes
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

// drop ends a worker.
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
	c.held -= w.heldBytes
	w.cancel()
}

// full reports whether there is no memory left for a step.
func (c *Controller) full(spec rollout.Spec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held > 0 && c.held+groupBytes(spec) > c.o.HeldBytes
}

// groupsInMemory is the number of a step's groups that may be held, at least
// one: a quarter of what is left to this instance.
func (c *Controller) groupsInMemory(spec rollout.Spec) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := (c.o.HeldBytes - c.held) / 4
	return min(max(left/groupBytes(spec), 1), len(spec.Prompts))
}

// groupBytes is the most that a group takes in memory, in bytes.
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

// storeError turns an error of the store into a coded one.
func storeError(err error) error {
	switch {
	case errors.Is(err, infra.ErrNotFound):
		return code.Wrap(code.StepUnknown, err, "")
	case errors.Is(err, infra.ErrConflict):
		return code.Wrap(code.StepOwnerMoving, err, "")
	}
	return code.Wrap(code.StoreDown, err, "")
}
