// Package speeds shares the speeds of endpoints between instances.
//
// A Controller feeds a speed.Estimator with the measurements of this instance and
// with the reports in the other instances' rows, and provides the resulting speeds.
package speeds

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
	"github.com/cumincove/cumincove/speed"
	"github.com/cumincove/cumincove/view"
)

const (
	// refreshPeriod is the time between two computations of the speeds.
	refreshPeriod = 300 * time.Millisecond
	// slowBelow is the speed below which an endpoint is classed as slow, and fastFrom
	// the speed from which on it is classed as fast. It stays in its class until its
	// speed differs from the bound by more than classMargin.
	slowBelow   = 0.65
	fastFrom    = 1.5
	classMargin = 1.2
	// maxMembersAge is the age of the other instances' rows from which on all speeds
	// count as unknown: without knowledge of each other's requests, the instances
	// together would send too many to the few fast endpoints.
	maxMembersAge = 3 * time.Second
	// maxGauges bounds the endpoints with a gauge of their speed.
	maxGauges = 64
	// logPeriod is the shortest time between two log lines.
	logPeriod = 5 * time.Second
)

// Options are the dependencies of a Controller.
type Options struct {
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
}

// Controller provides the speeds of endpoints. It is safe for concurrent use. Requests
// read only the last computed speeds, and never wait for a computation.
type Controller struct {
	o Options
	// current contains the last computed speeds.
	current atomic.Pointer[map[string]speed.Speed]
	// placements counts the started work by the class of the endpoint's speed, and
	// dropped the measurements that came during a computation.
	placements map[string]tally.Counter
	dropped    tally.Counter

	mu        sync.Mutex
	estimator *speed.Estimator
	// view is the snapshot from which serviceOf was computed. serviceOf contains the
	// service of each endpoint, the first one by name.
	view      *view.View
	serviceOf map[string]string
	// classes contains the classes of the endpoints that are not normal, logged those
	// that were logged last, at loggedAt, and gauges the endpoints whose speed is
	// reported as a metric.
	classes, logged map[string]string
	loggedAt        time.Duration
	gauges          map[string]bool
}

// New returns a Controller without measurements: all speeds are unknown until Run has
// computed them.
func New(o Options) *Controller {
	c := &Controller{
		o: o, estimator: speed.New(), loggedAt: -logPeriod, gauges: map[string]bool{},
		placements: map[string]tally.Counter{}, dropped: o.Scope.Counter("speed_measurements_dropped"),
	}
	for _, class := range []string{slow, normal, fast} {
		c.placements[class] = o.Scope.Tagged(map[string]string{"class": class}).Counter("placements_by_speed")
	}
	c.current.Store(&map[string]speed.Speed{})
	return c
}

// Run computes the speeds regularly until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.refresh()
		}
	}
}

// Observe records that work at an endpoint took some time, with other work beside
// it. See speed.Observation. It drops the measurement rather than wait.
func (c *Controller) Observe(e *view.Endpoint, kind string, work float64, took time.Duration, beside int) {
	if !c.mu.TryLock() {
		c.dropped.Inc(1)
		return
	}
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	c.readView(now)
	service, ok := c.serviceOf[e.Name]
	if !ok {
		return
	}
	c.estimator.Observe(now, speed.Observation{
		Service: service, Endpoint: e.Name, Incarnation: e.Incarnation,
		Kind: kind, Work: work, Took: took, Beside: beside,
	})
}

// readView updates the state that depends on the list of endpoints. The caller must
// hold the lock.
func (c *Controller) readView(now time.Duration) {
	v := c.o.Views.Load()
	if v == c.view {
		return
	}
	c.view = v
	c.serviceOf = make(map[string]string, len(v.AllEndpoints()))
	counts := make(map[string]int, len(v.Endpoints))
	for _, service := range slices.Sorted(maps.Keys(v.Endpoints)) {
		for _, e := range v.Endpoints[service] {
			if _, ok := c.serviceOf[e.Name]; !ok {
				c.serviceOf[e.Name] = service
				counts[service]++
			}
		}
	}
	c.estimator.SetEndpoints(now, counts)
}

// Any reports whether any endpoint's speed differs from that of its service's median.
func (c *Controller) Any() bool { return len(*c.current.Load()) > 0 }

// Speed returns the endpoint's speed relative to the median of its service; zero means
// unknown.
func (c *Controller) Speed(e *view.Endpoint) float64 {
	s, ok := (*c.current.Load())[e.Name]
	if !ok || s.Incarnation != e.Incarnation {
		return 0
	}
	return s.Value
}

// CountPlacement counts work that starts at an endpoint, by the class of its speed.
func (c *Controller) CountPlacement(e *view.Endpoint) {
	if c.Any() {
		c.placements[classOf(c.Speed(e), normal)].Inc(1)
	}
}

// refresh computes the speeds and returns this instance's report.
func (c *Controller) refresh() speed.Report {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readView(now)
	speeds, report := c.estimator.SpeedsAndReport(now)
	if at := c.view.MembersAt; at != 0 && now-at > maxMembersAge {
		clear(speeds)
	}
	maps.DeleteFunc(speeds, func(name string, s speed.Speed) bool {
		e, ok := c.view.EndpointByName(name)
		return !ok || e.Incarnation != s.Incarnation
	})
	c.current.Store(&speeds)
	c.classify(now, speeds)
	return report
}

// NewReport returns this instance's report for its row.
func (c *Controller) NewReport() Report { return toReport(c.refresh()) }

// HandleReport handles the report of another instance.
func (c *Controller) HandleReport(instance string, r Report) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.HandleReport(now, instance, r.entries())
}
