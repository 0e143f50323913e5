package endpoints

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

// Options says what a Controller works with.
type Options struct {
	Table     infra.Table
	Endpoints infra.Endpoints
	Keeper    *leases.Keeper
	Views     *view.Store
	Clock     clock.Clock
	// Holder is this instance's name.
	Holder  string
	Log     *slog.Logger
	Metrics tally.Scope
	// Poll is the period between two observations of a data centre.
	Poll time.Duration
	// Settle is how long a count may differ from its order before it is
	// ordered again.
	Settle time.Duration
	// Urge, if set, makes exchanges with other instances begin at once.
	Urge func()
	// Demands, if set, lists the instances that may have callers with what
	// they last told of their demand. Without it, counts only follow their
	// bounds.
	Demands func() []capacity.Told
}

// Controller observes and orders the endpoints of all data centres.
type Controller struct {
	o Options

	mu      sync.Mutex
	watches map[string]*Watch // by data centre
	sites   map[string]*site
	demand  capacity.Collector
	trends  map[string]*needTrend // by service
	others  others

	// heldAt is the boot time at which some duty was held last.
	heldAt   atomic.Int64
	senseDue time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Urge == nil {
		o.Urge = func() {}
	}
	return &Controller{o: o, watches: map[string]*Watch{}, sites: map[string]*site{}}
}

// Run works until ctx ends. Data centres are taken up as the configuration
// names them.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.followOthers(ctx) })
	t := time.NewTicker(c.o.Poll)
	defer t.Stop()
	for {
		c.sense()
		for _, dc := range dataCentres(c.o.Views.Load()) {
			if c.sites[dc] == nil {
				s := newSite(c, dc)
				c.mu.Lock()
				c.sites[dc] = s
				c.mu.Unlock()
				wg.Go(func() { s.run(ctx) })
			}
		}
		for _, s := range c.sites {
			s.turn()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// dataCentres lists where endpoints may be running: where pools or instances
// are.
func dataCentres(v *view.View) []string {
	var all []string
	for _, s := range v.Config.Services {
		for _, p := range s.Pools {
			all = append(all, p.DataCentre)
		}
	}
	for _, m := range v.Members {
		all = append(all, m.DataCentre)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(dc string) bool { return dc == "" })
}

// watch returns the Watch of a data centre, which needs mu for use.
func (c *Controller) watch(dataCentre string) *Watch {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.watches[dataCentre]
	if w == nil {
		w = &Watch{}
		c.watches[dataCentre] = w
	}
	return w
}

// publish puts what is known to run in all data centres into the snapshot, and
// lets the sites act on it. It needs mu.
func (c *Controller) publish() {
	var all []infra.RunningEndpoint
	for _, w := range c.watches {
		list, _ := w.List()
		all = append(all, list...)
	}
	c.o.Views.Update(func(v *view.View) { v.SetRunning(all) })
	for _, s := range c.sites {
		s.wakeUp()
	}
}
