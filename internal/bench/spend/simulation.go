package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cumincove/cumincove/capacity"
)

const (
	// tick is the time step of the simulation, and planInterval the time between
	// two plans.
	tick         = 100 * time.Millisecond
	planInterval = 500 * time.Millisecond
	// historyInterval is the time between two points of the plot.
	historyInterval = 10 * time.Second
)

// pool is the simulated state of a pool.
type pool struct {
	capacity.PoolState
	// endpoints contains, for each ordered endpoint, the time at which it starts
	// to run.
	endpoints []time.Duration
	// unavailableUntil is the time at which the pool starts endpoints again after
	// a reclaim.
	unavailableUntil time.Duration
}

// running returns the number of endpoints that run now.
func (p *pool) running(now time.Duration) int {
	n := 0
	for _, at := range p.endpoints {
		if at <= now {
			n++
		}
	}
	return n
}

// setOrdered sets the ordered count and starts or stops endpoints to match it.
func (p *pool) setOrdered(now time.Duration, count int) {
	p.Ordered = count
	p.applyOrder(now)
}

// applyOrder stops the newest endpoints above the ordered count, or starts the
// missing ones if the pool is available.
func (p *pool) applyOrder(now time.Duration) {
	if len(p.endpoints) > p.Ordered {
		p.endpoints = p.endpoints[:p.Ordered]
	}
	for now >= p.unavailableUntil && len(p.endpoints) < p.Ordered {
		p.endpoints = append(p.endpoints, now+startDelay)
	}
}

// cohort is the set of requests that arrived in one tick.
type cohort struct {
	at time.Duration
	n  int
}

// latencyHistogram counts requests by their latency in ticks.
type latencyHistogram []int

func (h *latencyHistogram) add(d time.Duration, n int) {
	i := int(d / tick)
	for len(*h) <= i {
		*h = append(*h, 0)
	}
	(*h)[i] += n
}

// percentile returns the p-th percentile of the latencies, or 0 without requests.
func (h latencyHistogram) percentile(p int) time.Duration {
	total, cumulative := 0, 0
	for _, n := range h {
		total += n
	}
	for i, n := range h {
		if cumulative += n; cumulative*100 >= total*p {
			return time.Duration(i) * tick
		}
	}
	return 0
}

type simulation struct {
	size    size
	policy  policy
	rng     *rand.Rand
	now     time.Duration
	pools   []*pool
	planner capacity.Planner
	queue   []cohort
	ending  []int // number of running requests that end in each of the next ticks
	busy    int   // number of interactive requests that run
	// lastReclaim is the time of the last reclaim; zero means none.
	lastReclaim time.Duration

	spent, workCheap, workOnDemand   float64
	rolloutDone, rolloutRequested    float64
	latencies, latenciesAfterReclaim latencyHistogram
	orders, plans                    int
	maxOrdersPerSecond               int
	ordersThisSecond                 int
	planningTime                     time.Duration
	history                          []point
}

// point is a point in time of the plot. The values are in endpoints.
type point struct {
	at                           time.Duration
	cheap, onDemand, interactive float64
}

func newSimulation(deployment size, p policy, seed uint64) *simulation {
	s := &simulation{size: deployment, policy: p, rng: rand.New(rand.NewPCG(seed, 0))}
	list := deployment.pools()
	p.pools(list)
	for _, c := range list {
		s.pools = append(s.pools, &pool{PoolState: capacity.PoolState{Pool: c, HasOrder: true}})
	}
	s.ending = make([]int, serviceTime/tick)
	return s
}

func (s *simulation) run() {
	for s.now = 0; s.now < s.size.duration; s.now += tick {
		if s.now > 0 && s.now%reclaimInterval == 0 {
			s.reclaim(s.rng.IntN(s.size.dataCentres))
		}
		s.serveRequests()
		if s.now%planInterval == 0 {
			s.plan()
		}
		if s.now%time.Second == 0 {
			s.maxOrdersPerSecond = max(s.maxOrdersPerSecond, s.ordersThisSecond)
			s.ordersThisSecond = 0
		}
	}
}

// reclaim removes the cheap endpoints of a data centre. It assumes that requests
// that run there end within the reclaim notice.
func (s *simulation) reclaim(dataCentre int) {
	p := s.pools[2*dataCentre]
	p.endpoints = nil
	p.unavailableUntil = s.now + reclaimDuration
	s.lastReclaim = s.now
}

// serveRequests advances the requests by one tick: it ends running requests, adds
// arrivals and starts queued requests in free slots. Rollout work fills up to three
// quarters of all slots, less those that interactive requests use.
func (s *simulation) serveRequests() {
	s.busy -= s.ending[0]
	s.ending = append(s.ending[1:], 0)
	s.queue = append(s.queue, cohort{s.now, s.arrivals()})
	cheap, onDemand := s.slots()
	free := cheap + onDemand - s.busy
	for free > 0 && len(s.queue) > 0 {
		c := &s.queue[0]
		n := min(c.n, free)
		s.startRequests(*c, n)
		free -= n
		if c.n -= n; c.n == 0 {
			s.queue = s.queue[1:]
		}
	}
	s.account(cheap, onDemand)
}

// startRequests starts n requests of a cohort and records their latency.
func (s *simulation) startRequests(c cohort, n int) {
	s.busy += n
	s.ending[len(s.ending)-1] += n
	latency := s.now - c.at + serviceTime
	s.latencies.add(latency, n)
	if s.lastReclaim > 0 && s.now-s.lastReclaim < time.Minute {
		s.latenciesAfterReclaim.add(latency, n)
	}
}

// arrivals draws the number of requests that arrive in a tick from a Poisson
// distribution, or from its normal approximation for a large mean.
func (s *simulation) arrivals() int {
	mean := s.size.interactive * float64(tick) / float64(serviceTime)
	if s.now >= burstInterval && s.now%burstInterval < burstDuration {
		mean *= burstFactor
	}
	if mean > 30 {
		return max(int(math.Round(mean+math.Sqrt(mean)*s.rng.NormFloat64())), 0)
	}
	n, sum := 0, s.rng.ExpFloat64()
	for sum < mean {
		n++
		sum += s.rng.ExpFloat64()
	}
	return n
}

// slots returns the number of slots of the running cheap and on-demand endpoints.
func (s *simulation) slots() (cheap, onDemand int) {
	for _, p := range s.pools {
		p.applyOrder(s.now)
		if p.Cheap {
			cheap += slots * p.running(s.now)
		} else {
			onDemand += slots * p.running(s.now)
		}
	}
	return cheap, onDemand
}

// account adds the spend and the work of a tick to the totals. Work is
// distributed evenly over all running endpoints.
func (s *simulation) account(cheap, onDemand int) {
	hours := tick.Hours()
	counts := make([]int, len(s.pools))
	list := make([]capacity.Pool, len(s.pools))
	for i, p := range s.pools {
		counts[i], list[i] = len(p.endpoints), p.Pool
	}
	s.spent += capacity.Cost(list, counts) * hours
	total := cheap + onDemand
	rollout := min(s.size.rollout, max(total*3/4-s.busy, 0))
	s.rolloutDone += float64(rollout)
	s.rolloutRequested += float64(s.size.rollout)
	if total > 0 {
		work := float64(s.busy + rollout)
		s.workCheap += work * float64(cheap) / float64(total)
		s.workOnDemand += work * float64(onDemand) / float64(total)
	}
	if s.now%historyInterval == 0 && s.now < 2*burstInterval {
		s.history = append(s.history, point{s.now, float64(cheap) / slots, float64(onDemand) / slots, float64(s.interactiveDemand()) / slots})
	}
}

// interactiveDemand returns the number of interactive requests that run or wait.
func (s *simulation) interactiveDemand() int {
	n := s.busy
	for _, c := range s.queue {
		n += c.n
	}
	return n
}

// plan runs the planner and orders the counts that it returns.
func (s *simulation) plan() {
	states := make([]capacity.PoolState, len(s.pools))
	for i, p := range s.pools {
		p.Observed = capacity.Observation{Valid: true, Fresh: true, Live: len(p.endpoints)}
		states[i] = p.PoolState
	}
	need := s.policy.need(capacity.NeedOf(capacity.Load{Interactive: s.interactiveDemand(), Rollout: s.size.rollout}, slots))
	started := time.Now()
	counts := s.planner.Plan(s.now, states, need, true)
	s.planningTime += time.Since(started)
	s.plans++
	for i, p := range s.pools {
		if counts[i] != p.Ordered {
			s.orders++
			s.ordersThisSecond++
			p.setOrdered(s.now, counts[i])
		}
	}
}
