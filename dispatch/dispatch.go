package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// Options configures a Dispatcher.
type Options struct {
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	// Scope receives the metrics; nil disables them.
	Scope tally.Scope
	// DataCentre is this instance's data centre. Its endpoints are preferred.
	DataCentre string
	Queue      fairqueue.Options
	Limit      limit.Options
	// IdleConnections returns the number of idle connections to an address; nil
	// means that there are none.
	IdleConnections func(addr string) int
	// RateLimits issues permits for endpoints with a rate limit; nil means that no
	// endpoint has one.
	RateLimits RateLimits
	// Speeds provides the speeds of endpoints, and is given the duration of requests
	// to plain services; nil means that all speeds are unknown.
	Speeds Speeds
	// Random returns a uniform number in [0, n); nil means math/rand/v2.
	Random func(n int) int
}

// Dispatcher assigns slots at endpoints. It is safe for concurrent use.
type Dispatcher struct {
	opt       Options
	services  sync.Map // service name to *service
	endpoints sync.Map // *view.Stats to *endpoint
	prefixes  prefixes
	// ranking belongs to the last used snapshot.
	ranking atomic.Pointer[ranking]
	// warmOffset is the position in a list of endpoints at which the search for
	// idle connections starts.
	warmOffset int
	// stopping is closed by Stop, which sets stopsAt before.
	stopping chan struct{}
	stopsAt  time.Duration
}

// New returns a Dispatcher.
func New(opt Options) *Dispatcher {
	if opt.Random == nil {
		opt.Random = rand.IntN
	}
	if opt.IdleConnections == nil {
		opt.IdleConnections = func(string) int { return 0 }
	}
	if opt.RateLimits == nil {
		opt.RateLimits = noRateLimits{}
	}
	if opt.Speeds == nil {
		opt.Speeds = noSpeeds{}
	}
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	d := &Dispatcher{opt: opt, warmOffset: rand.IntN(math.MaxInt32), stopping: make(chan struct{})}
	d.prefixes.init(opt.Scope)
	return d
}

// Work is a unit of work that needs a slot.
type Work struct {
	Service string
	Team    string
	// Weight is the team's weight in fair queueing; zero counts as one.
	Weight float64
	Class  fairqueue.Class
	// Tokens estimates the cost; zero means unknown.
	Tokens int
	// Kind distinguishes requests of different usual durations. Only the durations
	// of requests with a Kind show how fast an endpoint is.
	Kind string
	// Deadline is the boot time after which a slot is no longer useful.
	Deadline time.Duration
	// Avoid names an endpoint that is chosen only if no other one has room.
	Avoid string
	// Requirements holds the requirements that the endpoint's report must meet.
	Requirements Requirements
	// Prefix holds the prefix.Hashes of the prompt. If set, endpoints that have
	// the start of the prompt cached are preferred.
	Prefix []uint64
	// Route names the route of the work, and Size is its size, in tokens or bytes. The
	// time that it needs is estimated by them.
	Route string
	Size  int
	// Priority is the work's priority; 0 is the highest. It applies if the
	// configuration has several priorities.
	Priority int
	// Due is the boot time by which the work must be complete, if that is not
	// Deadline.
	Due time.Duration
	// Yields is set for work that waits for other requests as long as it can still be
	// complete when it is due.
	Yields bool
	// Isolated is set by AcquireIsolated.
	Isolated bool
}

// waiter is a unit of work in a queue.
type waiter struct {
	work Work
	// slot receives the slot. It is closed if the deadline has passed or, with the
	// reason in err, if the work was turned away.
	slot chan *Slot
	err  error
}

// Acquire returns a slot, or a *code.Error with the reason why there is none. On
// an error the work has not been run, and the caller is asked to return while a part of
// its time is left.
func (d *Dispatcher) Acquire(ctx context.Context, w Work) (*Slot, error) {
	slot, err := d.acquire(ctx, w)
	if err != nil {
		return nil, boundReturn(err, w.Deadline-d.opt.Clock.Now(), d.random())
	}
	return slot, nil
}

func (d *Dispatcher) acquire(ctx context.Context, w Work) (*Slot, error) {
	s := d.service(w.Service)
	all := s.index(d.opt.Views.Load())
	if all.count() == 0 {
		return nil, code.New(code.NoEndpoint, "service %q", w.Service)
	}
	eligible := all.matching(w.Requirements)
	if eligible.count() == 0 {
		return nil, noMatch(w)
	}
	w = w.normalized(all.ranked)
	if !s.mustQueue(w) {
		if slot := s.reserve(w); slot != nil {
			slot.usageCounter = s.usage.addSlot(w)
			slot.recordPrompt()
			s.count(w.Priority, resultAtOnce)
			return slot, nil
		}
	}
	if eligible.count() < all.count() {
		return nil, code.New(code.SelectionBusy, "service %q", w.Service)
	}
	if _, err := s.refuseByLimits(w, int(s.waiting.Load())+1); err != nil {
		return nil, err
	}
	slot, err := s.wait(ctx, w)
	if err == nil {
		slot.recordPrompt()
	}
	return slot, err
}

// Stop refuses the work that waits and whose deadline is after the boot time at, when
// this instance ends, and all that would wait so later. It must be called once at most.
func (d *Dispatcher) Stop(at time.Duration) {
	d.stopsAt = at
	close(d.stopping)
}

func (d *Dispatcher) service(name string) *service {
	if s, ok := d.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := d.services.LoadOrStore(name, &service{
		d:     d,
		name:  name,
		queue: fairqueue.New(d.opt.Queue),
	})
	return s.(*service)
}

const (
	// gaugePeriod is the time between two updates of the gauges.
	gaugePeriod = time.Second
	// sweepPeriod is the time between two removals of unused state.
	sweepPeriod = time.Minute
)

// Run updates the gauges, charges teams for their usage at other instances, and
// deletes the state of removed services, endpoints and teams, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	go d.runUsage(ctx.Done())
	gauge := time.NewTicker(gaugePeriod)
	defer gauge.Stop()
	sweep := time.NewTicker(sweepPeriod)
	defer sweep.Stop()
	for {
		select {
		case <-gauge.C:
			d.gauge()
		case <-sweep.C:
			d.sweep(d.opt.Views.Load())
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Dispatcher) gauge() {
	d.services.Range(func(name, s any) bool {
		scope := d.opt.Scope.Tagged(map[string]string{"service": name.(string)})
		scope.Gauge("waiting").Update(float64(s.(*service).waiting.Load()))
		scope.Gauge("yielding").Update(float64(s.(*service).yielding.Load()))
		s.(*service).logRefusals()
		return true
	})
}

func (d *Dispatcher) sweep(v *view.View) {
	inSnapshot := make(map[*view.Stats]bool, len(v.AllEndpoints()))
	for _, e := range v.AllEndpoints() {
		inSnapshot[e.Stats] = true
	}
	d.endpoints.Range(func(k, _ any) bool {
		stats := k.(*view.Stats)
		if !inSnapshot[stats] && stats.InFlight.Load() == 0 {
			d.endpoints.Delete(k)
		}
		return true
	})
	routes := routeNames(v.Config)
	d.services.Range(func(k, s any) bool {
		s.(*service).usage.sweep(v.Config.Teams)
		s.(*service).times.Sweep(func(route string) bool { return routes[route] })
		if _, ok := v.Config.Services[k.(string)]; !ok && s.(*service).waiting.Load()+s.(*service).yielding.Load() == 0 {
			d.services.Delete(k)
		}
		return true
	})
}

// waitError returns the reason why a wait ended without a slot.
func waitError(ctx context.Context) error {
	var coded *code.Error
	switch {
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.New(code.QueueTimeout, "")
	case errors.As(context.Cause(ctx), &coded):
		e := *coded
		e.Effect = code.NotRun
		return &e
	}
	return code.Wrap(code.CallerTimeout, context.Cause(ctx), "the caller went away")
}
