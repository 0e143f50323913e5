package capacity

import "time"

// downAfter is how long the target must have been below the count before the count
// is lowered.
const downAfter = 5 * time.Minute

// Policy raises a pool's count at once and lowers it slowly. The zero value is
// ready for use.
type Policy struct {
	// low means that the target has been below the count since lowSince.
	low      bool
	lowSince time.Duration
	// peak is the highest target since lowSince.
	peak int
}

// Decide returns the pool's next count. Current is the count of its last order.
// While complete is false, the count is not lowered, and the wait for a lower count
// starts again.
func (p *Policy) Decide(now time.Duration, current, target int, complete bool) int {
	if target >= current {
		p.low = false
		return target
	}
	if !complete {
		p.low = false
		return current
	}
	if !p.low {
		*p = Policy{low: true, lowSince: now}
	}
	p.peak = max(p.peak, target)
	if now-p.lowSince < downAfter {
		return current
	}
	p.low = false
	return p.peak
}
