package scaling

import "time"

// Pool names the endpoints of one service, data centre and price class.
type Pool struct {
	Service    string
	DataCentre string
	// Tier is the price class, "cheap" or "ondemand".
	Tier string
}

const (
	// Cheap endpoints may be reclaimed.
	Cheap = "cheap"
	// OnDemand endpoints stay.
	OnDemand = "ondemand"
)

const (
	// shortTime is how long a count must have been short before it is ordered:
	// entries come and go with heartbeats.
	shortTime = 1500 * time.Millisecond
	// startMargin is added to the time that endpoints take to start before a
	// count that is still short is ordered again.
	startMargin = 3 * time.Second
	// refusedPause is the time before a refused order is repeated.
	refusedPause = 2 * time.Second
)

// Wanted returns the counts for a data centre with a bound on its endpoints, of
// which some at full price are there.
func Wanted(onDemand, most int) map[string]int {
	onDemand = min(max(onDemand, 0), most)
	return map[string]int{OnDemand: onDemand, Cheap: most - onDemand}
}

// Plan decides which orders are due. It is not safe for concurrent use.
type Plan struct {
	pools map[Pool]*poolState
}

// poolState is what is known of a pool.
type poolState struct {
	shortSince time.Duration
	short      bool
	// notBefore is when the next order may be given.
	notBefore time.Duration
}

// NewPlan returns an empty Plan.
func NewPlan() *Plan { return &Plan{pools: map[Pool]*poolState{}} }

// Due reports whether an order for a pool should be given now.
func (p *Plan) Due(now time.Duration, pool Pool, live, wanted int) bool {
	st := p.state(pool)
	if live >= wanted {
		st.short = false
		return false
	}
	if !st.short {
		st.short, st.shortSince = true, now
	}
	return now-st.shortSince >= shortTime && now >= st.notBefore
}

// Ordered notes that an order for a pool was given, and how long its endpoints
// take to start.
func (p *Plan) Ordered(now time.Duration, pool Pool, start time.Duration) {
	p.state(pool).notBefore = now + start + startMargin
}

// Refused notes that an order was refused.
func (p *Plan) Refused(now time.Duration, pool Pool) {
	p.state(pool).notBefore = now + refusedPause
}

func (p *Plan) state(pool Pool) *poolState {
	st := p.pools[pool]
	if st == nil {
		st = &poolState{}
		p.pools[pool] = st
	}
	return st
}
