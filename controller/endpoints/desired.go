package endpoints

import (
	"time"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/order"
	"github.com/cumincove/cumincove/view"
)

// tierCheap is the price class of endpoints that the platform may reclaim. It may
// reclaim all of them in a data centre at once.
const tierCheap = "cheap"

// defaultSlots is the assumed number of requests that an endpoint runs at a time
// while no endpoint of the service reports it.
const defaultSlots = 8

// setDesired passes the desired counts to the machine and reports whether it
// did. It changes nothing without a configuration or before the machine has
// loaded the last orders.
func (w *dcWorker) setDesired() bool {
	v := w.c.o.Views.Load()
	ordered, ok := w.machine.Ordered()
	if !ok || v.Config.Version == 0 {
		return false
	}
	desired := map[order.Set]int{}
	for set := range ordered {
		desired[set] = 0 // unless the configuration has a pool for it
	}
	unavailablePools := 0
	for name, service := range v.Config.Services {
		counts := w.plan(v, service, ordered)
		for i, p := range service.Pools {
			if p.DataCentre == w.dataCentre {
				desired[order.Set{Service: name, Tier: p.Tier}] = counts[i]
			}
		}
		unavailablePools += w.planners[name].UnavailablePools()
	}
	for name := range w.planners {
		if _, ok := v.Config.Services[name]; !ok {
			delete(w.planners, name)
		}
	}
	w.unavailablePools.Update(float64(unavailablePools))
	w.machine.SetDesired(desired)
	return true
}

// plan returns the counts of all pools of a service. It also plans the pools of
// other data centres, since pools replace each other's missing capacity.
func (w *dcWorker) plan(v *view.View, service config.Service, ordered map[order.Set]int) []int {
	planner := w.planners[service.Name]
	if planner == nil {
		planner = &capacity.Planner{}
		w.planners[service.Name] = planner
	}
	now := w.c.o.Clock.Now()
	refused, observedRunning := w.machine.Refused(), w.machine.ObservedRunning()
	pools := make([]capacity.PoolState, len(service.Pools))
	w.c.mu.Lock()
	for i, p := range service.Pools {
		set := order.Set{Service: service.Name, Tier: p.Tier}
		pools[i] = w.c.poolState(now, p, set)
		if p.DataCentre == w.dataCentre {
			pools[i].Ordered, pools[i].HasOrder = ordered[set], true
			pools[i].Refused, pools[i].ObservedRunning = refused[set], observedRunning[set]
		}
	}
	d := w.c.demand.Demand(service.Name)
	w.c.mu.Unlock()
	return planner.Plan(now, pools, capacity.NeedOf(d.Load, slots(v, service.Name)), d.Complete)
}

// poolState returns the state of a pool from its Watch and its stored order. The
// caller must hold mu.
func (c *Controller) poolState(now time.Duration, p config.Pool, set order.Set) capacity.PoolState {
	state := capacity.PoolState{Pool: poolOf(p)}
	if w := c.watches[p.DataCentre]; w != nil {
		state.Observed = observation(now, w, set)
	}
	if o, ok := c.storedOrders.orders[p.DataCentre][set]; ok {
		state.Ordered, state.HasOrder, state.ObservedRunning = o.count, true, o.observedRunning
		state.Refused = o.stuck
	}
	return state
}

func poolOf(p config.Pool) capacity.Pool {
	return capacity.Pool{
		DataCentre: p.DataCentre,
		Cheap:      p.Tier == tierCheap,
		Min:        p.Min,
		Max:        p.Max,
		HourlyCost: p.HourlyCost,
	}
}

// observation returns the observed state of a set.
func observation(now time.Duration, w *Watch, set order.Set) capacity.Observation {
	list, hasList := w.List()
	out := capacity.Observation{Valid: hasList, Fresh: w.Fresh(now)}
	out.Live = liveCounts(list)[set]
	return out
}

// slots returns how many requests an endpoint of a service runs at a time.
func slots(v *view.View, service string) int {
	most := 0
	for _, e := range v.Endpoints[service] {
		most = max(most, e.Load.MaxRunning)
	}
	if most == 0 {
		return defaultSlots
	}
	return most
}
