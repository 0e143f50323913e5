package endpoints

import (
	"time"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/order"
	"github.com/cumincove/cumincove/view"
)

// tierCheap is the price class that the platform may reclaim a whole data
// centre at a time.
const tierCheap = "cheap"

// defaultSlots is the number of requests that an endpoint is taken to run at a
// time when none says.
const defaultSlots = 8

// want tells the machine the wanted counts, and reports whether it did. Without
// a configuration, or before the last orders were read, nothing is wanted to
// change.
func (s *site) want() bool {
	v := s.c.o.Views.Load()
	ordered, ok := s.machine.Ordered()
	if !ok || v.Config.Version == 0 {
		return false
	}
	want := map[order.Set]int{}
	for set := range ordered {
		want[set] = 0 // unless the configuration has a pool for it
	}
	out := 0
	for name, service := range v.Config.Services {
		counts := s.plan(v, service, ordered)
		for i, p := range service.Pools {
			if p.DataCentre == s.dataCentre {
				want[order.Set{Service: name, Tier: p.Tier}] = counts[i]
			}
		}
		out += s.planners[name].Out()
	}
	for name := range s.planners {
		if _, ok := v.Config.Services[name]; !ok {
			delete(s.planners, name)
		}
	}
	s.out.Update(float64(out))
	s.machine.Want(want)
	return true
}

// plan returns the counts of all pools of a service. Those of other data
// centres are planned as well, since one makes up for another.
func (s *site) plan(v *view.View, service config.Service, ordered map[order.Set]int) []int {
	planner := s.planners[service.Name]
	if planner == nil {
		planner = &capacity.Planner{}
		s.planners[service.Name] = planner
	}
	now := s.c.o.Clock.Now()
	refused, ran := s.machine.Refused(), s.machine.Ran()
	pools := make([]capacity.PoolState, len(service.Pools))
	s.c.mu.Lock()
	for i, p := range service.Pools {
		set := order.Set{Service: service.Name, Tier: p.Tier}
		pools[i] = s.c.poolState(now, p, set)
		if p.DataCentre == s.dataCentre {
			pools[i].Ordered, pools[i].OrderedKnown = ordered[set], true
			pools[i].Refused, pools[i].Ran = refused[set], ran[set]
		}
	}
	d := s.c.demand.Demand(service.Name)
	s.c.mu.Unlock()
	return planner.Plan(now, pools, capacity.NeedOf(d.Load, slots(v, service.Name)), d.Known)
}

// poolState needs mu. It is what is known of a pool without the machine.
func (c *Controller) poolState(now time.Duration, p config.Pool, set order.Set) capacity.PoolState {
	state := capacity.PoolState{Pool: poolOf(p)}
	if w := c.watches[p.DataCentre]; w != nil {
		state.Seen = seen(now, w, set)
	}
	if o, ok := c.others.orders[p.DataCentre][set]; ok {
		state.Ordered, state.OrderedKnown, state.Ran = o.count, true, o.ran
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

// seen says what runs of a set.
func seen(now time.Duration, w *Watch, set order.Set) capacity.Seen {
	list, known := w.List()
	out := capacity.Seen{Known: known, Fresh: w.Fresh(now)}
	out.Live = liveCounts(list)[set]
	return out
}

// slots is how many requests an endpoint of a service runs at a time.
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
