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
	// sweepPeriod is the time between two looks at a server's connections.
	sweepPeriod = 250 * time.Millisecond
	// refusalTime bounds the writing of a refusal to a slow caller.
	refusalTime = 50 * time.Millisecond
)

// connTimes says how long a caller may take over a connection.
type connTimes struct {
	// header is for sending a request's header, idle for the time between two
	// requests.
	header, idle time.Duration
}

// connPhase is what a connection is doing.
type connPhase int32

const (
	connNew     connPhase = iota // nothing has come yet
	connHeader                   // a request has begun to come; timed servers only
	connServing                  // a request's header is read
	connIdle
)

// connState is a connection's phase.
type connState struct {
	began time.Time
	phase atomic.Int32
	// sweeps counts the looks that found the connection in this phase. Time in
	// which the process did not run is not held against the caller.
	sweeps atomic.Int64
	// idle is the time that the caller may count on since it began to be idle.
	idle atomic.Int64
}

func newConnState() *connState { return &connState{began: time.Now()} }

func (c *connState) enter(p connPhase) {
	c.sweeps.Store(0)
	c.phase.Store(int32(p))
}

func (c *connState) in(p connPhase) bool { return connPhase(c.phase.Load()) == p }

// track notes what a connection is doing.
func (s *server) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.lastNews.Store(time.Now().UnixNano())
		cs := newConnState()
		if t, ok := c.(*timedConn); ok {
			cs = t.state
		}
		s.allowIdle(cs)
		s.conns.Store(c, cs)
	case http.StateActive:
		s.lastNews.Store(time.Now().UnixNano())
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
		s.allowIdle(cs)
	}
	cs.enter(p)
}

// allowIdle notes how long the connection may be idle from now on. A later
// change may give more, but not less: the caller may not know of it.
func (s *server) allowIdle(cs *connState) {
	if s.times != nil {
		cs.idle.Store(int64(s.times().idle))
	}
}

// limitTimes has the server enforce times, which may change while it serves, in
// place of its HTTP server's own. The listener must be one without TLS.
func (s *server) limitTimes(times func() connTimes) {
	s.times = times
	s.l = &timedListener{s.l}
	s.http.ReadHeaderTimeout, s.http.IdleTimeout = 0, 0
}

// timedListener accepts connections that note when a request begins to come.
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

// Read reads what the caller sends. The HTTP server tells only of a header that
// is whole.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.in(connServing) && !c.state.in(connHeader) {
		c.state.enter(connHeader)
	}
	return n, err
}

// enforceTimes closes connections that take too long, until the server accepts
// no more.
func (s *server) enforceTimes() {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.sweep()
		case <-s.served:
			return
		}
	}
}

func (s *server) sweep() {
	times := s.times()
	s.conns.Range(func(key, value any) bool {
		c, cs := key.(net.Conn), value.(*connState)
		taken := time.Duration(cs.sweeps.Add(1)-1) * sweepPeriod
		switch {
		case cs.in(connHeader) && taken >= times.header:
			refuseSlow(c)
		case (cs.in(connNew) || cs.in(connIdle)) && taken >= max(times.idle, time.Duration(cs.idle.Load())):
			c.Close()
		}
		return true
	})
}

// refuseSlow tells a caller that its header took too long, and closes the
// connection. Nothing else is written to it before a header is read.
func refuseSlow(c net.Conn) {
	defer c.Close()
	resp := &http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{api.CodeHeader: {strconv.Itoa(int(code.CallerTimeout))}},
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_ = resp.Write(c) // the caller may be gone
}

// waiting reports whether a connection has a request, or is so new that one is
// expected.
func (s *server) waiting() bool {
	found := false
	s.conns.Range(func(_, v any) bool {
		c := v.(*connState)
		silent := c.in(connNew) && time.Since(c.began) > silentTime
		found = !c.in(connIdle) && !silent
		return !found
	})
	return found
}
