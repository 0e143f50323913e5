package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/code"
)

const (
	// sweepPeriod is the time between two checks of a server's connections.
	sweepPeriod = 250 * time.Millisecond
	// rejectWriteTimeout bounds the time to write a refusal to a slow caller.
	rejectWriteTimeout = 50 * time.Millisecond
)

// connTimeouts are the limits on a caller's use of a connection.
type connTimeouts struct {
	// header bounds the time to send a request's header, idle the time between
	// two requests.
	header, idle time.Duration
}

// connPhase is the phase that a connection is in.
type connPhase int32

const (
	connNew     connPhase = iota // nothing was received yet
	connHeader                   // part of a header was received; recorded only by timedConn
	connServing                  // a request's header was read
	connIdle
)

// connState is the state of a connection.
type connState struct {
	openedAt time.Time
	phase    atomic.Int32
	// sweeps counts the sweeps since the connection entered its phase. Counting
	// sweeps instead of time excludes the time in which the process did not run.
	sweeps atomic.Int64
	// idleTimeout is the idle timeout that was in force when the connection
	// became idle.
	idleTimeout atomic.Int64
}

func newConnState() *connState { return &connState{openedAt: time.Now()} }

func (c *connState) enter(p connPhase) {
	c.sweeps.Store(0)
	c.phase.Store(int32(p))
}

func (c *connState) in(p connPhase) bool { return connPhase(c.phase.Load()) == p }

// track records a change of a connection's state.
func (s *server) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.lastActivity.Store(time.Now().UnixNano())
		cs := newConnState()
		if t := timedConnOf(c); t != nil {
			cs = t.state
		}
		s.recordIdleTimeout(cs)
		s.conns.Store(c, cs)
	case http.StateActive:
		s.lastActivity.Store(time.Now().UnixNano())
		s.enter(c, connServing)
		timedConnOf(c).headComplete()
	case http.StateIdle:
		timedConnOf(c).releaseHead()
		s.enter(c, connIdle)
	default:
		timedConnOf(c).releaseHead()
		s.conns.Delete(c)
	}
}

func (s *server) enter(c net.Conn, p connPhase) {
	v, ok := s.conns.Load(c)
	if !ok {
		return
	}
	cs := v.(*connState)
	if p == connIdle {
		s.recordIdleTimeout(cs)
	}
	cs.enter(p)
}

// recordIdleTimeout stores the current idle timeout for a connection that becomes
// idle. A later change can lengthen it but not shorten it, because the caller may
// not have learned of the change.
func (s *server) recordIdleTimeout(cs *connState) {
	if s.timeouts != nil {
		cs.idleTimeout.Store(int64(s.timeouts().idle))
	}
}

// runSweeps closes connections that exceed their timeouts, until the server
// accepts no more connections.
func (s *server) runSweeps() {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.sweep()
		case <-s.acceptDone:
			return
		}
	}
}

func (s *server) sweep() {
	timeouts := s.timeouts()
	s.conns.Range(func(key, value any) bool {
		c, cs := key.(net.Conn), value.(*connState)
		elapsed := time.Duration(cs.sweeps.Add(1)-1) * sweepPeriod
		switch {
		case cs.in(connHeader) && elapsed >= timeouts.header:
			rejectSlowHeader(c)
		case (cs.in(connNew) || cs.in(connIdle)) && elapsed >= max(timeouts.idle, time.Duration(cs.idleTimeout.Load())):
			c.Close()
		}
		return true
	})
}

// rejectSlowHeader responds that the request's header took too long, and closes
// the connection. The server writes nothing to a connection before it has read a
// header, so the two responses can't mix.
func rejectSlowHeader(c net.Conn) {
	defer c.Close()
	reject(c, code.CallerTimeout)
}

// roomSample is the number of candidates among which makeRoom looks.
const roomSample = 64

// makeRoom closes the connection that has been without a request for longest, among
// some, if that is at least keepIdle. If there is none it ends the body that has
// stalled for longest; its connection closes soon after. It reports whether it found
// one.
func (s *server) makeRoom(keepIdle time.Duration) bool {
	var longest net.Conn
	var longestIdle, longestStalled time.Duration
	var stalled *watchedBody
	seen := 0
	s.conns.Range(func(key, value any) bool {
		c, cs := key.(net.Conn), value.(*connState)
		if cs.in(connServing) {
			if t := timedConnOf(c); t != nil {
				body := t.body.Load()
				if d := body.stalled(); d >= stalledTime && d > longestStalled {
					stalled, longestStalled = body, d
				}
			}
			return true
		}
		if idle := s.timeInPhase(cs); idle >= keepIdle {
			if longest == nil || idle > longestIdle {
				longest, longestIdle = c, idle
			}
			seen++
		}
		return seen < roomSample
	})
	if longest != nil {
		closeBelowTLS(longest)
		return true
	}
	return stalled != nil && stalled.evict()
}

// closeBelowTLS closes a connection without a last message of TLS, which could block.
func closeBelowTLS(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	c.Close()
}

// timeInPhase returns the time since a connection entered its phase. Without sweeps
// that is not known, and the time since it was opened is returned.
func (s *server) timeInPhase(cs *connState) time.Duration {
	if s.timeouts == nil {
		return time.Since(cs.openedAt)
	}
	return time.Duration(cs.sweeps.Load()) * sweepPeriod
}

// requestsPending reports whether a connection has a request, or was opened so
// recently that one is expected.
func (s *server) requestsPending() bool {
	pending := false
	s.conns.Range(func(_, v any) bool {
		c := v.(*connState)
		unused := c.in(connNew) && time.Since(c.openedAt) > firstRequestWait
		pending = !c.in(connIdle) && !unused
		return !pending
	})
	return pending
}
