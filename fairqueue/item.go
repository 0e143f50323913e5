package fairqueue

import (
	"time"

	"github.com/cumincove/cumincove/rank"
)

// Item is a waiting request.
type Item struct {
	Team string
	// Weight is the relative share of the team. Values not above zero count as
	// one.
	Weight float64
	Class  Class
	// Cost is the estimated cost; values below one count as one.
	Cost float64
	// Deadline is when the request expires: it is not dequeued after it. Ranked work
	// must also be complete by then.
	Deadline time.Duration
	// Ranked is set where requests are ordered by rank. Without it, the requests of
	// a team are dequeued first-in first-out, and the fields below have no effect.
	Ranked bool
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Due is the time by which the work must be complete, from which the slack is
	// computed; zero means Deadline.
	Due time.Duration
	// Needs is the estimated time that the work needs once it is dequeued.
	Needs time.Duration
	// Yields is set for work that lets other requests of the class pass for the first
	// part of its slack (see yieldDivisor).
	Yields bool
	// Data is for use by the caller. The queue does not read it.
	Data any

	// flow is the list in which the request waits, or nil. chargedTo is the level
	// whose tags were charged when it was dequeued.
	flow      *flow
	chargedTo *level
	// yieldsUntil is until when a request that yields does so.
	yieldsUntil time.Duration
	prev, next  *Item
}

func (it *Item) normalize() {
	it.Cost = max(it.Cost, 1)
	it.Weight = positive(it.Weight)
	if !it.Ranked {
		it.Priority, it.Due, it.Needs, it.Yields = 0, 0, 0, false
	}
	if it.Due == 0 {
		it.Due = it.Deadline
	}
}

func (it *Item) key() levelKey { return levelKey{yields: it.Yields, priority: it.Priority} }

// work returns the request as it is ranked.
func (it *Item) work() rank.Work {
	return rank.Work{Deadline: it.Due, Remaining: it.Needs}
}

// latestStart returns the time by which the request must be dequeued to be complete
// when it is due.
func (it *Item) latestStart() time.Duration { return it.Due - it.Needs }

// inTime reports whether the work can be complete by the deadline if it is dequeued
// after a wait. The needed time counts only where requests are ranked. Of a wait, small
// requests may use no more than large ones could: otherwise they would fill the queue
// up to a wait that no large request stands.
func (it *Item) inTime(now, wait time.Duration, l *level) bool {
	if !it.Ranked {
		return now+wait < it.Deadline
	}
	left := it.Deadline - now
	if wait > 0 {
		return wait+max(it.Needs, min(l.largeNeeds(now), left/2)) <= left
	}
	return it.Needs <= left
}

// late reports whether a ranked request can't be complete by its deadline. A request
// that can't be complete when it is due is still useful until then.
func (it *Item) late(now time.Duration) bool { return it.Ranked && it.Needs > it.Deadline-now }

// stopYielding makes a request that can't be complete when it is due wait among the
// others of its priority.
func (it *Item) stopYielding(now time.Duration) {
	it.Yields = it.Yields && it.latestStart() >= now
}

// mustStart reports whether a request that yields does not wait for others any more.
func (it *Item) mustStart(now time.Duration) bool { return now >= it.yieldsUntil }

// yieldDivisor: work that yields lets others pass for 1/yieldDivisor of its slack. The
// rest is for the wait among equals, another try, and what follows the work.
const yieldDivisor = 8

// yieldsUntilFrom returns until when work that yields, and is queued now, does so.
func (it *Item) yieldsUntilFrom(now time.Duration) time.Duration {
	slack := min(it.work().Slack(now), it.Deadline-now)
	return now + max(slack, 0)/yieldDivisor
}
