package capacity

import (
	"cmp"
	"slices"
)

// targetUtilization is the desired share of an endpoint's slots in use, in percent.
const targetUtilization = 80

// Pool bounds the endpoints of a service in one data centre and price class.
type Pool struct {
	DataCentre string
	// Cheap pools can be reclaimed, a complete data centre at a time.
	Cheap      bool
	Min, Max   int
	HourlyCost float64
}

// Need is the number of endpoints that the demand requires.
type Need struct {
	// Interactive is the number for interactive callers. It must remain available
	// when a cheap data centre is lost.
	Interactive int
	// Rollout is the number for rollout work, which uses only cheap endpoints if
	// the service has any.
	Rollout int
}

// NeedOf returns the need for a load if each endpoint runs as many requests at a
// time as it has slots.
func NeedOf(l Load, slots int) Need {
	perEndpoint := max(slots*targetUtilization/100, 1)
	return Need{
		Interactive: ceilDiv(l.Interactive, perEndpoint),
		Rollout:     ceilDiv(l.Rollout, perEndpoint),
	}
}

// Target returns the count for each pool, in the order of pools. It first sizes the
// cheap pools as evenly as their bounds allow, with a reserve: the loss of any of
// them must leave enough for interactive callers. Rollout work fills cheap pools.
// Because interactive requests have priority over it, its endpoints count as part
// of the reserve. What the cheap pools cannot cover with a reserve goes to the other
// pools, and what those cannot cover goes to the cheap pools without one. Each time
// the least costly pool comes first.
func Target(pools []Pool, need Need) []int {
	t := newTargets(pools)
	work := t.cheap
	if len(work) == 0 {
		work = t.other
	}
	t.raiseEvenly(need.Interactive)
	t.fill(work, min(need.Rollout, need.Interactive+need.Rollout-t.total()))
	t.fill(t.other, need.Interactive-t.remainingAfterLoss())
	t.fill(work, need.Interactive+need.Rollout-t.total())
	return t.counts
}

// Cost returns the hourly cost of the counts.
func Cost(pools []Pool, counts []int) float64 {
	sum := 0.0
	for i, n := range counts {
		sum += float64(n) * pools[i].HourlyCost
	}
	return sum
}

// targets holds the counts while they are raised. Cheap and other are indices of
// pools, the least costly first.
type targets struct {
	pools        []Pool
	counts       []int
	cheap, other []int
}

func newTargets(pools []Pool) *targets {
	t := &targets{pools: pools, counts: make([]int, len(pools))}
	for i, p := range pools {
		t.counts[i] = p.Min
		if p.Cheap {
			t.cheap = append(t.cheap, i)
		} else {
			t.other = append(t.other, i)
		}
	}
	byCost := func(a, b int) int { return cmp.Compare(pools[a].HourlyCost, pools[b].HourlyCost) }
	slices.SortStableFunc(t.cheap, byCost)
	slices.SortStableFunc(t.other, byCost)
	return t
}

// raiseEvenly raises all cheap pools to a common level until the need is covered
// after the loss of the largest of them. It stops when a higher level does not
// help.
func (t *targets) raiseEvenly(need int) {
	for level := 1; t.remainingAfterLoss() < need; level++ {
		previous, remaining := slices.Clone(t.counts), t.remainingAfterLoss()
		for _, i := range t.cheap {
			t.counts[i] = max(t.counts[i], min(level, t.pools[i].Max))
		}
		if slices.Equal(previous, t.counts) {
			if level > t.highest() {
				return
			}
			continue
		}
		if t.remainingAfterLoss() == remaining {
			t.counts = previous
			return
		}
	}
}

// highest returns the highest upper bound of a cheap pool.
func (t *targets) highest() int {
	n := 0
	for _, i := range t.cheap {
		n = max(n, t.pools[i].Max)
	}
	return n
}

func (t *targets) total() int {
	n := 0
	for _, count := range t.counts {
		n += count
	}
	return n
}

// remainingAfterLoss returns the number of endpoints that remain when the largest
// cheap pool is lost.
func (t *targets) remainingAfterLoss() int {
	largest := 0
	for _, i := range t.cheap {
		largest = max(largest, t.counts[i])
	}
	return t.total() - largest
}

// fill adds up to n endpoints to the pools. Each one goes to the smallest of the
// least costly pools below their upper bound, so that the loss of a pool removes as
// few endpoints as possible. The indices must be sorted by cost.
func (t *targets) fill(indices []int, n int) {
	for ; n > 0; n-- {
		best := -1
		for _, i := range indices {
			if t.counts[i] < t.pools[i].Max && (best < 0 || t.smallerAtSameCost(i, best)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		t.counts[best]++
	}
}

// smallerAtSameCost reports whether pool i has the same cost as another pool and a
// lower count.
func (t *targets) smallerAtSameCost(i, than int) bool {
	return t.pools[i].HourlyCost == t.pools[than].HourlyCost && t.counts[i] < t.counts[than]
}
