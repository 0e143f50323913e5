package models

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

const (
	// lookPeriod is the time between two looks at what is due.
	lookPeriod = 100 * time.Millisecond
	// demandPeriod is the time between two reads of the demand.
	demandPeriod = time.Second
	// leastAtOnce is how many engines may load at a time in any case, and
	// loadShare the part of all engines that may, as a divisor: more slow each
	// other down, and engines that load refuse samples.
	leastAtOnce = 2
	loadShare   = 8
	// settleTime is how long an accepted order may take to show before the
	// engine is asked again.
	settleTime = 4 * time.Second
	// retryTime is the pause after an order that was not accepted.
	retryTime = 300 * time.Millisecond
)

// Options says what a Controller works with.
type Options struct {
	Engines infra.Engines
	// Demand reads the work that the steps of each model bring.
	Demand func(ctx context.Context) (map[string]float64, error)
	Keeper *leases.Keeper
	Views  *view.Store
	Clock  clock.Clock
	Log    *slog.Logger
	Scope  tally.Scope
	Holder string
	// ReadEndpoints has the endpoints' rows read at once.
	ReadEndpoints func()
	// Named returns the named version of each model.
	Named func() map[string]uint64
	// SingleVersion reports whether samples must be generated under one version,
	// so that a load has to wait for those that run.
	SingleVersion func(v *view.View) bool
}

// Controller gives the orders while it holds the duty.
type Controller struct {
	o    Options
	duty *leases.Runner

	mu sync.Mutex
	// demand is the work of each model as last read.
	demand map[string]float64
	// ordered holds what each engine was last told, by its name.
	ordered map[string]order
}

// order is a load that an engine was told, and until when it is not told
// another.
type order struct {
	load  Load
	until time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{o: o, duty: o.Keeper.Runner(leases.Duty{Name: leases.Weights}), ordered: map[string]order{}}
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(lookPeriod)
	defer tick.Stop()
	reread := time.NewTicker(demandPeriod)
	defer reread.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-reread.C:
			c.readDemand(ctx)
		case <-tick.C:
			c.look(ctx, &wg)
		case <-ctx.Done():
			return nil
		}
	}
}

// readDemand reads the work of each model, if this instance holds the duty. What
// was read before stays when the store does not answer.
func (c *Controller) readDemand(ctx context.Context) {
	if !c.duty.Holds() {
		return
	}
	demand, err := c.o.Demand(ctx)
	if err != nil {
		c.o.Log.Debug("demand not read", "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand = demand
}

// look begins the loads that are due and for which there is room.
func (c *Controller) look(ctx context.Context, wg *sync.WaitGroup) {
	if !c.duty.Holds() {
		return
	}
	v := c.o.Views.Load()
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	loading := c.settle(v, now)
	if loading > 0 {
		c.o.ReadEndpoints()
	}
	goal := Goal{Named: c.o.Named(), Demand: c.demand}
	engines := enginesOf(v)
	atOnce := max(len(engines)/loadShare, leastAtOnce)
	for _, load := range Plan(engines, goal, c.given()) {
		if loading >= atOnce {
			return
		}
		if _, busy := c.ordered[load.Engine]; busy {
			continue
		}
		e, ok := v.EndpointByName(load.Engine)
		if !ok {
			continue
		}
		loading++
		c.ordered[load.Engine] = order{load, now + settleTime}
		wg.Go(func() { c.give(ctx, e, load) })
	}
}

// given counts the loads of each model that were ordered and don't show yet.
func (c *Controller) given() map[string]int {
	counts := map[string]int{}
	for _, o := range c.ordered {
		counts[o.load.Model]++
	}
	return counts
}

// settle forgets the orders that took effect, or took too long, and returns how
// many are left.
func (c *Controller) settle(v *view.View, now time.Duration) int {
	for name, o := range c.ordered {
		e, ok := v.EndpointByName(name)
		if !ok || now >= o.until || e.Weights[o.load.Model] >= o.load.Version {
			delete(c.ordered, name)
		}
	}
	return len(c.ordered)
}

// enginesOf lists the engines that may load weights.
func enginesOf(v *view.View) []Engine {
	var list []Engine
	for _, s := range v.Config.Services {
		if s.Type != config.ServiceEngine {
			continue
		}
		for _, e := range v.Endpoints[s.Name] {
			if !e.Leaving && len(e.Weights) > 0 {
				list = append(list, Engine{Name: e.Name, Weights: e.Weights})
			}
		}
	}
	return list
}

// give sends an order under the lease.
func (c *Controller) give(ctx context.Context, e *view.Endpoint, load Load) {
	began := c.o.Clock.Now()
	err := c.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		return c.order(ctx, e, load, epoch)
	})
	took := c.o.Clock.Now() - began
	c.o.Log.Info("weights ordered", "endpoint", load.Engine, "model", load.Model, "version", load.Version,
		"before", e.Weights[load.Model], "took", took, "error", err)
	c.o.Scope.Counter("weight_orders").Inc(1)
	c.o.Scope.Timer("weight_order").Record(took)
	if err == nil || errors.Is(err, infra.ErrUnknownOutcome) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordered[load.Engine] = order{load, c.o.Clock.Now() + retryTime}
}

// order asks the engine how many orders it has accepted, and orders the load if
// it is still needed.
func (c *Controller) order(ctx context.Context, e *view.Endpoint, load Load, epoch uint64) error {
	ref := infra.EngineRef{Endpoint: e.Name, Addr: e.Addr}
	report, err := c.o.Engines.Report(ctx, ref)
	switch {
	case err != nil:
		return errors.Join(infra.ErrUnavailable, err) // nothing was ordered
	case report.Versions[load.Model] >= load.Version:
		return nil
	case report.Busy:
		return infra.ErrOrderRefused
	}
	return c.o.Engines.Order(ctx, infra.WeightOrder{
		Engine: ref, Model: load.Model, Version: load.Version,
		KeepRuns: !c.o.SingleVersion(c.o.Views.Load()),
		Expected: report.Orders, Holder: c.o.Holder, Epoch: epoch,
	})
}
