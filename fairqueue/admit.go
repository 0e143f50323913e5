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
// request, less the work that it needs.
type WaitError struct {
	// Wait is the estimated wait.
	Wait time.Duration
	// Needs is the time that the work itself needs, if it is known.
	Needs time.Duration
}

// Error returns a message with the estimated wait.
func (e *WaitError) Error() string {
	if e.Needs > 0 {
		return fmt.Sprintf("estimated wait of %v and work of %v outlast the deadline", e.Wait, e.Needs)
	}
	return fmt.Sprintf("estimated wait of %v outlasts the deadline", e.Wait)
}

// Decision is what Push does with a request, and why.
type Decision struct {
	// Err is the error of Push; nil means that the request is queued.
	Err error
	// Wait is the estimated wait: the time to serve what goes first.
	Wait time.Duration
	// Spread is the time to serve the callers that were refused at the same level
	// lately, if they come back. Return times are spread over it.
	Spread time.Duration
	// Ahead is the cost of the requests that go first, and Rate the measured rate in
	// cost per second; zero means that it is not measured yet.
	Ahead, Rate float64
	// Waiting, LevelWaiting and TeamWaiting are the requests that wait now: all of
	// the queue, those of the same level, and those of the team in the class.
	Waiting, LevelWaiting, TeamWaiting int
	// Evicts reports whether a request of lower rank is turned away for this one.
	Evicts bool

	// replaced is the request that is turned away, or nil.
	replaced *Item
}

// Eviction is a waiting request that was turned away. It has not run.
type Eviction struct {
	Item *Item
	Decision
}

// maxLateEvictions bounds the requests that one Push turns away because they became
// late. One more may lose its place in a full queue.
const maxLateEvictions = 4

// maxSpread bounds the time over which refused callers are spread.
const maxSpread = 30 * time.Second

// Preview returns what Push would do now. It changes nothing but the queue's time.
func (q *Queue) Preview(now time.Duration, it Item) Decision {
	it.normalize()
	it.stopYielding(now)
	q.advance(now)
	return q.decide(now, &it)
}

// decide determines what to do with a request. It changes nothing.
func (q *Queue) decide(now time.Duration, it *Item) Decision {
	c := &q.class[it.Class]
	l := c.peek(it.key())
	d := c.estimate(now, l, it, q.opt.LevelFloor)
	d.Waiting, d.LevelWaiting, d.TeamWaiting = q.len, l.len, c.teamLen(it.Team)
	full, teamFull := q.len >= q.opt.Length, d.TeamWaiting >= q.opt.TeamLength
	switch {
	case full && !teamFull:
		d.Err, d.replaced = ErrFull, c.lowest()
	case full:
		d.Err, d.replaced = ErrFull, c.lowestOf(it.Team)
	case teamFull:
		d.Err, d.replaced = ErrTeamFull, c.lowestOf(it.Team)
	}
	if d.Err != nil {
		if !it.goesBefore(now, d.replaced, l) {
			d.replaced = nil
			return d
		}
		d.Err, d.Evicts = nil, true
	}
	if !it.inTime(now, d.Wait, l) {
		d.Err, d.Evicts, d.replaced = &WaitError{Wait: d.Wait, Needs: it.Needs}, false, nil
	}
	return d
}

// peek returns the level with a key, or a new one that is not added.
func (c *class) peek(key levelKey) *level {
	if i, ok := c.find(key); ok {
		return c.levels[i]
	}
	return &level{key: key}
}

// peek returns the team's flow, or a new one that is not added.
func (l *level) peek(name string) *flow {
	if f, ok := l.flows[name]; ok {
		return f
	}
	return &flow{level: l, name: name, index: -1}
}

// estimate estimates the wait of a request at a level, whether it is queued or not.
// Ahead of it are the higher levels and part of its own. The estimate of the latter
// is the smaller of the cost of all its waiting requests, and the cost of those of
// the same team over the team's share.
func (c *class) estimate(now time.Duration, l *level, it *Item, share float64) Decision {
	f := l.peek(it.Team)
	var behind float64
	if it.flow == nil {
		_, behind = f.position(it)
	} else {
		for o := it; o != nil; o = o.next {
			behind += o.Cost
		}
	}
	var higher float64
	levels := 1
	for _, o := range c.levels {
		if o != l && !o.empty() && !o.key.late {
			levels++
			if o.key.compare(l.key) < 0 {
				higher += o.cost
			}
		}
	}
	d := Decision{Rate: c.rate.rate}
	wait := func(own float64) time.Duration {
		d.Ahead = higher + own
		if levels == 1 {
			return c.rate.wait(own)
		}
		w := max(c.rate.wait(higher+own), l.rate.wait(own))
		if floor := c.floor(now, l, share); floor > 0 {
			w = min(w, c.rate.wait(own/floor))
		}
		return w
	}
	d.Wait = wait(l.ahead(f, it, behind))
	if !it.inTime(now, d.Wait, l) {
		d.Wait = min(d.Wait, wait(l.exactAhead(f, it, behind)))
	}
	d.Spread = min(max(l.returnsUntil-now-d.Wait, 0)+c.rate.wait(it.Cost), maxSpread)
	return d
}

// ahead estimates the cost of the level that goes before a request of a flow, of
// which a part is behind it.
func (l *level) ahead(f *flow, it *Item, behind float64) float64 {
	weights := l.weights
	if f.len == 0 {
		weights += it.Weight
	}
	debt := max(f.finish-l.virtual, 0)
	own := (debt + (f.cost-behind)/it.Weight) * weights
	return min(l.cost-behind, own)
}

// exactAhead is like ahead, but counts another team only from its start tag on,
// because a team in debt is not served before that. It iterates over all
// waiting teams, so it is called only before a request is refused.
func (l *level) exactAhead(f *flow, it *Item, behind float64) float64 {
	start := max(l.virtual, f.finish) + (f.cost-behind)/it.Weight
	ahead := 0.0
	for _, other := range l.waiting {
		ahead += max(start-other.start, 0) * other.weight
	}
	if f.len == 0 {
		ahead += max(start-l.virtual, 0) * it.Weight
	}
	return ahead
}

// mayLose reports whether a request of the level may be turned away for lack of room.
// The last one that waits remains, so that the level gets its minimum share.
func (l *level) mayLose() bool { return l.len > 1 || l.key.late && !l.empty() }

// lowest returns the waiting request that is dequeued last and may be turned away, or
// nil.
func (c *class) lowest() *Item {
	for i := len(c.levels) - 1; i >= 0; i-- {
		if l := c.levels[i]; l.mayLose() {
			return l.servedLast().last
		}
	}
	return nil
}

// lowestOf returns the waiting request of a team that is dequeued last and may be
// turned away, or nil.
func (c *class) lowestOf(name string) *Item {
	for i := len(c.levels) - 1; i >= 0; i-- {
		if f := c.levels[i].peek(name); f.len > 0 && f.level.mayLose() {
			return f.last
		}
	}
	return nil
}

// goesBefore reports whether a new request gets the place of a waiting one: it is the
// only one of its level, which then gets its minimum share, or goes first by rank. That
// is, it is of a higher level or, at the same level, of a team with less waiting work,
// or of the same team with less slack.
func (it *Item) goesBefore(now time.Duration, other *Item, l *level) bool {
	if other == nil || !it.Ranked || !other.Ranked {
		return false
	}
	if l.empty() {
		return true
	}
	if order := l.key.compare(other.flow.level.key); order != 0 {
		return order < 0
	}
	f := l.peek(it.Team)
	if f != other.flow {
		return max(l.virtual, f.finish)+(f.cost+it.Cost)/it.Weight < other.flow.end()
	}
	if late := it.late(now); late != other.late(now) {
		return !late
	}
	return it.latestStart() < other.latestStart()
}

// refuse records a refused request, whose caller may come back.
func (l *level) refuse(now time.Duration, d Decision) {
	l.returnsUntil = now + d.Wait + d.Spread
}

// evict turns a waiting request away.
func (q *Queue) evict(now time.Duration, it *Item, d Decision) {
	c := &q.class[it.Class]
	l := c.remove(it)
	q.len--
	l.refuse(now, d)
	q.evicted = append(q.evicted, Eviction{Item: it, Decision: d})
}

// evictLate turns away the requests that are dequeued last and can't meet their deadline
// any more, since one of higher rank was queued.
func (q *Queue) evictLate(now time.Duration, it *Item) {
	c := &q.class[it.Class]
	for range maxLateEvictions {
		last := c.lowestInTime()
		if last == nil || last == it || !last.Ranked || last.flow.level == it.flow.level && last.flow != it.flow {
			return
		}
		d := c.estimate(now, last.flow.level, last, q.opt.LevelFloor)
		if last.inTime(now, d.Wait, last.flow.level) {
			return
		}
		d.Waiting, d.LevelWaiting, d.TeamWaiting = q.len, last.flow.level.len, c.teamLen(last.Team)
		d.Err = &WaitError{Wait: d.Wait, Needs: last.Needs}
		q.evict(now, last, d)
	}
}

// lowestInTime is like lowest, without the requests that are late already: these
// are served if nothing else waits.
func (c *class) lowestInTime() *Item {
	for i := len(c.levels) - 1; i >= 0; i-- {
		if l := c.levels[i]; !l.empty() && !l.key.late {
			return l.servedLast().last
		}
	}
	return nil
}

// Evicted returns the waiting requests that were turned away since the last call.
func (q *Queue) Evicted() []Eviction {
	list := q.evicted
	q.evicted = nil
	return list
}

// Refused returns the decision about the request that Push refused last.
func (q *Queue) Refused() Decision { return q.refused }
