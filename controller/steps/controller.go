package steps

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

const (
	// callTimeout bounds a call to the table for a step.
	callTimeout = 2 * time.Second
	// scanPeriod is the time between two scans for steps without an owner.
	scanPeriod = 300 * time.Millisecond
	// maxReportedSteps bounds the steps that an instance reports, because its row is
	// limited in size. The owner of a step that is not reported is asked.
	maxReportedSteps = 512
	// rowRetention is how long the rows of a step are retained after its end.
	rowRetention = 5 * time.Minute
)

// ScoreCall is a call to a scoring service for a sample of a step.
type ScoreCall struct {
	durable.Scorer
	// Team and Route are those of the step.
	Team, Route string
	// Due is the boot time by which the step's results are needed.
	Due time.Duration
}

// ScoreFunc calls a scoring service.
type ScoreFunc func(ctx context.Context, c ScoreCall) (score string, end durable.ScoreEnd)

// Options are the dependencies of a Controller.
type Options struct {
	Steps infra.Tables
	// Shared is the table that all instances share.
	Shared  infra.Table
	Engines infra.Engines
	Score   ScoreFunc
	// IdleConnections returns the number of idle connections to an address.
	IdleConnections func(addr string) int
	// RateLimits issues permits for endpoints that limit their requests per second.
	RateLimits RateLimits
	// Speeds provides the speeds of endpoints, and is given those of the streams; nil
	// means that all speeds are unknown.
	Speeds Speeds
	// Handoff selects the instance that runs an accepted step.
	Handoff Handoff
	Views   *view.Store
	Clock   clock.Clock
	Log     *slog.Logger
	Scope   tally.Scope
	// Self is this instance's name, and Incarnation distinguishes this process from
	// earlier ones with the same name.
	Self        string
	Incarnation uint64
	// MembersSynced reports whether this instance has received the list of the other
	// instances, and StoreUnavailable whether the store has been unavailable to this
	// instance for a while.
	MembersSynced    func() bool
	StoreUnavailable func() bool
}

// Controller accepts, runs and reads steps. It is safe for concurrent use.
type Controller struct {
	o Options

	mu      sync.Mutex
	runners map[string]*runner
	// closed contains the steps that no longer need an owner, because they are done
	// or were ended, with the time when this instance observed that. openSteps
	// contains the others.
	closed    map[string]time.Duration
	openSteps map[string]openStep
	// lockedSteps contains the steps that are being accepted or claimed at this
	// instance.
	lockedSteps map[string]bool
	// queuedReads contains the unknown steps whose first read is queued or runs.
	queuedReads map[string]bool
	cachedSteps map[string]*cachedStep
	// loads contains what was read so far of steps that this instance owns and does
	// not run yet.
	loads map[string]*stepLoad
	// incomplete contains the groups that the last steps of each trainer at this
	// instance did not complete.
	incomplete map[trainer][]string
	// ineligibleScans counts the scan periods in which this instance was not
	// eligible for steps. Only Run uses it.
	ineligibleScans int
	// leaving is set when this instance hands off its steps.
	leaving bool
	// claims has an entry for each step that is being claimed, and reads one for each
	// unknown step that is being read.
	claims  chan struct{}
	reads   chan struct{}
	running sync.WaitGroup
	// waitingSamples is the number of samples that wait for an endpoint.
	waitingSamples atomic.Int64
	stop           context.CancelFunc
	ctx            context.Context
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Speeds == nil {
		o.Speeds = noSpeeds{}
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Controller{
		o:           o,
		runners:     map[string]*runner{},
		closed:      map[string]time.Duration{},
		openSteps:   map[string]openStep{},
		claims:      make(chan struct{}, maxClaims),
		reads:       make(chan struct{}, maxClaims),
		queuedReads: map[string]bool{},
		lockedSteps: map[string]bool{},
		cachedSteps: map[string]*cachedStep{},
		loads:       map[string]*stepLoad{},
		incomplete:  map[trainer][]string{},
		ctx:         ctx,
		stop:        stop,
	}
}

// Run scans for steps without an owner until ctx ends, and then stops the steps of
// this instance.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(scanPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if c.o.StoreUnavailable() {
				c.transferAll(ctx)
				continue
			}
			c.scan(ctx)
			c.evictCachedSteps()
		case <-ctx.Done():
			c.stop()
			c.running.Wait()
			return nil
		}
	}
}

// OpenSteps returns the number of steps that this instance runs.
func (c *Controller) OpenSteps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runners)
}

// RunningSteps returns the steps that this instance runs, with the versions of their
// owners' rows. The other instances need it to find steps that no instance runs.
// The number of steps is bounded by maxReportedSteps.
func (c *Controller) RunningSteps() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.runners) == 0 {
		return nil
	}
	steps := map[string]uint64{}
	for id, r := range c.runners {
		if len(steps) >= maxReportedSteps {
			break
		}
		steps[id] = r.ownerVersion
	}
	return steps
}

// Samples counts the samples of the steps that this instance runs: those that have
// a stream, and those that wait for one.
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

// table returns a step's part of the table.
func (c *Controller) table(id string) infra.Table { return c.o.Steps.Part(id) }

func (c *Controller) self() Owner { return Owner{c.o.Self, c.o.Incarnation} }

// startRunner starts a step that this instance owns.
func (c *Controller) startRunner(r *runner) {
	id := r.spec.ID
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runners[id] != nil || c.ctx.Err() != nil {
		return
	}
	c.runners[id] = r
	delete(c.loads, id)
	c.running.Go(func() {
		r.run(c.ctx)
		c.removeRunner(id, r)
	})
}

// removeRunner removes a runner that has ended. If its step is not done, this
// instance may run the step again.
func (c *Controller) removeRunner(id string, r *runner) {
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

// HandOff stops accepting steps and releases the ownership of all steps. Other
// instances take them over from their rows.
func (c *Controller) HandOff(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	var list []*runner
	for _, r := range c.runners {
		list = append(list, r)
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range list {
		wg.Go(func() { r.handOff(ctx) })
	}
	wg.Wait()
}

func (c *Controller) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}
