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
	// planPeriod is the time between two plans.
	planPeriod = 100 * time.Millisecond
	// demandPeriod is the time between two reads of the demand.
	demandPeriod = time.Second
	// Of n engines, n/loadDivisor may load at a time, but never fewer than
	// minConcurrentLoads. More loads slow each other down, and engines refuse
	// samples while they load.
	minConcurrentLoads = 2
	loadDivisor        = 8
	// settleTime is how long the effect of an order may take to appear in the
	// snapshot before the engine gets another order.
	settleTime = 4 * time.Second
	// retryTime is the pause after an order that was not accepted.
	retryTime = 300 * time.Millisecond
)

// Options configures a Controller.
type Options struct {
	Engines infra.Engines
	// Demand reads the amount of work that the steps of each model require.
	Demand func(ctx context.Context) (map[string]float64, error)
	Leases *leases.Manager
	Views  *view.Store
	Clock  clock.Clock
	Log    *slog.Logger
	Scope  tally.Scope
	Holder string
	// RefreshEndpoints triggers a read of the endpoints' rows at once.
	RefreshEndpoints func()
	// NamedVersions returns the named version of each model.
	NamedVersions func() map[string]uint64
	// SingleVersion reports whether each sample must be generated under a single
	// version, so that a load has to wait for the running samples.
	SingleVersion func(v *view.View) bool
}

// Controller sends the orders while it holds the duty.
type Controller struct {
	o    Options
	duty *leases.Runner

	mu sync.Mutex
	// demand is the work of each model as last read.
	demand map[string]float64
	// pendingOrders has the last order of each engine, by engine name, until the
	// snapshot shows its effect or it times out.
	pendingOrders map[string]pendingOrder
}

// pendingOrder is the last load ordered from an engine, whether or not the engine
// accepted it. The engine gets no other order before until.
type pendingOrder struct {
	load  Load
	until time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{o: o, duty: o.Leases.Runner(leases.Duty{Name: leases.Weights}), pendingOrders: map[string]pendingOrder{}}
}

// Run plans and orders loads until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(planPeriod)
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
			c.startLoads(ctx, &wg)
		case <-ctx.Done():
			return nil
		}
	}
}

// readDemand reads the work of each model if this instance holds the duty. After
// a failed read the previous values stay.
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

// startLoads starts the loads that are due, up to the limit of concurrent loads.
func (c *Controller) startLoads(ctx context.Context, wg *sync.WaitGroup) {
	if !c.duty.Holds() {
		return
	}
	v := c.o.Views.Load()
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	loading := c.removeSettled(v, now)
	if loading > 0 {
		c.o.RefreshEndpoints()
	}
	goal := Goal{NamedVersions: c.o.NamedVersions(), Demand: c.demand}
	engines := enginesOf(v)
	maxLoads := max(len(engines)/loadDivisor, minConcurrentLoads)
	for _, load := range Plan(engines, goal, c.pendingByModel()) {
		if loading >= maxLoads {
			return
		}
		if _, busy := c.pendingOrders[load.Engine]; busy {
			continue
		}
		e, ok := v.EndpointByName(load.Engine)
		if !ok {
			continue
		}
		loading++
		c.pendingOrders[load.Engine] = pendingOrder{load, now + settleTime}
		wg.Go(func() { c.sendOrder(ctx, e, load) })
	}
}

// pendingByModel counts the pending orders of each model.
func (c *Controller) pendingByModel() map[string]int {
	counts := map[string]int{}
	for _, o := range c.pendingOrders {
		counts[o.load.Model]++
	}
	return counts
}

// removeSettled removes the orders that took effect or timed out, and returns the
// number of remaining ones.
func (c *Controller) removeSettled(v *view.View, now time.Duration) int {
	for name, o := range c.pendingOrders {
		e, ok := v.EndpointByName(name)
		if !ok || now >= o.until || e.Weights[o.load.Model] >= o.load.Version {
			delete(c.pendingOrders, name)
		}
	}
	return len(c.pendingOrders)
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

// sendOrder orders a load under the lease. If the order has certainly failed, the
// engine can get another one after retryTime.
func (c *Controller) sendOrder(ctx context.Context, e *view.Endpoint, load Load) {
	start := c.o.Clock.Now()
	err := c.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		return c.orderIfNeeded(ctx, e, load, epoch)
	})
	took := c.o.Clock.Now() - start
	c.o.Log.Info("weights ordered", "endpoint", load.Engine, "model", load.Model, "version", load.Version,
		"before", e.Weights[load.Model], "took", took, "error", err)
	c.o.Scope.Counter("weight_orders").Inc(1)
	c.o.Scope.Timer("weight_order").Record(took)
	if err == nil || errors.Is(err, infra.ErrUnknownOutcome) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingOrders[load.Engine] = pendingOrder{load, c.o.Clock.Now() + retryTime}
}

// orderIfNeeded reads the engine's report and orders the load if it is still
// needed. The order contains the number of orders that the engine has accepted.
func (c *Controller) orderIfNeeded(ctx context.Context, e *view.Endpoint, load Load, epoch uint64) error {
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
		KeepRunningSamples: !c.o.SingleVersion(c.o.Views.Load()),
		ExpectedOrders:     report.AcceptedOrders, Holder: c.o.Holder, Epoch: epoch,
	})
}
