// Package load polls the engines' load reports and publishes them to the
// snapshot. Each engine is polled by one instance of each data centre, which
// forwards the report to the other instances there.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/view"
)

// roundsPerPoll is the number of rounds in a poll period. With several rounds,
// reports that peers forward are published sooner, and engines that peers did not
// poll are polled sooner.
const roundsPerPoll = 2

// Options are the settings and dependencies of a Controller.
type Options struct {
	Views  *view.Store
	Clock  clock.Clock
	Engine *engine.Client
	// Self is this instance's name, DataCentre its data centre.
	Self       string
	DataCentre string
	// Poll is the nominal period between two reports of an engine.
	Poll time.Duration
}

// Controller polls the engines, and forwards their reports in the exchanges
// between instances.
type Controller struct {
	o Options

	mu      sync.Mutex
	engines map[string]*engineState
	byHash  map[uint32]string // engine names; empty if several have the same hash
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{o: o, engines: map[string]*engineState{}, byHash: map[uint32]string{}}
}

// Run polls until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		c.Sync(ctx)
		period := c.o.Poll / roundsPerPoll
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(period*9/10 + rand.N(period/5+1)):
		}
	}
}

// Sync polls the engines that are due, and publishes their reports and those
// received from peers. If a poll fails, the last report stays in place; its age
// shows that it is out of date.
func (c *Controller) Sync(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range c.enginesToPoll() {
		wg.Go(func() { c.poll(ctx, e) })
	}
	wg.Wait()
	reports := c.changedReports()
	if len(reports) > 0 {
		c.o.Views.Update(func(v *view.View) { v.SetLoad(reports) })
	}
}

// enginesToPoll returns the engines that are due.
func (c *Controller) enginesToPoll() []*view.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	v := c.o.Views.Load()
	p := peerRankOf(v, c.o.Self, c.o.DataCentre)
	local, remote := c.observe(now, v)
	return append(
		c.dueEngines(now, local, p, reportPeriod(len(local), localRate, c.o.Poll), maxLocalPolls/roundsPerPoll),
		c.dueEngines(now, remote, p, reportPeriod(len(remote), remoteRate, c.o.Poll), maxRemotePolls/roundsPerPoll)...)
}

func (c *Controller) poll(ctx context.Context, e *view.Endpoint) {
	at := c.o.Clock.Now()
	own := int(e.Stats.InFlight.Load())
	l, err := c.o.Engine.Load(ctx, e.Addr)
	if err != nil {
		return
	}
	v := c.o.Views.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.engines[e.Name]; s != nil && s.update(l, at, c.forwardCount(v, s)) {
		s.recordOwn(at, own)
	}
}

// changedReports returns the reports that changed since the last call.
func (c *Controller) changedReports() map[string]view.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := map[string]view.LoadReport{}
	for name, s := range c.engines {
		if s.changed {
			s.changed = false
			reports[name] = view.LoadReport{Load: s.load, At: s.reportedAt, OwnInFlight: s.ownAt(s.reportedAt)}
		}
	}
	return reports
}
