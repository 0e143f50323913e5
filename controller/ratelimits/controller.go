package ratelimits

import (
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/ratelimit"
	"github.com/cumincove/cumincove/view"
)

// Options are the dependencies of a Controller.
type Options struct {
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
}

// Controller keeps the limits of one instance. It is safe for concurrent use.
type Controller struct {
	o Options

	mu    sync.Mutex
	table ratelimit.Table
}

// New returns a Controller without limits.
func New(o Options) *Controller { return &Controller{o: o} }

// HandleAnswer records what an endpoint's answer says about its limit.
func (c *Controller) HandleAnswer(a attempt.RateLimitAnswer) {
	e, ok := c.o.Views.Load().EndpointByName(a.Endpoint)
	if !ok || len(a.Values) == 0 && !e.Stats.RateLimited.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l, changed := c.table.HandleAnswer(c.o.Clock.Now(), ratelimit.Answer{
		Endpoint: a.Endpoint, Incarnation: e.Incarnation, Values: a.Values, HandedOff: a.HandedOff,
	})
	if !changed {
		return
	}
	e.Stats.RateLimited.Store(l.Rate > 0)
	if l.Rate == 0 {
		c.o.Log.Info("endpoint names no rate limit any more", "endpoint", a.Endpoint, "incarnation", l.Incarnation)
		return
	}
	c.o.Scope.Counter("endpoint_limits_named").Inc(1)
	c.o.Log.Info("endpoint names a rate limit", "endpoint", a.Endpoint, "incarnation", l.Incarnation, "per_second", l.Rate)
}

// CountSend counts a request that is handed off to an endpoint, if the endpoint has
// a limit. Kind is what the request is for.
func (c *Controller) CountSend(endpoint, kind string) {
	e, ok := c.o.Views.Load().EndpointByName(endpoint)
	if !ok || !e.Stats.RateLimited.Load() {
		return
	}
	c.o.Scope.Tagged(map[string]string{"kind": kind}).Counter("sends_to_limited_endpoints").Inc(1)
	c.o.Log.Debug("request sent to an endpoint with a rate limit", "endpoint", e.Name, "kind", kind)
}
