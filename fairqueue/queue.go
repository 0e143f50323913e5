package fairqueue

import "time"

// Class is a priority class of requests.
type Class int

// The classes, in order of priority.
const (
	Interactive Class = iota
	Rollout
	classes // number of classes
)

// Options configures a Queue.
type Options struct {
	// TeamLength bounds the waiting requests of one team in one class.
	TeamLength int
	// Length bounds all waiting requests.
	Length int
	// RolloutFloor is the share of the cost that rollout requests get while
	// requests of both classes wait, between 0 and 1.
	RolloutFloor float64
	// FloorAfter is how long rollout requests must have waited behind
	// interactive ones before RolloutFloor applies. With it, interactive
	// requests have full priority in a short burst, and rollout requests don't
	// starve in a long one.
	FloorAfter time.Duration
	// LevelFloor is the minimum share of a priority level that waits while higher
	// ones do, as a fraction of its part of the cost that is asked for, between 0
	// and 1. With it, requests of each level are served at least that often compared
	// with all requests.
	LevelFloor float64
	// MaxDebt bounds the debt of a team, in cost. A team is in debt while its
	// finish tag is ahead of the virtual time; teams without debt are then
	// served first. The bound limits how long a team that was charged more than
	// it used is held back.
	MaxDebt float64
}

// DefaultOptions returns the default Options for a service.
func DefaultOptions() Options {
	return Options{TeamLength: 1_000, Length: 10_000, RolloutFloor: 0.1, FloorAfter: 2 * time.Second, LevelFloor: 0.35, MaxDebt: 100_000}
}

// Queue contains the waiting requests of one service.
type Queue struct {
	opt   Options
	class [classes]class
	// credit is the cost by which the dequeued rollout requests are behind
	// RolloutFloor.
	credit float64
	// behindSince is when rollout requests began to wait behind interactive
	// ones: the last time at which no rollout request waited, or at which one
	// was dequeued while no interactive request waited.
	behindSince time.Duration
	len         int
	evicted     []Eviction
	// refused is the decision about the last refused request.
	refused Decision
}

// New returns an empty Queue.
func New(opt Options) *Queue {
	q := &Queue{opt: opt}
	for c := range q.class {
		q.class[c].teams = map[string]*team{}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.len }

// ClassLen returns the number of waiting requests of a class.
func (q *Queue) ClassLen(c Class) int { return q.class[c].len }

// Yielding returns the number of waiting requests of a class that yield to others.
func (q *Queue) Yielding(now time.Duration, c Class) int {
	n := 0
	for _, l := range q.class[c].levels {
		if !l.key.yields || l.empty() {
			continue
		}
		n += l.len
		for _, f := range l.waiting {
			if f.first.mustStart(now) {
				n--
			}
		}
	}
	return n
}

// NextYields reports whether the request to dequeue next yields: it needs no slot
// that other work of its class may want.
func (q *Queue) NextYields(now time.Duration) bool {
	if q.len == 0 {
		return false
	}
	it := q.pick(now).head(now)
	return it.Yields && !it.mustStart(now)
}

// TeamLen returns the number of a team's waiting requests.
func (q *Queue) TeamLen(name string) int {
	n := 0
	for c := range q.class {
		n += q.class[c].teamLen(name)
	}
	return n
}

// Push queues a request. It returns ErrTeamFull, ErrFull or a *WaitError if the
// request is refused. Evicted returns the requests that it turned away instead.
func (q *Queue) Push(now time.Duration, it *Item) error {
	it.normalize()
	it.stopYielding(now)
	it.yieldsUntil = it.yieldsUntilFrom(now)
	q.advance(now)
	c := &q.class[it.Class]
	l := c.level(it.key())
	d := q.decide(now, it)
	l.offer(now, it)
	if d.Err != nil {
		l.refuse(now, d)
		q.refused = d
		return d.Err
	}
	if d.replaced != nil {
		v := c.estimate(now, d.replaced.flow.level, d.replaced, q.opt.LevelFloor)
		v.Err = ErrFull
		q.evict(now, d.replaced, v)
	}
	c.push(l, it)
	q.len++
	if it.Ranked {
		q.evictLate(now, it)
	}
	return nil
}

// Pop dequeues the next request, or returns nil if there is none. Requests that
// precede it and whose deadline has passed are removed and returned as expired.
// Those that can't be complete by their deadline are dequeued if no others wait.
func (q *Queue) Pop(now time.Duration) (next *Item, expired []*Item) {
	q.advance(now)
	for q.len > 0 {
		c := q.pick(now)
		it := c.head(now)
		if !it.flow.level.key.late && it.Deadline > now && it.late(now) {
			c.remove(it)
			c.push(c.level(levelKey{late: true}), it)
			continue
		}
		l := c.remove(it)
		q.len--
		if it.Deadline <= now {
			expired = append(expired, it)
			continue
		}
		q.settleCredit(now, it)
		c.settleCredit(now, l, it, q.opt.LevelFloor)
		l.charge(it)
		it.chargedTo = l
		return it, expired
	}
	return nil, expired
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(now time.Duration, it *Item) bool {
	if it.flow == nil {
		return false
	}
	q.advance(now)
	q.class[it.Class].remove(it)
	q.len--
	return true
}

// Done completes a request that Pop returned, and corrects the team's charge to
// the actual cost.
func (q *Queue) Done(now time.Duration, it *Item, cost float64) {
	q.served(now, it)
	it.chargedTo.settle(it.Team, (max(cost, 1)-it.Cost)/it.Weight, q.opt.MaxDebt/it.Weight)
}

// DoneUnqueued completes a request that was never queued because nothing waited
// when it arrived. Its team is charged on completion.
func (q *Queue) DoneUnqueued(now time.Duration, it *Item, cost float64) {
	it.normalize()
	it.stopYielding(now)
	q.served(now, it)
	l := q.class[it.Class].level(it.key())
	l.settle(it.Team, max(cost, 1)/it.Weight, q.opt.MaxDebt/it.Weight)
}

// served adds a completed request to the measured rate. It uses the estimated
// cost, because the cost of the waiting requests is an estimate too.
func (q *Queue) served(now time.Duration, it *Item) {
	q.advance(now)
	c := &q.class[it.Class]
	if !c.empty() {
		c.rate.add(it.Cost)
	}
	if l := c.peek(it.key()); !l.empty() {
		l.rate.add(it.Cost)
	}
}

// advance moves the time to now. The rate of each class is measured separately,
// while requests of the class wait.
func (q *Queue) advance(now time.Duration) {
	for i := range q.class {
		q.class[i].advance(now)
	}
	if q.class[Rollout].empty() {
		q.behindSince = now
	}
}

// pick returns the class to dequeue from. At least one request must be waiting.
func (q *Queue) pick(now time.Duration) *class {
	first, second := &q.class[Interactive], &q.class[Rollout]
	switch {
	case first.empty():
		return second
	case second.empty():
		return first
	case q.credit >= second.head(now).Cost:
		return second
	}
	return first
}

// settleCredit updates the credit of rollout requests for a dequeued request.
// There is no credit until rollout requests have waited for FloorAfter.
func (q *Queue) settleCredit(now time.Duration, it *Item) {
	floor := q.opt.RolloutFloor
	switch {
	case it.Class == Rollout && q.class[Interactive].empty():
		q.credit, q.behindSince = 0, now
	case it.Class == Rollout:
		q.credit = max(q.credit-it.Cost, 0)
	case q.class[Rollout].empty(), now-q.behindSince < q.opt.FloorAfter:
		q.credit = 0
	case floor < 1:
		q.credit += it.Cost * floor / (1 - floor)
	}
}
