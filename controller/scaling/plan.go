package scaling

import "time"

// Pool identifies the endpoints of one service, data centre and price class.
type Pool struct {
	Service    string
	DataCentre string
	// Tier is the price class, "cheap" or "ondemand".
	Tier string
}

const (
	// Cheap is the tier of endpoints that the platform may reclaim.
	Cheap = "cheap"
	// OnDemand is the tier of endpoints at full price, which are not reclaimed.
	OnDemand = "ondemand"
)

const (
	// minShortTime is how long a count must be below the desired one before an
	// order is sent, since the entries of running endpoints can be missing for a
	// moment between heartbeats.
	minShortTime = 1500 * time.Millisecond
	// startMargin is added to the startup duration of endpoints before an order
	// is repeated for a count that is still too low.
	startMargin = 3 * time.Second
	// refusedPause is the delay before a refused order is repeated.
	refusedPause = 2 * time.Second
)

// DesiredCounts returns the desired counts by price class. The data centre has
// onDemand endpoints at full price, and may have up to most endpoints in total.
func DesiredCounts(onDemand, most int) map[string]int {
	onDemand = min(max(onDemand, 0), most)
	return map[string]int{OnDemand: onDemand, Cheap: most - onDemand}
}

// Plan decides when orders are due. It is not safe for concurrent use.
type Plan struct {
	pools map[Pool]*poolState
}

// poolState is the state of a pool.
type poolState struct {
	shortSince time.Duration
	short      bool
	// notBefore is the earliest time of the next order.
	notBefore time.Duration
}

// NewPlan returns an empty Plan.
func NewPlan() *Plan { return &Plan{pools: map[Pool]*poolState{}} }

// Due reports whether an order for a pool should be sent now.
func (p *Plan) Due(now time.Duration, pool Pool, live, desired int) bool {
	st := p.state(pool)
	if live >= desired {
		st.short = false
		return false
	}
	if !st.short {
		st.short, st.shortSince = true, now
	}
	return now-st.shortSince >= minShortTime && now >= st.notBefore
}

// Ordered records that an order for a pool was sent. Its endpoints need
// startupDuration to start.
func (p *Plan) Ordered(now time.Duration, pool Pool, startupDuration time.Duration) {
	p.state(pool).notBefore = now + startupDuration + startMargin
}

// Refused records that an order for a pool was refused.
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
