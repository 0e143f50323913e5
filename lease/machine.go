package lease

import (
	"math"
	"time"

	"github.com/cumincove/cumincove/effect"
)

// maxUnresolved bounds the number of writes with unknown outcome that are kept.
// Dropping one is safe: it then does not extend the term.
const maxUnresolved = 16

// Machine is the state machine of one process for one lease. It is not safe for
// concurrent use.
type Machine struct {
	cfg         Config
	isCandidate bool
	// preferred names the process that should hold the lease. If it is empty,
	// any holder keeps it.
	preferred string

	// row and version are the last observed or written values; unchangedSince
	// is when this version was first observed.
	row            Row
	version        uint64
	unchangedSince time.Duration
	// mustRead is set when the row must be read before the next write.
	mustRead bool

	call       *call
	unresolved []call
	nextRead   time.Duration
	nextWrite  time.Duration

	nonce uint64
	term  Term
	// releasing is set while the holder waits to release the lease. It starts
	// no operations then.
	releasing bool
	// operations is the number of operations in progress.
	operations int
	// operationsSettledAt is the time by which the last operation without a
	// response has certainly ended.
	operationsSettledAt time.Duration
}

// call is a read or write in progress, or a write whose response was lost.
type call struct {
	started   time.Duration
	row       Row
	ifVersion uint64
}

// New returns a Machine that neither holds the lease nor is a candidate for it.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg.withDefaults(), mustRead: true}
}

// Term returns the current term. It may have ended; see Term.Valid.
func (m *Machine) Term() Term {
	if m.releasing {
		return Term{}
	}
	return m.term
}

// Row returns the row as last observed or written, and its version.
func (m *Machine) Row() (Row, uint64) { return m.row, m.version }

// SetCandidate sets whether this process is a candidate, and the name of the
// preferred holder (empty: none). A holder hands off to a preferred process
// other than itself. A holder that is no longer a candidate releases the lease.
func (m *Machine) SetCandidate(candidate bool, preferred string) {
	m.isCandidate = candidate
	m.preferred = preferred
}

// Release ends the holder's term at once and releases the lease when its
// operations have ended.
func (m *Machine) Release() {
	m.isCandidate = false
	m.releasing = m.isHolder()
}

// Idle reports whether this process has no call in progress and does not hold
// the lease according to the last observed row.
func (m *Machine) Idle() bool {
	return m.call == nil && !m.isHolder()
}

// Next returns when Tick next has an Action to return, provided that no Event
// arrives before.
func (m *Machine) Next() time.Duration {
	switch {
	case m.mustRead:
		return m.nextRead
	case m.isHolder():
		return m.nextWrite
	case !m.isCandidate:
		return math.MaxInt64
	}
	next := min(m.nextRead, m.acquireAt())
	if m.readyRequested() {
		next = min(next, m.nextWrite)
	}
	return next
}

// Tick returns the Actions that are due now.
func (m *Machine) Tick(now time.Duration) []Action {
	switch {
	case m.call != nil:
		return nil
	case m.mustRead:
		return m.startRead(now)
	case m.isHolder():
		return m.tickHolder(now)
	case !m.isCandidate:
		return nil
	case now >= m.acquireAt():
		return m.acquire(now)
	case m.readyRequested() && now >= m.nextWrite:
		return m.writeReady(now)
	}
	return m.startRead(now)
}

// readyRequested reports whether the holder waits for this process to write its
// name to Ready.
func (m *Machine) readyRequested() bool {
	return !m.row.Released && m.row.Successor == m.cfg.Holder && m.row.Ready != m.cfg.Holder
}

// writeReady writes Ready in the holder's row. It leaves the rest of the row
// unchanged, so it renews no term.
func (m *Machine) writeReady(now time.Duration) []Action {
	row := m.row
	row.Ready = m.cfg.Holder
	return m.startWrite(now, row, false)
}

func (m *Machine) tickHolder(now time.Duration) []Action {
	if now < m.nextWrite {
		return nil
	}
	next := m.successor()
	if next != "" && m.row.Ready == next || !m.isCandidate {
		m.releasing = true
	}
	if m.releasing {
		return m.release(now)
	}
	if !m.term.Valid(now) {
		return m.acquire(now)
	}
	return m.write(now, Row{Epoch: m.row.Epoch, Successor: next}, false)
}

// successor returns the name of the process that this process should hand off
// to, or "" if there is none.
func (m *Machine) successor() string {
	if m.preferred == m.cfg.Holder {
		return ""
	}
	return m.preferred
}

// release writes the release as soon as no operation is in progress.
func (m *Machine) release(now time.Duration) []Action {
	if m.operations > 0 || now < m.operationsSettledAt {
		return nil
	}
	return m.write(now, Row{Epoch: m.row.Epoch, Released: true, Successor: m.successor()}, false)
}

func (m *Machine) acquire(now time.Duration) []Action {
	return m.write(now, Row{Epoch: m.row.Epoch + 1}, true)
}

// acquireAt returns when this process may try to acquire the lease from another
// process.
func (m *Machine) acquireAt() time.Duration {
	switch {
	case m.version == 0:
		return m.nextWrite
	case !m.row.Released && m.heldByEarlierProcess():
		return m.nextWrite
	case !m.row.Released:
		return max(m.nextWrite, m.unchangedSince+max(m.row.TakeoverWait, m.cfg.takeoverWait()))
	case m.row.Successor == "" || m.row.Successor == m.cfg.Holder:
		return m.nextWrite
	}
	return max(m.nextWrite, m.unchangedSince+m.cfg.Duration)
}

// heldByEarlierProcess reports whether the holder is an earlier process of the
// same name whose lease this process may acquire without a wait. If both
// processes are running, only the later one may do so; otherwise the lease
// would alternate between them.
func (m *Machine) heldByEarlierProcess() bool {
	return m.cfg.AllowSelfTakeover && m.row.Holder == m.cfg.Holder && m.row.Incarnation < m.cfg.Incarnation
}

// isHolder reports whether this process is the holder in the row as last
// observed. Its term may have ended nevertheless.
func (m *Machine) isHolder() bool {
	return m.version != 0 && !m.row.Released &&
		m.row.Holder == m.cfg.Holder && m.row.Incarnation == m.cfg.Incarnation
}

func (m *Machine) startRead(now time.Duration) []Action {
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
	row.TakeoverWait = m.cfg.takeoverWait()
	return m.startWrite(now, row, acquire)
}

func (m *Machine) startWrite(now time.Duration, row Row, acquire bool) []Action {
	m.call = &call{started: now, row: row, ifVersion: m.version}
	return []Action{Write{Row: row, IfVersion: m.version, Acquire: acquire}}
}

// Step processes an Event.
func (m *Machine) Step(now time.Duration, e Event) {
	switch e := e.(type) {
	case ReadDone:
		m.call = nil
		m.nextRead = now + m.pollPeriod(e.Row)
		m.handleRead(now, e.Row, e.Version)
	case ReadFailed:
		m.call = nil
		m.nextRead = now + m.cfg.Poll
	case WriteDone:
		c := *m.call
		m.call = nil
		m.handleWrite(now, c, e.Outcome)
	case OperationStarted:
		m.operations++
	case OperationEnded:
		m.operations--
		if !e.ResponseReceived {
			m.operationsSettledAt = now + m.cfg.MaxOperationTime
		}
	}
}

func (m *Machine) pollPeriod(r Row) time.Duration {
	if r.Successor == m.cfg.Holder {
		return m.cfg.FastPoll
	}
	return m.cfg.Poll
}

func (m *Machine) handleWrite(now time.Duration, c call, o effect.Outcome) {
	switch o {
	case effect.Done:
		m.setRow(now, c.row, c.ifVersion+1)
		m.extendTerm(c)
		m.unresolved = nil
		if m.isHolder() {
			m.nextWrite = c.started + m.cfg.Renew
		}
	case effect.None:
		m.nextWrite = now + m.cfg.Poll
	case effect.Conflict:
		m.mustRead = true
		m.nextRead = now
	case effect.Unknown:
		m.mustRead = true
		m.nextRead = now
		m.nextWrite = now + m.cfg.Poll
		m.addUnresolved(c)
	}
}

func (m *Machine) addUnresolved(c call) {
	if c.row.Holder != m.cfg.Holder || c.row.Incarnation != m.cfg.Incarnation {
		return // a write of Ready in another process's row renews nothing
	}
	if len(m.unresolved) == maxUnresolved {
		m.unresolved = m.unresolved[1:]
	}
	m.unresolved = append(m.unresolved, c)
}

// handleRead processes a row that was read. An unresolved write whose nonce is
// in the row has succeeded. Unresolved writes that require an older version can
// no longer succeed and are dropped.
func (m *Machine) handleRead(now time.Duration, row Row, version uint64) {
	m.mustRead = false
	m.setRow(now, row, version)
	var open []call
	for _, c := range m.unresolved {
		switch {
		case m.isHolder() && c.row.Nonce == row.Nonce:
			m.extendTerm(c)
		case c.ifVersion >= version:
			open = append(open, c)
		}
	}
	m.unresolved = open
}

func (m *Machine) setRow(now time.Duration, row Row, version uint64) {
	if version != m.version {
		m.unchangedSince = now
	}
	m.row = row
	m.version = version
	if !m.isHolder() {
		m.term = Term{}
		m.releasing = false
	}
}

// extendTerm sets the term that results from a successful write. The term is
// counted from the start of the write.
func (m *Machine) extendTerm(c call) {
	if !m.isHolder() {
		return
	}
	m.term = Term{Epoch: c.row.Epoch, Until: c.started + m.cfg.Duration}
}
