package steps

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

const (
	// callTimeout bounds a call of the table on behalf of a step.
	callTimeout = 2 * time.Second
	// scanPeriod is the time between two looks for steps without an owner.
	scanPeriod = 300 * time.Millisecond
	// keepTime is how long the rows of a step are kept after its end.
	keepTime = 5 * time.Minute
)

// ScoreFunc calls a scoring service.
type ScoreFunc func(ctx context.Context, s durable.Scorer) (score string, end durable.ScoreEnd)

// Options says what a Controller works with.
type Options struct {
	Steps infra.Tables
	// Shared is the table of the whole system.
	Shared  infra.Table
	Engines infra.Engines
	Score   ScoreFunc
	// Warm counts the open and unused connections to an address.
	Warm func(addr string) int
	// Hand decides which instance runs a step that another one accepts.
	Hand  Hand
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Self is this instance's name, and Incarnation tells this process from
	// earlier ones of its name.
	Self        string
	Incarnation uint64
	// Synced reports whether the other instances are known, and Away whether the
	// store has not answered this instance for a while.
	Synced func() bool
	Away   func() bool
}

// Controller accepts, runs and reads steps. It is safe for concurrent use.
type Controller struct {
	o Options

	mu      sync.Mutex
	runners map[string]*runner
	// closed holds the steps that need no owner any more, and known the last
	// word on those that may.
	closed map[string]time.Duration
	known  map[string]owned
	// accepting holds the steps that are being accepted, or claimed, here.
	accepting map[string]bool
	views     map[string]*stepView
	// scans counts the looks left out; only Run uses it.
	scans int
	// leaving is set when this instance gives its steps away.
	leaving bool
	running sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
}

// owned is a step and who owns it.
type owned struct {
	owner Owner
	// spec has no samples.
	spec durable.Spec
}

// New returns a Controller.
func New(o Options) *Controller {
	ctx, stop := context.WithCancel(context.Background())
	return &Controller{
		o:         o,
		runners:   map[string]*runner{},
		closed:    map[string]time.Duration{},
		known:     map[string]owned{},
		accepting: map[string]bool{},
		views:     map[string]*stepView{},
		ctx:       ctx,
		stop:      stop,
	}
}

// Run looks for steps without an owner until ctx ends, and stops its own then.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(scanPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if c.o.Away() {
				c.giveAway(ctx)
				continue
			}
			c.scan(ctx)
			c.forgetViews()
		case <-ctx.Done():
			c.stop()
			c.running.Wait()
			return nil
		}
	}
}

// Open returns the number of steps that this instance runs.
func (c *Controller) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runners)
}

// Samples counts the samples of the steps that this instance runs: those with a
// stream, and those that wait for one.
func (c *Controller) Samples() (running, waiting int) {
	c.mu.Lock()
	list := slices.Collect(maps.Values(c.runners))
	c.mu.Unlock()
	for _, r := range list {
		r.mu.Lock()
		p := r.step.Progress()
		r.mu.Unlock()
		running += p.Running
		waiting += p.Waiting
	}
	return running, waiting
}

// table returns the part of a step.
func (c *Controller) table(id string) infra.Table { return c.o.Steps.Part(id) }

func (c *Controller) self() Owner { return Owner{c.o.Self, c.o.Incarnation} }

// begin runs a step that this instance owns.
func (c *Controller) begin(r *runner) {
	id := r.spec.ID
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runners[id] != nil || c.ctx.Err() != nil {
		return
	}
	c.runners[id] = r
	c.running.Go(func() {
		r.run(c.ctx)
		c.ended(id, r)
	})
}

// ended forgets a runner. One that left its step unfinished may get it again.
func (c *Controller) ended(id string, r *runner) {
	done := r.isDone()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runners, id)
	if done {
		c.closed[id] = c.o.Clock.Now()
	}
}

func (c *Controller) runner(id string) *runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners[id]
}

// HandOver gives all steps to other instances, which take them over from their
// rows, and accepts no more.
func (c *Controller) HandOver(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	var list []*runner
	for _, r := range c.runners {
		list = append(list, r)
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range list {
		wg.Go(func() { r.handOver(ctx) })
	}
	wg.Wait()
}

func (c *Controller) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}
