package daemon

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/api"
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
		if t, ok := c.(*timedConn); ok {
			cs = t.state
		}
		s.recordIdleTimeout(cs)
		s.conns.Store(c, cs)
	case http.StateActive:
		s.lastActivity.Store(time.Now().UnixNano())
		s.enter(c, connServing)
	case http.StateIdle:
		s.enter(c, connIdle)
	default:
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

// enforceTimeouts makes the server enforce timeouts, which may change while it
// serves, instead of those of its http.Server. The listener must not use TLS.
func (s *server) enforceTimeouts(timeouts func() connTimeouts) {
	s.timeouts = timeouts
	s.l = &timedListener{s.l}
	s.http.ReadHeaderTimeout, s.http.IdleTimeout = 0, 0
}

// timedListener accepts connections that record when the first bytes of a request
// arrive.
type timedListener struct{ net.Listener }

// Accept waits for a connection.
func (l *timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timedConn{Conn: c, state: newConnState()}, nil
}

type timedConn struct {
	net.Conn
	state *connState
}

// Read reads from the connection and records the start of a header, because
// http.Server reports only complete headers.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.in(connServing) && !c.state.in(connHeader) {
		c.state.enter(connHeader)
	}
	return n, err
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
	resp := &http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{api.CodeHeader: {strconv.Itoa(int(code.CallerTimeout))}},
	}
	_ = c.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_ = resp.Write(c) // the caller may have closed the connection
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
