package membudget

import "time"

const (
	// SmallBytes is the size up to which a hold may use the reserve.
	SmallBytes = 64 << 10
	// stallTime is the time without progress after which a hold is evicted before
	// all that make progress.
	stallTime = time.Second
	// teamShare is the part of the room for large holds that one team may take if it
	// has several of them: all but a quarter.
	teamShareNum, teamShareDen = 3, 4
	// besideShare is the part of the room for large holds that others may take beside
	// one that exceeds the room alone: an eighth.
	besideShare = 8
)

// entry is the part of a Hold that the ledger decides on.
type entry struct {
	team  string
	bytes int64
	// complete is set once nothing more is read. Complete entries are not evicted.
	complete bool
	opened   time.Duration
	progress time.Duration // time of the last byte
	// evicted is set once the entry was evicted, and evictedBytes is its size then.
	evicted      bool
	evictedBytes int64
	// onEvict is called after the entry was evicted.
	onEvict func()
	// closed is set when the entry is evicted, and closed when its hold is, which
	// left states.
	closed chan struct{}
	left   bool
}

func (e *entry) large() bool { return e.bytes > SmallBytes }

func (e *entry) stalled(now time.Duration) bool { return now-e.progress >= stallTime }

// team counts the large entries of a team.
type team struct {
	bytes   int64
	entries int
}

// ledger is the account of all entries. It is not safe for concurrent use.
//
// Invariant: the entries' bytes are the sum of small and large, and large plus the
// larger of small and reserve is at most total. One entry may exceed the room for
// large ones, total less reserve, alone. Small entries still have the reserve then, and
// the other large ones a besideShare-th of the room.
type ledger struct {
	total, reserve int64
	small, large   int64
	larges         int // number of large entries
	// oversized is the number of entries that exceed the room for large ones alone,
	// oversizedBytes their bytes.
	oversized      int
	oversizedBytes int64
	teams          map[string]team
	incomplete     map[*entry]struct{}
}

func newLedger(total, reserve int64) *ledger {
	return &ledger{total: total, reserve: reserve, teams: map[string]team{}, incomplete: map[*entry]struct{}{}}
}

// held returns the bytes of all entries.
func (l *ledger) held() int64 { return l.small + l.large }

func (l *ledger) open(e *entry) { l.incomplete[e] = struct{}{} }

// room returns the memory for large entries.
func (l *ledger) room() int64 { return l.total - l.reserve }

// exceeds reports whether an entry alone exceeds the room for large ones.
func (l *ledger) exceeds(e *entry) bool { return e.large() && e.bytes > l.room() }

// count adds the entry to the sums, or removes it from them.
func (l *ledger) count(e *entry, sign int64) {
	if !e.large() {
		l.small += sign * e.bytes
		return
	}
	l.large += sign * e.bytes
	l.larges += int(sign)
	if l.exceeds(e) {
		l.oversized += int(sign)
		l.oversizedBytes += sign * e.bytes
	}
	t := l.teams[e.team]
	t.bytes += sign * e.bytes
	t.entries += int(sign)
	if t.entries == 0 {
		delete(l.teams, e.team)
	} else {
		l.teams[e.team] = t
	}
}

// resize sets an entry's size without a check.
func (l *ledger) resize(e *entry, bytes int64) {
	l.count(e, -1)
	e.bytes = bytes
	l.count(e, +1)
}

// close removes an entry.
func (l *ledger) close(e *entry) {
	l.resize(e, 0)
	delete(l.incomplete, e)
}

// Reasons why a step does not fit.
type reason int

const (
	fits reason = iota
	full
	teamFull
)

// fit returns whether the entry may have the given size.
func (l *ledger) fit(e *entry, bytes int64) reason {
	before := e.bytes
	l.resize(e, bytes)
	defer l.resize(e, before)
	switch {
	case e.large() && l.larges == 1:
		return fits // a single large request is always served
	case !e.large() && l.small <= l.reserve:
		return fits
	case l.oversized == 1 && l.small <= l.reserve && l.large-l.oversizedBytes <= l.room()/besideShare:
		return fits
	case l.large+max(l.small, l.reserve) > l.total:
		return full
	case e.large() && l.teams[e.team].entries > 1 && l.teams[e.team].bytes > l.room()*teamShareNum/teamShareDen:
		return teamFull
	}
	return fits
}

// grow lets an entry grow by n bytes and returns the entries that are evicted for
// it. It reports false if the step is refused, and then evicts none.
func (l *ledger) grow(e *entry, n int64, now time.Duration) (evicted []*entry, ok bool) {
	if e.evicted {
		return nil, false
	}
	e.progress = now
	var sizes []int64
	for {
		why := l.fit(e, e.bytes+n)
		if why == fits {
			l.resize(e, e.bytes+n)
			return evicted, true
		}
		victim := l.victim(e, n, why, now)
		if victim == nil {
			break
		}
		evicted, sizes = append(evicted, victim), append(sizes, victim.bytes)
		victim.evicted, victim.evictedBytes = true, victim.bytes
		l.close(victim)
	}
	for i, victim := range evicted {
		victim.evicted = false
		l.open(victim)
		l.resize(victim, sizes[i])
	}
	return nil, false
}

// victim returns the entry that is evicted so that e can grow by n bytes, or nil if
// that is e itself.
func (l *ledger) victim(e *entry, n int64, why reason, now time.Duration) *entry {
	var first *entry
	for other := range l.incomplete {
		if other != e && other.bytes > 0 && l.yields(other, e, n, why, now) && (first == nil || goesBefore(other, first, now)) {
			first = other
		}
	}
	if first == nil || !e.complete && !goesBefore(first, &entry{bytes: e.bytes + n, opened: e.opened, progress: e.progress}, now) {
		return nil
	}
	return first
}

// yields reports whether an entry may be evicted for e. A team's entries yield only to
// entries of the same team, to those of teams that hold less, and to small ones. One
// that exceeds the room alone doesn't yield while it makes progress, because it could
// not be read again either.
func (l *ledger) yields(other, e *entry, n int64, why reason, now time.Duration) bool {
	switch {
	case l.exceeds(other) && !other.stalled(now):
		return false
	case why == teamFull || other.team == e.team:
		return other.team == e.team
	case e.bytes+n <= SmallBytes:
		return true
	}
	return !other.large() || l.teams[other.team].bytes > l.teams[e.team].bytes
}

// goesBefore reports whether a is evicted before b.
func goesBefore(a, b *entry, now time.Duration) bool {
	stalledA, stalledB := a.stalled(now), b.stalled(now)
	if stalledA != stalledB {
		return stalledA
	}
	return cost(a, now) > cost(b, now)
}

// cost is the memory that an entry has used times the time for which it has used it.
func cost(e *entry, now time.Duration) float64 {
	return float64(e.bytes) * (now - e.opened).Seconds()
}
