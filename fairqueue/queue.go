package fairqueue

import (
	"errors"
	"fmt"
	"time"
)

// Errors returned by Push. A request that was refused is not queued.
var (
	// ErrTeamFull is returned when the list of the team is full.
	ErrTeamFull = errors.New("the team's queue is full")
	// ErrFull is returned when the queue as a whole is full.
	ErrFull = errors.New("the queue is full")
)

// WaitError is returned when the estimated wait exceeds the deadline of the
// request.
type WaitError struct {
	// Wait is the estimated wait.
	Wait time.Duration
}

// Error returns a message with the estimated wait.
func (e *WaitError) Error() string {
	return fmt.Sprintf("estimated wait of %v outlasts the deadline", e.Wait)
}

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
	// MaxDebt bounds the debt of a team, in cost. A team is in debt while its
	// finish tag is ahead of the virtual time; teams without debt are then
	// served first. The bound limits how long a team that was charged more than
	// it used is held back.
	MaxDebt float64
}

// DefaultOptions returns the default Options for a service.
func DefaultOptions() Options {
	return Options{TeamLength: 1_000, Length: 10_000, RolloutFloor: 0.1, FloorAfter: 2 * time.Second, MaxDebt: 100_000}
}

// Item is a waiting request.
type Item struct {
	Team string
	// Weight is the relative share of the team. Values not above zero count as
	// one.
	Weight float64
	Class  Class
	// Cost is the estimated cost; values below one count as one.
	Cost float64
	// Deadline is the time by which the request must be dequeued.
	Deadline time.Duration
	// Data is for use by the caller. The queue does not read it.
	Data any

	team       *team
	prev, next *Item
}

// Queue contains the waiting requests of one service.
type Queue struct {
	opt   Options
	class [classes]classQueue
	// credit is the cost by which the dequeued rollout requests are behind
	// RolloutFloor.
	credit float64
	// behindSince is when rollout requests began to wait behind interactive
	// ones: the last time at which no rollout request waited, or at which one
	// was dequeued while no interactive request waited.
	behindSince time.Duration
	len         int
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

// TeamLen returns the number of a team's waiting requests.
func (q *Queue) TeamLen(name string) int {
	n := 0
	for c := range q.class {
		if t := q.class[c].teams[name]; t != nil {
			n += t.len
		}
	}
	return n
}

// Push queues a request. It returns ErrTeamFull, ErrFull or a *WaitError if the
// request is refused.
func (q *Queue) Push(now time.Duration, it *Item) error {
	it.Cost = max(it.Cost, 1)
	it.Weight = positive(it.Weight)
	q.advance(now)
	if q.len >= q.opt.Length {
		return ErrFull
	}
	c := &q.class[it.Class]
	t := c.team(it.Team)
	if t.len >= q.opt.TeamLength {
		return ErrTeamFull
	}
	if wait := c.wait(t, it); now+wait >= it.Deadline {
		if wait = min(wait, c.exactWait(t, it)); now+wait >= it.Deadline {
			return &WaitError{Wait: wait}
		}
	}
	c.push(t, it)
	q.len++
	return nil
}

// Pop dequeues the next request, or returns nil if there is none. Requests that
// precede it and whose deadline has passed are removed and returned as expired.
func (q *Queue) Pop(now time.Duration) (next *Item, expired []*Item) {
	q.advance(now)
	for q.len > 0 {
		c := q.pick()
		it := c.head()
		c.remove(it)
		q.len--
		if it.Deadline <= now {
			expired = append(expired, it)
			continue
		}
		q.settleCredit(now, it)
		c.charge(it)
		return it, expired
	}
	return nil, expired
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(now time.Duration, it *Item) bool {
	if it.team == nil {
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
	q.Charge(it.Team, it.Weight, it.Class, max(cost, 1)-it.Cost)
}

// DoneUnqueued completes a request that was never queued because nothing waited
// when it arrived. Its team is charged on completion.
func (q *Queue) DoneUnqueued(now time.Duration, it *Item, cost float64) {
	it.Cost = max(it.Cost, 1)
	q.served(now, it)
	q.Charge(it.Team, it.Weight, it.Class, max(cost, 1))
}

// served adds a completed request to the measured rate. It uses the estimated
// cost, because the cost of the waiting requests is an estimate too.
func (q *Queue) served(now time.Duration, it *Item) {
	q.advance(now)
	if c := &q.class[it.Class]; !c.empty() {
		c.rate.add(it.Cost)
	}
}

// advance moves the time to now. The rate of each class is measured separately,
// while requests of the class wait.
func (q *Queue) advance(now time.Duration) {
	for i := range q.class {
		c := &q.class[i]
		c.rate.advance(now, !c.empty())
	}
	if q.class[Rollout].empty() {
		q.behindSince = now
	}
}

// Charge charges a team for a cost that it caused outside the queue. A negative
// cost is a refund.
func (q *Queue) Charge(name string, weight float64, class Class, cost float64) {
	weight = positive(weight)
	c := &q.class[class]
	c.settle(c.team(name), cost/weight, q.opt.MaxDebt/weight)
}

// pick returns the class to dequeue from. At least one request must be waiting.
func (q *Queue) pick() *classQueue {
	first, second := &q.class[Interactive], &q.class[Rollout]
	switch {
	case first.empty():
		return second
	case second.empty():
		return first
	case q.credit >= second.head().Cost:
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

// wait estimates how long a request would wait. The estimate is the smaller of
// the time to serve all waiting requests of its class, and the time to serve
// those of its own team at the team's share of the rate.
func (c *classQueue) wait(t *team, it *Item) time.Duration {
	weights := c.weights
	if t.len == 0 {
		weights += it.Weight
	}
	debt := max(t.finish-c.virtual, 0)
	own := (debt + t.cost/it.Weight) * weights
	return c.rate.wait(min(c.cost, own))
}

// exactWait is like wait, but counts another team only from its start tag on,
// because a team in debt is not served before that. It iterates over all
// waiting teams, so it is called only before a request is refused.
func (c *classQueue) exactWait(t *team, it *Item) time.Duration {
	start := max(c.virtual, t.finish) + t.cost/it.Weight
	ahead := 0.0
	for _, other := range c.waiting {
		ahead += max(start-other.start, 0) * other.weight
	}
	if t.len == 0 {
		ahead += max(start-c.virtual, 0) * it.Weight
	}
	return c.rate.wait(ahead)
}
