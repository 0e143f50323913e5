package ratelimits

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/ratelimit"
	"github.com/cumincove/cumincove/view"
)

// sweepPeriod is the time between two removals of unused state.
const sweepPeriod = 10 * time.Second

// Options are the dependencies of a Controller.
type Options struct {
	// Tables stores the limits, in the same parts as the rows of instances.
	Tables infra.Tables
	// Peers is the client for calls to other instances.
	Peers *http.Client
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Self is this instance's name.
	Self string
}

// Controller keeps one instance to the limits. It is safe for concurrent use.
type Controller struct {
	o Options
	// limited is the number of endpoints with a limit.
	limited atomic.Int64
	// wakeAsks and wakeRows trigger the sending of asks and the writing of rows.
	wakeAsks, wakeRows chan struct{}

	mu   sync.Mutex
	node *ratelimit.Node
	rows rows
	cold coldEndpoints
}

// New returns a Controller without limits.
func New(o Options) *Controller {
	return &Controller{
		o: o, node: ratelimit.NewNode(o.Self, rand.IntN), rows: newRows(), cold: newColdEndpoints(),
		wakeAsks: make(chan struct{}, 1), wakeRows: make(chan struct{}, 1),
	}
}

// Run sends asks, writes rows and removes unused state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.runRows(ctx)
	sweep := time.NewTicker(sweepPeriod)
	defer sweep.Stop()
	warm := time.NewTicker(warmPeriod)
	defer warm.Stop()
	for {
		changed := c.o.Views.Changed()
		c.mark()
		select {
		case <-c.wakeAsks:
			c.sendAsks(ctx)
		case <-sweep.C:
			c.sweep()
		case <-warm.C:
			c.unmarkWarm()
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetMembers records the members that were read at readAt.
func (c *Controller) SetMembers(readAt time.Duration, names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.SetMembers(readAt, names)
}

// HandleAnswer records what an endpoint's answer says about its limit.
func (c *Controller) HandleAnswer(a attempt.RateLimitAnswer) {
	e, ok := c.o.Views.Load().EndpointByName(a.Endpoint)
	if !ok || len(a.Values) == 0 && !e.Stats.RateLimited.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l, changed := c.node.HandleAnswer(c.o.Clock.Now(), ratelimit.Answer{
		Endpoint: a.Endpoint, Incarnation: e.Incarnation, Values: a.Values, HandedOff: a.HandedOff,
	})
	if !changed {
		return
	}
	c.recordChange(a.Endpoint, l, sourceAnswer)
	c.rows.write(a.Endpoint, l)
	wake(c.wakeRows)
}

// Sources of a change of a limit.
const (
	sourceAnswer = "answer"
	sourceRow    = "row"
)

// recordChange logs and counts a change of an endpoint's limit, and marks the
// endpoint. Changes that were read as rows are logged by the instance that wrote
// the row. The caller must hold mu.
func (c *Controller) recordChange(endpoint string, l ratelimit.Limit, source string) {
	v := c.o.Views.Load()
	c.markEndpoint(v, endpoint)
	c.countLimited()
	level := slog.LevelInfo
	if source == sourceRow {
		level = slog.LevelDebug
	}
	log := c.o.Log.With("endpoint", endpoint, "incarnation", l.Incarnation, "source", source)
	if l.Rate == 0 {
		log.Log(context.Background(), level, "endpoint names no rate limit any more")
		return
	}
	c.o.Scope.Tagged(map[string]string{"source": source}).Counter("endpoint_limits_named").Inc(1)
	log.Log(context.Background(), level, "endpoint names a rate limit", "per_second", l.Rate)
}

// mark marks the endpoints in the snapshot that have a limit. An endpoint may be
// listed after its limit was read.
func (c *Controller) mark() {
	if !c.Any() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.o.Views.Load()
	for _, name := range c.node.LimitedEndpoints(c.o.Clock.Now()) {
		c.markEndpoint(v, name)
	}
}

// markEndpoint marks an endpoint of a snapshot as limited if it is. The caller must
// hold mu.
func (c *Controller) markEndpoint(v *view.View, name string) {
	e, ok := v.EndpointByName(name)
	if !ok {
		return
	}
	l := c.node.LimitAt(c.o.Clock.Now(), name)
	e.Stats.RateLimited.Store(l.Rate > 0 && l.Incarnation == e.Incarnation)
}

// countLimited updates the number of endpoints with a limit. The caller must hold mu.
func (c *Controller) countLimited() {
	c.limited.Store(int64(len(c.node.LimitedEndpoints(c.o.Clock.Now()))))
}

// HandleSend counts a request that is handed off to an endpoint with a limit. It
// charges those that are sent without a permit.
func (c *Controller) HandleSend(endpoint string, kind attempt.Kind) {
	if !c.Any() {
		return
	}
	e, ok := c.o.Views.Load().EndpointByName(endpoint)
	if !ok || !e.Stats.RateLimited.Load() {
		return
	}
	c.o.Scope.Tagged(map[string]string{"kind": string(kind)}).Counter("sends_to_limited_endpoints").Inc(1)
	if kind != attempt.KindControl {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Charge(endpoint)
	wake(c.wakeAsks)
}

// Any reports whether any endpoint has a limit.
func (c *Controller) Any() bool { return c.limited.Load() > 0 }

// Usable returns the number of requests that may be sent to an endpoint now.
func (c *Controller) Usable(endpoint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Usable(c.o.Clock.Now(), endpoint)
}

// Take uses up a permit. The request must be sent no later than until.
func (c *Controller) Take(endpoint string) (until time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Take(c.o.Clock.Now(), endpoint)
}

// Request asks in the background for as many permits as count requests need at any
// of the endpoints.
func (c *Controller) Request(count int, endpoints []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Request(c.o.Clock.Now(), count, endpoints) {
		wake(c.wakeAsks)
	}
}

// Recheck returns one of the endpoints that must get the next request, because it
// got none lately and only its answers show whether its limit has ended. Without a
// permit it asks for one in the background, and returns an empty string.
func (c *Controller) Recheck(endpoints []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, asked := c.node.Recheck(c.o.Clock.Now(), endpoints)
	if asked {
		wake(c.wakeAsks)
	}
	return name
}

// Coming returns the number of permits for the endpoints that are valid, will be, or
// were asked for.
func (c *Controller) Coming(endpoints []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Coming(c.o.Clock.Now(), endpoints)
}

// Wait returns the time until a further permit of any of the endpoints may be
// issued. It is zero as long as that is not known.
func (c *Controller) Wait(endpoints []string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Wait(c.o.Clock.Now(), endpoints)
}

func (c *Controller) sweep() {
	v := c.o.Views.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Sweep(c.o.Clock.Now(), func(name string) bool {
		_, ok := v.EndpointByName(name)
		return ok
	})
	c.countLimited()
	for name := range c.rows.stored {
		if !c.node.Known(name) && c.node.Coordinator(name) == c.o.Self {
			c.rows.write(name, ratelimit.Limit{})
			wake(c.wakeRows)
		}
	}
}
