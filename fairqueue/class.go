package fairqueue

import (
	"slices"
	"time"
)

// maxLevels bounds the levels of a class. Priorities come from the configuration,
// which may change.
const maxLevels = 16

// class contains the levels of one class, the one that goes first in front.
type class struct {
	// teams counts each team's waiting requests at all levels.
	teams  map[string]*team
	levels []*level
	// rate measures the rate at which cost is served at all levels together while
	// any request waits.
	rate meter
	len  int
}

// team counts the waiting requests of one team.
type team struct{ len int }

func (c *class) empty() bool { return c.len == 0 }

// level returns the level with a key, which it adds if there is none.
func (c *class) level(key levelKey) *level {
	i, ok := c.find(key)
	if ok {
		return c.levels[i]
	}
	if len(c.levels) >= maxLevels {
		c.levels = slices.DeleteFunc(c.levels, (*level).empty)
		i, _ = c.find(key)
	}
	l := &level{key: key, flows: map[string]*flow{}}
	l.rate.last, l.rate.started = c.rate.last, c.rate.started
	c.levels = slices.Insert(c.levels, i, l)
	return l
}

func (c *class) find(key levelKey) (int, bool) {
	return slices.BinarySearchFunc(c.levels, key, func(l *level, k levelKey) int { return l.key.compare(k) })
}

func (c *class) push(l *level, it *Item) {
	l.push(l.flow(it.Team), it)
	c.len++
	t := c.teams[it.Team]
	if t == nil {
		t = &team{}
		c.teams[it.Team] = t
	}
	t.len++
}

// remove removes a waiting request and returns its level.
func (c *class) remove(it *Item) *level {
	l := it.flow.level
	l.remove(it)
	c.len--
	t := c.teams[it.Team]
	if t.len--; t.len == 0 {
		delete(c.teams, it.Team)
	}
	return l
}

func (c *class) teamLen(name string) int {
	if t := c.teams[name]; t != nil {
		return t.len
	}
	return 0
}

// head returns the request to dequeue next. At least one must be waiting. In order:
// the level whose minimum share is due, what yielded and can't wait any longer, and
// the highest level. A request that still yields is returned only if no other waits.
func (c *class) head(now time.Duration) *Item {
	var first *level
	var behind *Item
	credit := 0.0
	for _, l := range c.levels {
		switch {
		case l.empty() || l.key.late && first != nil:
		case first == nil:
			first = l
		default:
			if it := l.startable(now); it != nil && l.credit >= it.Cost && (behind == nil || l.credit > credit) {
				behind, credit = it, l.credit
			}
		}
	}
	if behind != nil {
		return behind
	}
	if it := c.urgent(now, first.key); it != nil {
		return it
	}
	return first.head()
}

// urgent returns the request with the least slack among those that have yielded
// until now and must start, unless only requests of higher priority wait before it.
func (c *class) urgent(now time.Duration, first levelKey) *Item {
	var found *Item
	for _, l := range c.levels {
		if !l.key.yields || l.key.late || l.empty() || !first.yields && first.priority < l.key.priority {
			continue
		}
		if it := l.urgent(now); it != nil && (found == nil || it.latestStart() < found.latestStart()) {
			found = it
		}
	}
	return found
}

// urgent returns the request of a level that yields with the least slack among those
// that must start, or nil.
func (l *level) urgent(now time.Duration) *Item {
	var found *Item
	for _, f := range l.waiting {
		it := f.first
		if it.mustStart(now) && !it.late(now) && (found == nil || it.latestStart() < found.latestStart()) {
			found = it
		}
	}
	return found
}

// startable returns the request of a level that is dequeued when its minimum share is
// due, or nil if all of them yield. At least one must be waiting.
func (l *level) startable(now time.Duration) *Item {
	if l.key.yields {
		return l.urgent(now)
	}
	return l.head()
}

// floor returns the minimum share of a level: share times its part of the cost that
// came lately.
func (c *class) floor(now time.Duration, l *level, share float64) float64 {
	if l.key.late {
		return 0
	}
	all := 0.0
	for _, other := range c.levels {
		all += other.offered.value(now)
	}
	if all <= 0 {
		return 0
	}
	return share * l.offered.value(now) / all
}

// settleCredit updates the credits of the levels for a dequeued request.
func (c *class) settleCredit(now time.Duration, served *level, it *Item, share float64) {
	higherWaits := false
	for _, l := range c.levels {
		order := l.key.compare(served.key)
		switch {
		case order < 0:
			higherWaits = higherWaits || !l.empty()
		case order == 0 && higherWaits:
			l.credit = max(l.credit-it.Cost, 0)
		case order == 0:
			l.credit = 0
		case !l.empty():
			floor := c.floor(now, l, share)
			l.credit = min(l.credit+it.Cost*floor/(1-floor), 2*max(l.head().Cost, it.Cost))
		}
	}
}

// advance moves the time to now.
func (c *class) advance(now time.Duration) {
	c.rate.advance(now, !c.empty())
	for _, l := range c.levels {
		l.rate.advance(now, !l.empty())
	}
}

// settle moves the finish tags of a team at all levels.
func (c *class) settle(name string, correction, limit float64) {
	for _, l := range c.levels {
		l.settle(name, correction, limit)
	}
}
