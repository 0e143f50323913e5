package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/modeltest"
)

type fault string

const (
	partialAsComplete   fault = "a partial sum taken for the demand"
	staleAsFresh        fault = "an old observation taken for a fresh one"
	noReserve           fault = "no reserve for the loss of a data centre"
	ignoreOutage        fault = "what was ordered taken for what runs"
	decreaseImmediately fault = "targets ordered without delay"
)

// observedRunningAfter is how long a pool must have provided the ordered endpoints
// before they are reported in PoolState.ObservedRunning.
const observedRunningAfter = 10 * time.Second

// outageDetectedAfter is the time after which a planner must have detected an outage,
// regardless of which part of it the planner observed.
const outageDetectedAfter = startGrace + 30*time.Second

// maxStep is the maximum time between two plans. Planners with the same
// observations agree after agreeSteps steps.
const (
	maxStep    = 10 * time.Second
	agreeSteps = 2
)

// plannerOracle simulates a platform with three cheap pools and one other pool, and
// two planners that each order half of the pools. It checks every plan.
type plannerOracle struct {
	fault    fault
	now      time.Duration
	planners [2]*Planner
	pools    []PoolState // Observed is the last observation
	offered  []bool
	refuses  []bool
	live     []int
	load     Load
	partial  bool
	stale    []bool
	// changedAt is the last time at which a pool's order changed, the demand or an
	// observation was incomplete, or the planner that orders the pool was restarted.
	// The pool's count must not be lowered within downAfter of that time.
	changedAt  []time.Duration
	shortSince []time.Duration
	// fullSince is the time since which a pool has provided what was ordered.
	fullSince []time.Duration
	// agreedAt is the last time at which the planners agreed on a pool.
	agreedAt []time.Duration
	// disturbedAt is the last time at which a planner started or had incomplete
	// input.
	disturbedAt time.Duration
	// previous holds the pools as they were one step ago. A planner receives from it
	// the orders for the pools that the other planner orders.
	previous []PoolState
	orders   int
}

func newPlannerOracle(f fault, _ modeltest.Draw) *plannerOracle {
	o := &plannerOracle{fault: f, now: time.Hour}
	for i := range 4 {
		p := Pool{DataCentre: fmt.Sprint(i), Cheap: i < 3, Max: 12, HourlyCost: 1}
		if i == 3 {
			p.Min, p.HourlyCost = 1, 3
		}
		o.pools = append(o.pools, PoolState{Pool: p})
	}
	n := len(o.pools)
	o.previous, o.agreedAt = make([]PoolState, n), make([]time.Duration, n)
	o.offered, o.refuses, o.stale = make([]bool, n), make([]bool, n), make([]bool, n)
	o.live, o.changedAt, o.shortSince = make([]int, n), make([]time.Duration, n), make([]time.Duration, n)
	o.fullSince = make([]time.Duration, n)
	for i := range o.offered {
		o.offered[i] = true
	}
	o.restart(0)
	o.restart(1)
	return o
}

func (o *plannerOracle) restart(owner int) {
	o.planners[owner] = &Planner{}
	o.disturbedAt = o.now
	for i := range o.pools {
		o.shortSince[i], o.agreedAt[i] = o.now, o.now
		if i%2 == owner {
			o.changedAt[i] = o.now
		}
	}
}

func (o *plannerOracle) step(d modeltest.Draw) {
	o.now += min(time.Duration(1+d(10, "s"))*time.Second, maxStep)
	cheap := d(3, "pool")
	switch k := d(400, "op"); {
	case k < 20:
		o.load = Load{d(100, "interactive"), d(100, "rollout")}
	case k < 23:
		o.offered[cheap] = !o.offered[cheap]
		if !o.offered[cheap] {
			o.live[cheap] = 0
		}
	case k < 25:
		o.refuses[cheap] = !o.refuses[cheap]
	case k < 27:
		o.partial = !o.partial
	case k < 29:
		o.stale[cheap] = !o.stale[cheap]
	case k < 31:
		o.restart(d(2, "owner"))
	}
	o.platform()
	o.plan(d)
}

// platform starts and stops the ordered endpoints, where the pool is offered and
// does not refuse the order.
func (o *plannerOracle) platform() {
	for i := range o.pools {
		p := &o.pools[i]
		p.Refused = o.refuses[i] && p.Ordered > o.live[i]
		if o.live[i] > p.Ordered || (o.offered[i] && !p.Refused) {
			o.live[i] = p.Ordered
		}
		if o.live[i] == p.Ordered || o.stale[i] { // no shortage, or not observable
			o.shortSince[i] = o.now
		}
		if p.Observed.Fresh = !o.stale[i]; p.Observed.Fresh {
			p.Observed.Valid, p.Observed.Live = true, o.live[i]
		}
		if o.live[i] < p.Ordered {
			o.fullSince[i] = o.now
		} else if o.now-o.fullSince[i] >= observedRunningAfter && p.Observed.Fresh {
			p.ObservedRunning = p.Ordered
		}
	}
}

func (o *plannerOracle) plan(d modeltest.Draw) {
	load := o.load
	if load.Interactive > 0 {
		load.Interactive += d(load.Interactive/5+1, "noise")
	}
	if o.partial {
		load = load.scale(1, 3)
	}
	need := NeedOf(load, 4)
	complete := !o.partial
	defer func() {
		if !complete {
			o.disturbedAt = o.now
		}
	}()
	for _, p := range o.pools {
		complete = complete && p.Observed.Valid && p.Observed.Fresh
	}
	next := make([]int, len(o.pools))
	for owner, p := range o.planners {
		counts := p.Plan(o.now, o.visibleTo(owner), o.needFor(need), !o.partial || o.fault == partialAsComplete)
		if o.fault == decreaseImmediately {
			counts = Target(bounds(o.pools), need)
		}
		for i := owner; i < len(next); i += 2 {
			next[i] = counts[i]
		}
	}
	o.check(next, need, complete)
	o.previous = slices.Clone(o.pools)
	for i, n := range next {
		if n != o.pools[i].Ordered {
			o.orders++
		}
		if n != o.pools[i].Ordered || !complete {
			o.changedAt[i] = o.now
		}
		o.pools[i].Ordered, o.pools[i].ObservedRunning = n, min(o.pools[i].ObservedRunning, n)
	}
}

// visibleTo returns the pool states that one planner receives.
func (o *plannerOracle) visibleTo(owner int) []PoolState {
	list := make([]PoolState, len(o.pools))
	for i, p := range o.pools {
		p.HasOrder = true
		if i%2 != owner {
			p.Ordered, p.Refused, p.ObservedRunning = o.previous[i].Ordered, o.previous[i].Refused, o.previous[i].ObservedRunning
		}
		if o.fault == staleAsFresh {
			p.Observed.Valid, p.Observed.Fresh = true, true
		}
		if o.fault == ignoreOutage {
			p.Observed.Live, p.Refused = p.Ordered, false
		}
		list[i] = p
	}
	return list
}

func (o *plannerOracle) needFor(n Need) Need {
	if o.fault == noReserve {
		return Need{Rollout: n.Interactive + n.Rollout}
	}
	return n
}

func (o *plannerOracle) check(next []int, need Need, complete bool) {
	for i, p := range o.pools {
		if next[i] < p.Min || next[i] > p.Max {
			modeltest.Failf("pool %d is ordered %d endpoints, which is out of its bounds", i, next[i])
		}
		if next[i] >= p.Ordered {
			continue
		}
		if !complete {
			modeltest.Failf("pool %d goes from %d to %d on incomplete input", i, p.Ordered, next[i])
		}
		if o.now-o.changedAt[i] < downAfter {
			modeltest.Failf("pool %d goes from %d to %d %v after its last order or incomplete input",
				i, p.Ordered, next[i], o.now-o.changedAt[i])
		}
	}
	if o.disagreeing() {
		return
	}
	remaining, possible := o.remainingAfterLoss(next), o.remainingAfterLoss(nil)
	if remaining < min(need.Interactive, possible) {
		modeltest.Failf("%d endpoints remain after a loss, %d needed, %d possible; counts %v", remaining, need.Interactive, possible, next)
	}
}

// outageStates returns for each planner whether it has an active outage of a pool.
func (o *plannerOracle) outageStates(i int) (a, b bool) {
	k := poolKey{o.pools[i].DataCentre, o.pools[i].Cheap}
	return o.planners[0].pools[k].outage.active, o.planners[1].pools[k].outage.active
}

// disagreeing reports whether the planners are allowed to differ on a pool and do
// so. They may differ until a new planner has detected an outage, or while one lacks
// observations that the other had. Planners with the same observations may differ
// for agreeSteps steps, because each receives the other's orders one step late.
func (o *plannerOracle) disagreeing() bool {
	differ, within := false, agreeSteps*maxStep
	if o.now-o.disturbedAt <= outageDetectedAfter {
		within = outageDetectedAfter
	}
	for i := range o.pools {
		a, b := o.outageStates(i)
		if a == b || o.stale[i] {
			o.agreedAt[i] = o.now
		}
		differ = differ || a != b && o.now-o.agreedAt[i] <= within
	}
	return differ
}

// remainingAfterLoss returns how many endpoints of the counts remain after the loss
// of the largest cheap pool. With nil counts, it assumes the upper bound of each
// pool. A pool that both planners have detected as unavailable, or that has been
// short for outageDetectedAfter, counts with its live endpoints. A pool whose loss
// cannot be detected yet counts in full.
func (o *plannerOracle) remainingAfterLoss(counts []int) int {
	total, largest := 0, 0
	for i, p := range o.pools {
		n := p.Max
		if counts != nil {
			n = counts[i]
		}
		unavailable := !o.offered[i] || p.Refused
		a, b := o.outageStates(i)
		detected := a && b
		switch {
		case detected && o.stale[i]:
			n = min(n, p.Observed.Live) // the pool was unavailable at its last observation
		case unavailable && (detected || !o.stale[i] && o.now-o.shortSince[i] >= outageDetectedAfter):
			n = o.live[i]
		}
		total += n
		if p.Cheap {
			largest = max(largest, n)
		}
	}
	return total - largest
}

var model = modeltest.Model[fault, *plannerOracle]{New: newPlannerOracle, Step: (*plannerOracle).step}

func TestPlannerAgainstOracle(t *testing.T) {
	model.Check(t, 150)
	orders := 0
	model.CheckSeeds(t, 200, 1000, func(o *plannerOracle) { orders += o.orders })
	t.Logf("200 seeded runs of about 92 minutes gave %d orders", orders)
}

// TestOracleDetectsFaults breaks one rule at a time and checks that the oracle detects
// it.
func TestOracleDetectsFaults(t *testing.T) {
	model.CheckDetectsFaults(t, []fault{partialAsComplete, staleAsFresh, noReserve, ignoreOutage, decreaseImmediately}, 200, 1000)
}
