package steps

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

const (
	// tickPeriod is the longest time between two ticks of a step, and
	// waitingTickPeriod the longest time while samples wait for an endpoint.
	tickPeriod        = 250 * time.Millisecond
	waitingTickPeriod = 20 * time.Millisecond
	// checkPeriod is the time between two reads of a step's state.
	checkPeriod = 250 * time.Millisecond
	// routeRemovalDelay is the time from the removal of a step's route until waiting
	// samples are abandoned. The operator may restore the route.
	routeRemovalDelay = 3 * time.Second
)

// runner runs one step as its owner.
type runner struct {
	c            *Controller
	log          *slog.Logger
	spec         durable.Spec
	t            infra.Table
	ownerVersion uint64
	wake         chan struct{}
	// stop cancels the context of the runner.
	stop context.CancelFunc
	// done is closed when the runner has ended.
	done chan struct{}

	mu      sync.Mutex
	step    *durable.Step
	streams map[durable.RunID]context.CancelFunc
	results []durable.Result
	// savedVersions contains the versions of the rows of unfinished samples, by
	// sample ID.
	savedVersions map[string]uint64
	// resultsAdded is closed when results are added.
	resultsAdded chan struct{}
	// noNewStreams is set when no further stream may start.
	noNewStreams bool
	// unroutedSince is when the step's route was first observed to be removed; zero
	// if the route exists.
	unroutedSince time.Duration
	// waiting is the number of samples that this runner added to those that wait at
	// this instance.
	waiting int
	// priorities is what was last read of the configuration. selections is the number
	// of changes of the selection of groups that were reported, and selectionLoggedAt
	// is when one was last logged.
	priorities        priorities
	selections        int
	selectionLoggedAt time.Duration
}

func newRunner(c *Controller, step *durable.Step, t infra.Table, ownerVersion uint64, results []durable.Result) *runner {
	if spec := step.Spec(); spec.Due > 0 {
		step.SetDue(dueAt(c.o.Clock.Now(), spec))
	}
	return &runner{
		c:             c,
		log:           c.o.Log.With("step", step.Spec().ID),
		spec:          step.Spec(),
		t:             t,
		ownerVersion:  ownerVersion,
		wake:          make(chan struct{}, 1),
		stop:          func() {},
		done:          make(chan struct{}),
		step:          step,
		streams:       map[durable.RunID]context.CancelFunc{},
		results:       results,
		savedVersions: map[string]uint64{},
		resultsAdded:  make(chan struct{}),
	}
}

// run runs the step until it is done, ended, or owned by another instance.
func (r *runner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.stop = cancel
	r.mu.Unlock()
	var wg sync.WaitGroup
	defer close(r.done)
	defer wg.Wait()
	defer cancel() // runs before wg.Wait, which waits for the cancelled goroutines
	defer r.cancelStreams()
	wg.Go(func() { r.storeLoop(ctx) })
	wg.Go(func() { r.checkLoop(ctx) })
	r.markCarried()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		pause := r.tick(ctx, &wg)
		if r.isDone() {
			r.recordEnd()
			return
		}
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
		}
	}
}

// recordEnd logs and counts the end of the step, and remembers its incomplete groups.
func (r *runner) recordEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("step done", "results", r.step.Position(), "samples", len(r.spec.Samples),
		"after_ms", unixMillis()-r.spec.Submitted)
	r.reportGroups()
	complete, incomplete := r.step.GroupsByCompletion()
	r.c.rememberIncomplete(r.spec, complete, incomplete)
}

// stopRunner stops the runner even if the step is not done.
func (r *runner) stopRunner() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop()
}

// wakeUp triggers a tick.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// tick performs the step's next actions, and returns the time until the next tick.
func (r *runner) tick(ctx context.Context, wg *sync.WaitGroup) time.Duration {
	r.mu.Lock()
	if unixMillis() > r.spec.AbandonAfter {
		r.step.AbandonUnfinished()
	}
	v := r.c.o.Views.Load()
	endpoints, routed := r.c.endpointsOf(v, r.spec)
	r.abandonUnrouted(routed)
	r.updatePriority(v.Config)
	if r.noNewStreams {
		endpoints = nil
	}
	now := r.c.o.Clock.Now()
	actions := append(r.leaveEvacuated(v, now, endpoints), r.step.Tick(now, endpoints)...)
	r.reportSelection(now)
	pause := tickPeriod
	waiting := r.step.Progress().Waiting
	r.countWaiting(waiting)
	if waiting > 0 {
		pause = waitingTickPeriod
		r.c.requestPermits(endpoints, v)
	}
	for _, a := range actions {
		r.perform(ctx, wg, v, a)
	}
	r.mu.Unlock()
	return pause
}

// abandonUnrouted abandons the waiting samples once the step's route has been removed
// for routeRemovalDelay. Their requests must not be sent any more. The caller must
// hold r.mu.
func (r *runner) abandonUnrouted(routed bool) {
	now := r.c.o.Clock.Now()
	switch {
	case routed:
		r.unroutedSince = 0
	case r.unroutedSince == 0:
		r.unroutedSince = now
		r.log.Warn("the step's route was removed", "route", r.spec.Route)
	case now-r.unroutedSince >= routeRemovalDelay:
		r.step.AbandonWaiting()
	}
}

// perform carries out an action. The caller must hold r.mu.
func (r *runner) perform(ctx context.Context, wg *sync.WaitGroup, v *view.View, a durable.Action) {
	switch a := a.(type) {
	case durable.Cancel:
		if cancel := r.streams[a.Run]; cancel != nil {
			cancel()
			delete(r.streams, a.Run)
		}
		if a.Yielded {
			r.scope().Counter("samples_yielded").Inc(1)
		}
		if a.Slow {
			r.log.Info("slow sample moved to another endpoint", "endpoint", a.Endpoint)
			r.c.o.Scope.Counter("samples_moved").Inc(1)
		}
	case durable.Score:
		wg.Go(func() { r.score(ctx, a) })
	case durable.Start:
		e, ok := v.EndpointByName(a.Endpoint)
		if !ok {
			r.step.Ended(r.c.o.Clock.Now(), a.Run, durable.Refused)
			return
		}
		run, cancel := context.WithCancel(ctx)
		r.streams[a.Run] = cancel
		e.Stats.InFlight.Add(1)
		r.c.o.Speeds.CountPlacement(e)
		wg.Go(func() {
			defer cancel()
			r.stream(run, e, a)
		})
	}
}

func (r *runner) isDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.step.Done()
}

// finish ends the step.
func (r *runner) finish() {
	r.mu.Lock()
	for _, a := range r.step.Finish() {
		if cancel := r.streams[a.(durable.Cancel).Run]; cancel != nil {
			cancel()
		}
	}
	r.mu.Unlock()
	r.wakeUp()
}

func (r *runner) cancelStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countWaiting(0)
	for _, cancel := range r.streams {
		cancel()
	}
}

// nextResults returns a channel that is closed when the next results are stored.
func (r *runner) nextResults() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resultsAdded
}

func (r *runner) resultsFrom(from int) []durable.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results[min(from, len(r.results)):]
}

// checkLoop checks periodically whether another instance ended the step or took it
// over.
func (r *runner) checkLoop(ctx context.Context) {
	for sleep(ctx, checkPeriod) == nil {
		if _, err := r.checkOwner(ctx); err != nil {
			r.log.Debug("step's state not read", "error", err)
		}
	}
}

// handOff saves the state of the samples and releases the ownership of the step. It
// retries while the store is unavailable. Running streams continue until the
// ownership is released.
func (r *runner) handOff(ctx context.Context) {
	r.mu.Lock()
	r.noNewStreams = true
	r.mu.Unlock()
	var pause backoff
	for {
		r.save(ctx, 1)
		err := r.commit(ctx, []infra.Op{infra.PutJSON(ownerKey, r.ownerVersion, Owner{})})
		r.log.Info("step handed off", "error", err)
		if err == nil || errors.Is(err, infra.ErrConflict) || pause.wait(ctx) != nil {
			break
		}
		if r.isDone() {
			break
		}
	}
	r.stopRunner()
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// unixMillis returns the current time in Unix milliseconds.
func unixMillis() int64 { return time.Now().UnixMilli() }
