package capacity

import "time"

const (
	// startGrace is how long a pool may have fewer endpoints than ordered before it
	// counts as unavailable.
	startGrace = time.Minute
	// outageMin and outageMax bound how long a pool that failed to provide what
	// was ordered counts as unavailable. The time doubles with each failure.
	outageMin = 30 * time.Second
	outageMax = 10 * time.Minute
)

// Observation is the last observation of a pool.
type Observation struct {
	// Valid means that the pool's data centre has been observed, and Fresh that
	// the observation is recent.
	Valid, Fresh bool
	// Live is the number of endpoints that are running or starting, without those
	// that are about to be reclaimed.
	Live int
}

// PoolState is the state of a pool as input to the Planner.
type PoolState struct {
	Pool
	Observed Observation
	// Ordered is the count of the last order. It is valid if HasOrder is set,
	// and may lag where another instance issues the orders.
	Ordered  int
	HasOrder bool
	// ObservedRunning is the number of endpoints that the instance which issued
	// the order has observed to run under it. Fewer live endpoints mean a loss.
	// Zero means that there is no such observation.
	ObservedRunning int
	// Refused means that the last order was refused.
	Refused bool
}

// current returns the number of endpoints that should run.
func (s PoolState) current() int {
	if s.HasOrder {
		return s.Ordered
	}
	return s.Observed.Live
}

// Planner plans the counts of one service's pools over time. The zero value is
// ready for use.
type Planner struct {
	pools map[poolKey]*poolPlan
}

type poolKey struct {
	dataCentre string
	cheap      bool
}

type poolPlan struct {
	policy Policy
	outage outage
}

// Plan returns the count for each pool. Complete means that the need includes the
// demand of all instances. Without it, or without a fresh observation of every
// pool, no count is lowered.
func (p *Planner) Plan(now time.Duration, pools []PoolState, need Need, complete bool) []int {
	plans := p.plans(pools)
	desired := Target(bounds(pools), need)
	usable := bounds(pools)
	for i, s := range pools {
		complete = complete && s.Observed.Valid && s.Observed.Fresh
		plans[i].outage.step(now, desired[i], s)
		if plans[i].outage.active {
			usable[i].Max = min(usable[i].Max, s.Observed.Live)
			usable[i].Min = min(usable[i].Min, s.Observed.Live)
		}
	}
	targets := Target(usable, need)
	counts := make([]int, len(pools))
	for i, s := range pools {
		if plans[i].outage.active {
			targets[i] = desired[i] // fewer may run, but the missing ones may become available
		}
		counts[i] = plans[i].decide(now, s, targets[i], complete)
	}
	return counts
}

// UnavailablePools returns the number of pools that currently count as unavailable.
func (p *Planner) UnavailablePools() int {
	n := 0
	for _, plan := range p.pools {
		if plan.outage.active {
			n++
		}
	}
	return n
}

func bounds(pools []PoolState) []Pool {
	out := make([]Pool, len(pools))
	for i, s := range pools {
		out[i] = s.Pool
	}
	return out
}

// plans returns the state of each pool and deletes the state of removed pools.
func (p *Planner) plans(pools []PoolState) []*poolPlan {
	next := make(map[poolKey]*poolPlan, len(pools))
	list := make([]*poolPlan, len(pools))
	for i, s := range pools {
		k := poolKey{s.DataCentre, s.Cheap}
		list[i] = p.pools[k]
		if list[i] == nil {
			list[i] = &poolPlan{}
		}
		next[k] = list[i]
	}
	p.pools = next
	return list
}

func (p *poolPlan) decide(now time.Duration, s PoolState, target int, complete bool) int {
	next := p.policy.Decide(now, s.current(), target, complete)
	return min(max(next, s.Min), s.Max)
}

// outage tracks whether a pool provides the desired endpoints.
type outage struct {
	active bool
	// until is the earliest end of the active outage.
	until time.Duration
	// duration is the minimum duration of the last outage. It doubles, up to
	// outageMax, with each outage that starts within outageMax of endedAt, the end
	// of the one before.
	duration time.Duration
	endedAt  time.Duration

	// lastLive is the live count of the last fresh observation, or of the first
	// one if that was not fresh. It is valid if observedBefore is set. lastDesired
	// is the desired count of the last step.
	observedBefore        bool
	lastLive, lastDesired int
	// short means that the pool has had fewer endpoints than expected since
	// shortSince.
	short      bool
	shortSince time.Duration
}

// step compares the live endpoints of a pool with the expected ones: the ordered
// count, or the larger of the live and the desired count if the order is not
// available yet. An old observation is used only as the base with which the first
// fresh one is compared.
func (o *outage) step(now time.Duration, desired int, s PoolState) {
	expected := s.Ordered
	if !s.HasOrder {
		expected = max(s.Observed.Live, desired)
	}
	if s.Observed.Valid && s.Observed.Fresh {
		o.detectLoss(now, s.Observed.Live, min(expected, desired), s.ObservedRunning)
		o.observe(now, s.Observed.Live, expected, s.Refused)
	} else if s.Observed.Valid && !o.observedBefore {
		o.observedBefore = true
		o.lastLive = s.Observed.Live
	}
	o.lastDesired = desired
	if s.Refused && !o.active {
		o.activate(now)
	}
}

// detectLoss starts an outage on a reclaim notice, or on the loss of endpoints
// whose notice was not observed. No order takes a pool below its desired count of
// this or the previous step, so a drop below both is not the effect of an order. A
// loss from before this Planner was created is detected by observedRunning, which
// is PoolState.ObservedRunning.
func (o *outage) detectLoss(now time.Duration, live, needed, observedRunning int) {
	dropped := o.observedBefore && live < o.lastLive && live < min(needed, o.lastDesired)
	missing := live < min(needed, observedRunning)
	if (dropped || missing) && !o.active {
		o.activate(now)
	}
	o.observedBefore = true
	o.lastLive = live
}

// observe starts an outage when the pool has been short for startGrace, and ends it
// when the pool has the expected endpoints, its minimum duration has passed and the
// last order was not refused.
func (o *outage) observe(now time.Duration, live, expected int, refused bool) {
	if live >= expected {
		o.short = false
		if o.active && now >= o.until && !refused {
			o.active = false
			o.endedAt = now
		}
		return
	}
	if !o.short {
		o.short = true
		o.shortSince = now
	}
	if !o.active && now-o.shortSince >= startGrace {
		o.activate(now)
	}
}

// activate starts an outage.
func (o *outage) activate(now time.Duration) {
	if now-o.endedAt >= outageMax {
		o.duration = 0
	}
	o.duration = min(max(o.duration*2, outageMin), outageMax)
	o.active = true
	o.until = now + o.duration
}
