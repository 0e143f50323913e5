package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
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
	// Scope takes the metrics; nil means none.
	Scope tally.Scope
	// DataCentre is this instance's, whose endpoints come first.
	DataCentre string
	Queue      fairqueue.Options
	Limit      limit.Options
	// Warm counts the open and unused connections to an address; nil means that
	// there are never any.
	Warm func(addr string) int
	// Random returns a uniform number in [0, n); nil means math/rand/v2.
	Random func(n int) int
}

// Dispatcher hands out places at endpoints. It is safe for concurrent use.
type Dispatcher struct {
	opt       Options
	services  sync.Map // service name to *service
	endpoints sync.Map // *view.Stats to *endpoint
	prefixes  prefixes
	// first is where the look for open connections begins in a list of endpoints.
	first int
}

// New returns a Dispatcher.
func New(opt Options) *Dispatcher {
	if opt.Random == nil {
		opt.Random = rand.IntN
	}
	if opt.Warm == nil {
		opt.Warm = func(string) int { return 0 }
	}
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	d := &Dispatcher{opt: opt, first: rand.IntN(math.MaxInt32)}
	d.prefixes.init(opt.Scope)
	return d
}

// Work is what asks for a place.
type Work struct {
	Service string
	Team    string
	// Weight is the team's share; zero counts as one.
	Weight float64
	Class  fairqueue.Class
	// Tokens estimates the cost; zero means that it is not known.
	Tokens int
	// Deadline is the boot time by which a place is of use.
	Deadline time.Duration
	// Avoid names an endpoint that is taken only if no other one has room.
	Avoid string
	// Want is what the endpoint must report.
	Want Want
	// Prefix holds the prefix.Hashes of the prompt, if an endpoint is preferred
	// that has its beginning cached.
	Prefix []uint64
	// Alone is set by AcquireAlone.
	Alone bool
}

// waiter is a request in a queue.
type waiter struct {
	work Work
	// slot gets the place, or is closed if the deadline passed.
	slot chan *Slot
}

// Acquire returns a place, or a *code.Error that says why there is none. The
// work was not run then.
func (d *Dispatcher) Acquire(ctx context.Context, w Work) (*Slot, error) {
	s := d.service(w.Service)
	all := s.index(d.opt.Views.Load())
	if all.count() == 0 {
		return nil, code.New(code.NoEndpoint, "service %q", w.Service)
	}
	met := all.meeting(w.Want)
	if met.count() == 0 {
		return nil, noMatch(w)
	}
	if s.waiting.Load() == 0 {
		if slot := s.reserve(w); slot != nil {
			slot.held = s.uses.take(w)
			slot.prompted()
			return slot, nil
		}
	}
	if met.count() < all.count() {
		return nil, code.New(code.SelectionBusy, "service %q", w.Service)
	}
	slot, err := s.wait(ctx, w)
	if err == nil {
		slot.prompted()
	}
	return slot, err
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
	// sweepPeriod is the time between two looks for what is gone.
	sweepPeriod = time.Minute
)

// Run keeps the gauges, charges what teams use elsewhere, and forgets services
// and endpoints that are gone, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	go d.runUses(ctx.Done())
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
		return true
	})
}

func (d *Dispatcher) sweep(v *view.View) {
	known := make(map[*view.Stats]bool, len(v.AllEndpoints()))
	for _, e := range v.AllEndpoints() {
		known[e.Stats] = true
	}
	d.endpoints.Range(func(k, _ any) bool {
		stats := k.(*view.Stats)
		if !known[stats] && stats.InFlight.Load() == 0 {
			d.endpoints.Delete(k)
		}
		return true
	})
	d.services.Range(func(k, s any) bool {
		s.(*service).uses.sweep(v.Config.Teams)
		if _, ok := v.Config.Services[k.(string)]; !ok && s.(*service).waiting.Load() == 0 {
			d.services.Delete(k)
		}
		return true
	})
}

// refusal turns an error of Push into a coded one.
func refusal(w Work, err error) error {
	var wait *fairqueue.WaitError
	if errors.As(err, &wait) {
		e := code.New(code.DeadlineTooNear, "estimated wait %v", wait.Wait.Round(time.Millisecond))
		e.RetryAfter = min(max(wait.Wait, minRetryAfter), maxRetryAfter)
		return e
	}
	return code.New(code.QueueFull, "team %q: %v", w.Team, err)
}

// minRetryAfter and maxRetryAfter bound when a refused caller is asked back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// gaveUp says why a wait ended without a place.
func gaveUp(ctx context.Context) error {
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
