package ratelimits

import (
	"maps"
	"slices"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/telemetry"
	"github.com/cumincove/cumincove/ratelimit"
	"github.com/cumincove/cumincove/view"
)

// warmPeriod is the time between two checks whether endpoints are still cold.
const warmPeriod = 100 * time.Millisecond

// coldEndpoints is what an instance knows about the cold endpoints.
type coldEndpoints struct {
	// known has the listed endpoints, by name. It is nil before the endpoints were first
	// read.
	known map[string]knownEndpoint
	// marked has the endpoints that are cold and marked as limited.
	marked map[string]bool
}

// knownEndpoint is an endpoint as last listed.
type knownEndpoint struct {
	incarnation int64
	evacuated   bool
	// limited indicates that its service has a cold rate.
	limited bool
	// assumedUntil is when the endpoint stops being cold although its entry does not
	// state that it is: it has just appeared, or its data centre's evacuation ended.
	assumedUntil time.Duration
	// until is when the endpoint stops being cold, and turnedAt when this instance
	// learned that it had become cold again.
	until, turnedAt time.Duration
}

func newColdEndpoints() coldEndpoints { return coldEndpoints{marked: map[string]bool{}} }

// HandleEndpoints records which endpoints of a snapshot are cold, and marks them and the
// others with a limit. It must be called before the snapshot is published, so that no
// request is sent to them without a permit.
func (c *Controller) HandleEndpoints(v *view.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	if v.Config.Version > 0 && v.ReplicasRead() { // else services or endpoints are not known yet
		c.recordCold(now, v)
	}
	for _, name := range c.node.LimitedEndpoints(now) {
		c.markEndpoint(v, name)
	}
	c.countLimited()
}

// recordCold records which endpoints of a snapshot are cold. The caller must hold mu.
func (c *Controller) recordCold(now time.Duration, v *view.View) {
	known := map[string]knownEndpoint{}
	var turned telemetry.Names
	for _, r := range v.Replicas() {
		service := v.Config.Services[r.Service]
		k := c.cold.observe(now, r, service, v.Evacuated(r.DataCentre))
		known[r.Name] = k
		if now >= k.until || !k.limited {
			c.node.ClearCold(r.Name)
			continue
		}
		if !c.cold.marked[r.Name] {
			turned = append(turned, r.Name)
		}
		c.cold.marked[r.Name] = true
		c.node.SetCold(r.Name, ratelimit.Cold{
			Incarnation: k.incarnation, Rate: service.ColdPerSecond, Until: k.until, TurnedAt: k.turnedAt,
		})
	}
	c.cold.known = known
	if len(turned) > 0 {
		c.o.Scope.Counter("endpoints_cold").Inc(int64(len(turned)))
		c.o.Log.Info("endpoints are cold", "endpoints", turned)
	}
}

// observe returns what is known of an endpoint after it was listed once more.
func (c *coldEndpoints) observe(now time.Duration, r infra.Replica, s config.Service, evacuated bool) knownEndpoint {
	old, listed := c.known[r.Name]
	seen := listed && old.incarnation == r.Incarnation
	k := knownEndpoint{incarnation: r.Incarnation, evacuated: evacuated, limited: s.ColdPerSecond > 0}
	if seen {
		k.assumedUntil, k.turnedAt = old.assumedUntil, old.turnedAt
	}
	returned := seen && old.evacuated && !evacuated
	appeared := c.known != nil && !seen && !r.ColdStated
	if returned || appeared {
		k.assumedUntil = now + time.Duration(s.ColdStart)
	}
	k.until = max(k.assumedUntil, r.ColdUntil)
	wasCold := seen && old.limited && now < old.until
	switch {
	case now >= k.until || returned:
		k.turnedAt = 0
	case listed && !wasCold && !evacuated: // also if it started again under its name
		k.turnedAt = now
	}
	return k
}

// unmarkWarm unmarks the endpoints that are not cold any more.
func (c *Controller) unmarkWarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cold.marked) == 0 {
		return
	}
	now := c.o.Clock.Now()
	v := c.o.Views.Load()
	for _, name := range slices.Collect(maps.Keys(c.cold.marked)) {
		if c.node.LimitAt(now, name).Cold {
			continue
		}
		delete(c.cold.marked, name)
		c.markEndpoint(v, name)
	}
	c.countLimited()
}
