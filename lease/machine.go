package lease

import (
	"math"
	"time"

	"github.com/cumincove/cumincove/effect"
)

// maxUnresolved bounds how many writes with unknown outcome are remembered.
// Forgetting one is safe: it then counts as no renewal.
const maxUnresolved = 16

// Machine is one process's part in one lease. It is not safe for concurrent
// use.
type Machine struct {
	cfg  Config
	want bool
	// preferred is who should hold the lease; empty: whoever does.
	preferred string

	// row and version are what was last seen or written; since is when the
	// row was first seen in this version.
	row     Row
	version uint64
	since   time.Duration
	// unread says that the row must be read before the next write.
	unread bool

	call       *call
	unresolved []call
	nextRead   time.Duration
	nextWrite  time.Duration

	nonce uint64
	term  Term
	// closing says that the holder is on its way to release the lease.
	closing bool
	acts    int
	// settled is when the last unanswered act has ended for certain.
	settled time.Duration
}

// call is a read or write whose answer is awaited, or a write whose answer
// was lost.
type call struct {
	started   time.Duration
	row       Row
	ifVersion uint64
}

// New returns a Machine that neither holds nor wants the lease.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg.withDefaults(), unread: true}
}

// Term returns the current term. It may have ended; see Term.Valid.
func (m *Machine) Term() Term {
	if m.closing {
		return Term{}
	}
	return m.term
}

// Row returns the row as last seen, and its version.
func (m *Machine) Row() (Row, uint64) { return m.row, m.version }

// Want says whether this process is a candidate, and who is preferred as
// holder (empty: nobody). A holder that is not preferred hands over; one that
// is no candidate any more releases the lease.
func (m *Machine) Want(candidate bool, preferred string) {
	m.want = candidate
	m.preferred = preferred
}

// Release makes the holder stop acting now, and release the lease once its
// acts have ended.
func (m *Machine) Release() {
	m.want = false
	m.closing = m.mine()
}

// Idle reports that this process neither holds the lease, as far as it knows,
// nor has a call under way.
func (m *Machine) Idle() bool {
	return m.call == nil && !m.mine()
}

// Next is when Tick will next have something to do, if nothing happens before.
func (m *Machine) Next() time.Duration {
	switch {
	case m.unread:
		return m.nextRead
	case m.mine():
		return m.nextWrite
	case !m.want:
		return math.MaxInt64
	}
	next := min(m.nextRead, m.acquireAt())
	if m.asked() {
		next = min(next, m.nextWrite)
	}
	return next
}

// Tick returns what to do now.
func (m *Machine) Tick(now time.Duration) []Action {
	switch {
	case m.call != nil:
		return nil
	case m.unread:
		return m.read(now)
	case m.mine():
		return m.tickHolder(now)
	case !m.want:
		return nil
	case now >= m.acquireAt():
		return m.acquire(now)
	case m.asked() && now >= m.nextWrite:
		return m.answer(now)
	}
	return m.read(now)
}

// asked reports whether the holder waits for this process to show that it is
// there.
func (m *Machine) asked() bool {
	return !m.row.Released && m.row.Next == m.cfg.Holder && m.row.Ready != m.cfg.Holder
}

// answer writes Ready into the holder's row. It changes nothing else, so it
// renews no term.
func (m *Machine) answer(now time.Duration) []Action {
	row := m.row
	row.Ready = m.cfg.Holder
	return m.ask(now, row, false)
}

func (m *Machine) tickHolder(now time.Duration) []Action {
	if now < m.nextWrite {
		return nil
	}
	next := m.successor()
	if next != "" && m.row.Ready == next || !m.want {
		m.closing = true
	}
	if m.closing {
		return m.release(now)
	}
	if !m.term.Valid(now) {
		return m.acquire(now)
	}
	return m.write(now, Row{Epoch: m.row.Epoch, Next: next}, false)
}

// successor names who this process should hand over to, if anybody.
func (m *Machine) successor() string {
	if m.preferred == m.cfg.Holder {
		return ""
	}
	return m.preferred
}

// release writes the release once no act is under way.
func (m *Machine) release(now time.Duration) []Action {
	if m.acts > 0 || now < m.settled {
		return nil
	}
	return m.write(now, Row{Epoch: m.row.Epoch, Released: true, Next: m.successor()}, false)
}

func (m *Machine) acquire(now time.Duration) []Action {
	return m.write(now, Row{Epoch: m.row.Epoch + 1}, true)
}

// acquireAt is when this process may try to acquire the lease of another.
func (m *Machine) acquireAt() time.Duration {
	switch {
	case m.version == 0:
		return m.nextWrite
	case !m.row.Released && m.isEarlierSelf():
		return m.nextWrite
	case !m.row.Released:
		return max(m.nextWrite, m.since+max(m.row.Wait, m.cfg.outwait()))
	case m.row.Next == "" || m.row.Next == m.cfg.Holder:
		return m.nextWrite
	}
	return max(m.nextWrite, m.since+m.cfg.Duration)
}

// isEarlierSelf reports whether the holder is an earlier process of this name
// whose lease may be taken. Of two processes that both run only the later one
// may, so that the lease does not go back and forth.
func (m *Machine) isEarlierSelf() bool {
	return m.cfg.TakeBack && m.row.Holder == m.cfg.Holder && m.row.Incarnation < m.cfg.Incarnation
}

// mine reports whether the row was last seen held by this process. The term
// may have ended all the same.
func (m *Machine) mine() bool {
	return m.version != 0 && !m.row.Released &&
		m.row.Holder == m.cfg.Holder && m.row.Incarnation == m.cfg.Incarnation
}

func (m *Machine) read(now time.Duration) []Action {
	if now < m.nextRead {
		return nil
	}
	m.call = &call{started: now}
	return []Action{Read{}}
}

func (m *Machine) write(now time.Duration, row Row, acquire bool) []Action {
	m.nonce++
	row.Holder = m.cfg.Holder
	row.Incarnation = m.cfg.Incarnation
	row.Nonce = m.nonce
	row.Wait = m.cfg.outwait()
	return m.ask(now, row, acquire)
}

func (m *Machine) ask(now time.Duration, row Row, acquire bool) []Action {
	m.call = &call{started: now, row: row, ifVersion: m.version}
	return []Action{Write{Row: row, IfVersion: m.version, Acquire: acquire}}
}

// Step takes in an Event.
func (m *Machine) Step(now time.Duration, e Event) {
	switch e := e.(type) {
	case ReadDone:
		m.call = nil
		m.nextRead = now + m.pollPeriod(e.Row)
		m.saw(now, e.Row, e.Version)
	case ReadFailed:
		m.call = nil
		m.nextRead = now + m.cfg.Poll
	case WriteDone:
		c := *m.call
		m.call = nil
		m.wrote(now, c, e.Outcome)
	case ActBegan:
		m.acts++
	case ActEnded:
		m.acts--
		if !e.Answered {
			m.settled = now + m.cfg.ActTime
		}
	}
}

func (m *Machine) pollPeriod(r Row) time.Duration {
	if r.Next == m.cfg.Holder {
		return m.cfg.FastPoll
	}
	return m.cfg.Poll
}

func (m *Machine) wrote(now time.Duration, c call, o effect.Outcome) {
	switch o {
	case effect.Done:
		m.set(now, c.row, c.ifVersion+1)
		m.adopt(c)
		m.unresolved = nil
		if m.mine() {
			m.nextWrite = c.started + m.cfg.Renew
		}
	case effect.None:
		m.nextWrite = now + m.cfg.Poll
	case effect.Conflict:
		m.unread = true
		m.nextRead = now
	case effect.Unknown:
		m.unread = true
		m.nextRead = now
		m.nextWrite = now + m.cfg.Poll
		m.remember(c)
	}
}

func (m *Machine) remember(c call) {
	if c.row.Holder != m.cfg.Holder || c.row.Incarnation != m.cfg.Incarnation {
		return // an answer to the holder renews nothing
	}
	if len(m.unresolved) == maxUnresolved {
		m.unresolved = m.unresolved[1:]
	}
	m.unresolved = append(m.unresolved, c)
}

// saw takes in a row that was read. Unresolved writes that it shows have
// succeeded; those that demanded an older version can't succeed any more.
func (m *Machine) saw(now time.Duration, row Row, version uint64) {
	m.unread = false
	m.set(now, row, version)
	var open []call
	for _, c := range m.unresolved {
		switch {
		case m.mine() && c.row.Nonce == row.Nonce:
			m.adopt(c)
		case c.ifVersion >= version:
			open = append(open, c)
		}
	}
	m.unresolved = open
}

func (m *Machine) set(now time.Duration, row Row, version uint64) {
	if version != m.version {
		m.since = now
	}
	m.row = row
	m.version = version
	if !m.mine() {
		m.term = Term{}
		m.closing = false
	}
}

// adopt extends the term by a write that is known to have succeeded. It
// counts from before the write.
func (m *Machine) adopt(c call) {
	if !m.mine() {
		return
	}
	m.term = Term{Epoch: c.row.Epoch, Until: c.started + m.cfg.Duration}
}
