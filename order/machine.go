package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cumincove/cumincove/effect"
)

const (
	// maxDoublings bounds how often the wait doubles before a refused order is
	// sent again.
	maxDoublings = 4
	// minReachedTime is how long a count must have been reached before it is
	// recorded in the row. It is longer than the age up to which an old
	// observation counts as fresh.
	minReachedTime = 10 * time.Second
	// refusedAfter is the number of consecutive refusals after which Refused
	// reports a set.
	refusedAfter = 3
)

// Config configures a Machine.
type Config struct {
	DataCentre string
	// Retry is the time before a failed call is repeated.
	Retry time.Duration
	// Settle is how long a set's count may differ from an accepted order
	// before a new order is sent. It should exceed the time that endpoints take
	// to appear in observations.
	Settle time.Duration
}

// Machine issues the orders of one data centre while its epoch is current. It
// is not safe for concurrent use.
type Machine struct {
	cfg    Config
	epoch  uint64
	loaded bool
	// loadAt is when the next Load is due.
	loadAt  time.Duration
	sets    map[Set]*trackedSet
	desired map[Set]int
	// unknownWrites has the IfVersion of each write with unknown outcome, by
	// set. Such a write may take effect until the row has another version.
	unknownWrites map[Set]uint64
	// pending is the action that the last Tick returned.
	pending Action
}

// trackedSet is the state of one set.
type trackedSet struct {
	Stored
	// notBefore is when the next action for the set is due.
	notBefore time.Duration
	// sent is set if the open intent was sent in this epoch, at sentAt, and its
	// outcome is unknown. accepted is set if the receiver is known to have
	// accepted it.
	sent     bool
	accepted bool
	sentAt   time.Duration
	// refusals counts how often in a row the order had no effect.
	refusals int
	// createdInEpoch is set if the open intent was created in this epoch, so that
	// no order of a former holder with its ID can still arrive.
	createdInEpoch bool
	// mismatched is set if the observed count differs from that of the accepted
	// order. The difference was first observed at mismatchedSince.
	mismatched      bool
	mismatchedSince time.Duration
	// countReached is set if each observation since countReachedSince had at
	// least the ordered count. countReachedLong is set if this has lasted for
	// minReachedTime or more.
	countReached, countReachedLong bool
	countReachedSince              time.Duration
}

// New returns a Machine that does nothing before Begin.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, desired: map[Set]int{}}
}

// Begin discards the state and starts with a new epoch: the rows are read
// first.
func (m *Machine) Begin(epoch uint64) {
	m.epoch = epoch
	m.loaded = false
	m.loadAt = 0
	m.sets = nil
	m.unknownWrites = map[Set]uint64{} // writes of the previous epoch fail from here on
}

// Epoch returns the epoch of the last Begin.
func (m *Machine) Epoch() uint64 { return m.epoch }

// SetDesired replaces the desired counts. Sets that are not in the map keep the
// count of their last order.
func (m *Machine) SetDesired(counts map[Set]int) { m.desired = maps.Clone(counts) }

// Ordered returns the counts of the last orders. It returns false before the
// rows have been read.
func (m *Machine) Ordered() (map[Set]int, bool) {
	counts := make(map[Set]int, len(m.sets))
	for s, st := range m.sets {
		counts[s] = st.Intent.Count
	}
	return counts, m.loaded
}

// ObservedRunning returns how many endpoints of each set were observed to run
// under its last order; see Intent.ObservedRunning.
func (m *Machine) ObservedRunning() map[Set]int {
	counts := make(map[Set]int, len(m.sets))
	for s, st := range m.sets {
		counts[s] = st.Intent.ObservedRunning
	}
	return counts
}

// Refused returns the sets whose open order had no effect at least refusedAfter
// times in a row.
func (m *Machine) Refused() map[Set]bool {
	refused := map[Set]bool{}
	for s, st := range m.sets {
		if st.refusals >= refusedAfter {
			refused[s] = true
		}
	}
	return refused
}

// Tick returns the next action, or nil if none is due.
func (m *Machine) Tick(now time.Duration) []Action {
	m.pending = m.nextAction(now)
	if m.pending == nil {
		return nil
	}
	return []Action{m.pending}
}

func (m *Machine) nextAction(now time.Duration) Action {
	if m.epoch == 0 {
		return nil
	}
	if !m.loaded {
		if now < m.loadAt {
			return nil
		}
		return Load{}
	}
	for _, s := range m.sortedSets() {
		if a := m.nextActionFor(now, s); a != nil {
			return a
		}
	}
	return nil
}

// sortedSets returns all sets that may need an action, in a fixed order.
func (m *Machine) sortedSets() []Set {
	for s := range m.desired {
		m.addSet(s)
	}
	for s := range m.unknownWrites {
		m.addSet(s)
	}
	return slices.SortedFunc(maps.Keys(m.sets), func(a, b Set) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier))
	})
}

// addSet adds the state of a set that has no row, if it is missing.
func (m *Machine) addSet(s Set) {
	if m.sets[s] == nil {
		m.sets[s] = &trackedSet{Stored: Stored{Intent: Intent{Done: true}}}
	}
}

func (m *Machine) nextActionFor(now time.Duration, s Set) Action {
	st := m.sets[s]
	if now < st.notBefore {
		return nil
	}
	in := st.Intent
	switch {
	case in.Done:
		return m.nextOrder(now, s, st)
	case in.Epoch != m.epoch:
		in.Epoch = m.epoch
		return Write{s, in, st.Version}
	case st.accepted:
		in.Done = true
		return Write{s, in, st.Version}
	case st.refusals > 0 && st.createdInEpoch && !st.sent && m.desiredCount(s, st) != in.Count:
		// The order cannot have taken effect, and its count is no longer the
		// desired one.
		return m.newOrder(s, st)
	default:
		return Send{s, in}
	}
}

// nextOrder returns the write of a new intent if one is needed.
func (m *Machine) nextOrder(now time.Duration, s Set, st *trackedSet) Action {
	settled := !st.mismatched || now-st.mismatchedSince < m.cfg.Settle
	if m.desiredCount(s, st) != st.Intent.Count || !settled {
		return m.newOrder(s, st)
	}
	if in := st.Intent; st.countReachedLong && in.ObservedRunning < in.Count {
		in.Epoch, in.ObservedRunning = m.epoch, in.Count
		return Write{s, in, st.Version}
	}
	if v, ok := m.unknownWrites[s]; ok && v == st.Version {
		in := st.Intent
		in.Epoch = m.epoch
		return Write{s, in, st.Version} // with a new version, the write with unknown outcome fails
	}
	return nil
}

func (m *Machine) newOrder(s Set, st *trackedSet) Action {
	return Write{s, newIntent(m.cfg.DataCentre, s, st.Intent, m.desiredCount(s, st), m.epoch), st.Version}
}

// desiredCount returns the count that a set should have.
func (m *Machine) desiredCount(s Set, st *trackedSet) int {
	if count, ok := m.desired[s]; ok {
		return count
	}
	return st.Intent.Count
}

// Step processes an Event.
func (m *Machine) Step(now time.Duration, e Event) {
	switch e := e.(type) {
	case Loaded:
		m.loaded = true
		m.sets = make(map[Set]*trackedSet, len(e.Rows))
		for s, row := range e.Rows {
			m.sets[s] = &trackedSet{Stored: row}
		}
	case LoadFailed:
		m.loadAt = now + m.cfg.Retry
	case WriteDone:
		m.handleWrite(now, m.pending.(Write), e.Outcome)
	case SendDone:
		m.handleSend(now, m.sets[m.pending.(Send).Set], e.Outcome)
	case Observed:
		m.handleObserved(now, e)
	}
}

func (m *Machine) handleWrite(now time.Duration, w Write, o effect.Outcome) {
	st := m.sets[w.Set]
	switch o {
	case effect.Done:
		next := trackedSet{Stored: Stored{w.Intent, w.IfVersion + 1}, createdInEpoch: w.Intent.Seq > st.Intent.Seq}
		if !w.Intent.Done {
			next.refusals = st.refusals
		}
		*st = next
	case effect.None:
		st.notBefore = now + m.cfg.Retry
	case effect.Unknown:
		m.unknownWrites[w.Set] = w.IfVersion
		m.reload(now)
	case effect.Conflict:
		m.reload(now)
	}
}

func (m *Machine) reload(now time.Duration) {
	m.loaded = false
	m.loadAt = now + m.cfg.Retry
}

func (m *Machine) handleSend(now time.Duration, st *trackedSet, o effect.Outcome) {
	switch o {
	case effect.Done:
		st.accepted = true
		st.refusals = 0
	case effect.Unknown:
		st.sent = true
		st.sentAt = now
		st.notBefore = now + m.cfg.Retry
	default:
		st.notBefore = now + m.cfg.Retry<<min(st.refusals, maxDoublings)
		st.refusals++
	}
}

func (m *Machine) handleObserved(now time.Duration, e Observed) {
	for s, st := range m.sets {
		count := e.Counts[s]
		matches := count == st.Intent.Count
		if !st.Intent.Done {
			// The outcome of the last order is unknown. This observation may
			// resolve it.
			if st.sent && e.Started >= st.sentAt && matches {
				st.accepted = true
				st.notBefore = 0
			}
			continue
		}
		if matches {
			st.mismatched = false
		} else if !st.mismatched {
			st.mismatched = true
			st.mismatchedSince = now
		}
		st.trackReached(e.Started, count)
	}
}

// trackReached records since when the ordered count has been reached.
func (st *trackedSet) trackReached(at time.Duration, count int) {
	if count < st.Intent.Count {
		st.countReached = false
		return
	}
	if !st.countReached {
		st.countReached = true
		st.countReachedSince = at
	}
	st.countReachedLong = at-st.countReachedSince >= minReachedTime
}
