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

// Options configures a Controller.
type Options struct {
	Table     infra.Table
	Endpoints infra.Endpoints
	Leases    *leases.Manager
	Views     *view.Store
	Clock     clock.Clock
	// Holder is this instance's name.
	Holder  string
	Log     *slog.Logger
	Metrics tally.Scope
	// Poll is the period between two observations of a data centre.
	Poll time.Duration
	// Settle is how long a count may differ from its accepted order before a new
	// order is sent.
	Settle time.Duration
	// NotifyPeers, if set, starts exchanges with other instances at once.
	NotifyPeers func()
	// DemandReports, if set, returns the last demand report of each instance
	// that may have callers. Without it, counts only follow the bounds of their
	// pools.
	DemandReports func() []capacity.InstanceReport
}

// Controller observes and orders the endpoints of all data centres.
type Controller struct {
	o Options

	mu           sync.Mutex
	watches      map[string]*Watch // by data centre
	workers      map[string]*dcWorker
	demand       capacity.Collector
	trends       map[string]*needTrend // by service
	storedOrders storedOrders

	// heldAt is the boot time at which this instance last held a duty.
	heldAt    atomic.Int64
	demandDue time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.NotifyPeers == nil {
		o.NotifyPeers = func() {}
	}
	return &Controller{o: o, watches: map[string]*Watch{}, workers: map[string]*dcWorker{}}
}

// Run observes and orders endpoints until ctx ends. It starts a worker for each
// data centre that appears in the configuration or among the members.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.pollOrders(ctx) })
	t := time.NewTicker(c.o.Poll)
	defer t.Stop()
	for {
		c.updateDemand()
		for _, dc := range dataCentres(c.o.Views.Load()) {
			if c.workers[dc] == nil {
				worker := newDCWorker(c, dc)
				c.mu.Lock()
				c.workers[dc] = worker
				c.mu.Unlock()
				wg.Go(func() { worker.run(ctx) })
			}
		}
		for _, worker := range c.workers {
			worker.requestObservation()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// dataCentres lists the data centres that may have endpoints: those of the pools
// and of the instances.
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

// watch returns the Watch of a data centre. It locks mu itself; the caller must
// hold mu to use the Watch.
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

// publish writes the endpoint lists of all data centres to the snapshot and
// wakes the workers. The caller must hold mu.
func (c *Controller) publish() {
	var all []infra.RunningEndpoint
	for _, w := range c.watches {
		list, _ := w.List()
		all = append(all, list...)
	}
	c.o.Views.Update(func(v *view.View) { v.SetRunning(all) })
	for _, worker := range c.workers {
		worker.requestOrders()
	}
}
