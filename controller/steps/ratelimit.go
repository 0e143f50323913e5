package steps

import (
	"errors"
	"time"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/view"
)

// RateLimits issues permits for endpoints that limit their requests per second.
type RateLimits interface {
	// Usable returns the number of requests that may be sent to an endpoint now.
	Usable(endpoint string) int
	// Take uses up a permit for an endpoint.
	Take(endpoint string) (until time.Duration, ok bool)
	// Request asks in the background for as many permits as count requests need at
	// any of the endpoints.
	Request(count int, endpoints []string)
	// Recheck asks in the background for permits of those endpoints that got no
	// request lately.
	Recheck(endpoints []string) string
}

// errNoPermit is returned for a stream to an endpoint that takes no more requests
// at present.
var errNoPermit = errors.New("steps: no permit for an endpoint with a rate limit")

// permitted returns how many of the free slots of an endpoint may be used now.
func (c *Controller) permitted(e *view.Endpoint, free int) int {
	if c.o.RateLimits == nil || !e.Stats.RateLimited.Load() {
		return free
	}
	return min(free, c.o.RateLimits.Usable(e.Name))
}

// countWaiting updates the number of samples that wait at this instance. The caller
// must hold r.mu.
func (r *runner) countWaiting(waiting int) {
	r.c.waitingSamples.Add(int64(waiting - r.waiting))
	r.waiting = waiting
}

// requestPermits asks for permits for the samples that wait at this instance, at
// those of the endpoints that have a limit.
func (c *Controller) requestPermits(endpoints []durable.Endpoint, v *view.View) {
	if c.o.RateLimits == nil {
		return
	}
	var limited []string
	for _, d := range endpoints {
		if e, ok := v.EndpointByName(d.Name); ok && e.Stats.RateLimited.Load() {
			limited = append(limited, e.Name)
		}
	}
	if len(limited) > 0 {
		c.o.RateLimits.Recheck(limited)
		c.o.RateLimits.Request(int(c.waitingSamples.Load()), limited)
	}
}

// takePermit uses up a permit if the endpoint has a limit. It returns errNoPermit if
// there is none, or if the endpoint has left, has begun to leave or has started again
// since it was selected: what is known of its limit is then about another start.
func (c *Controller) takePermit(selected *view.Endpoint) error {
	if c.o.RateLimits == nil {
		return nil
	}
	e, ok := c.o.Views.Load().EndpointByName(selected.Name)
	if !ok || e.Stats != selected.Stats || e.Leaving && !selected.Leaving {
		return errNoPermit
	}
	if !e.Stats.RateLimited.Load() {
		return nil
	}
	if _, ok := c.o.RateLimits.Take(e.Name); !ok {
		return errNoPermit
	}
	return nil
}
