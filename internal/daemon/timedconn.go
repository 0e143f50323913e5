package daemon

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/headmeter"
	"github.com/cumincove/cumincove/membudget"
)

// readAhead bounds what is read of the next head together with the end of a request, in
// bytes, because it counts towards the memory of the connection only.
const readAhead = 1 << 10

// serverBuffer is the size of the buffer through which net/http reads heads and the ends of
// bodies, in bytes. It reads larger parts of a body without it.
const serverBuffer = 4 << 10

// sweepTimeouts makes the server enforce timeouts, which may change while it serves,
// instead of those of its http.Server. The listener must be a timedListener.
func (s *server) sweepTimeouts(timeouts func() connTimeouts) {
	s.timeouts = timeouts
	s.http.ReadHeaderTimeout, s.http.IdleTimeout = 0, 0
}

// timedListener accepts connections that record when the first bytes of a request
// arrive, bound the memory of heads, and bound the time of writes.
type timedListener struct {
	net.Listener
	budget      *membudget.Budget
	wideBuffers *wideBuffers
	plain       bool // without TLS
	http2       bool // may be used, whose heads are bounded by the library
}

// Accept waits for a connection.
func (l *timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timedConn{
		Conn: c, state: newConnState(), budget: l.budget, wideBuffers: l.wideBuffers, plain: l.plain, http2: l.http2,
	}, nil
}

type timedConn struct {
	net.Conn
	state  *connState
	budget *membudget.Budget
	plain  bool
	http2  bool
	// head is the memory of the current head. Only the goroutine that reads uses it.
	head headmeter.Meter
	// hold is the memory of the current head, nil if it is small.
	hold atomic.Pointer[membudget.Hold]
	// wide is set while the connection has one of wideBuffers.
	wide        atomic.Bool
	wideBuffers *wideBuffers
	// body is the body that is being read, nil if there is none.
	body atomic.Pointer[watchedBody]
	// writeOwned is set while a handler has set a deadline for writes.
	writeOwned atomic.Bool
}

// timedConnKey is the context key of a request's timedConn.
type timedConnKey struct{}

// timedConnOf returns the timedConn of a connection, below TLS, and nil if it has
// none.
func timedConnOf(c net.Conn) *timedConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	t, _ := c.(*timedConn)
	return t
}

// Read reads from the connection and records the start of a header, because
// http.Server reports only complete headers. It ends the connection if the header
// does not fit the memory for requests.
func (c *timedConn) Read(p []byte) (int, error) {
	if !c.http2 && len(p) <= serverBuffer {
		p = p[:min(len(p), readAhead)]
	}
	n, err := c.Conn.Read(p)
	if c.state.in(connServing) {
		return n, err
	}
	if n > 0 && !c.state.in(connHeader) {
		c.head = headmeter.Meter{}
		c.state.enter(connHeader)
	}
	if !c.growHead(c.meterHead(p[:n])) {
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

// meterHead returns the memory that bytes of the current head add.
func (c *timedConn) meterHead(p []byte) int64 {
	if c.plain {
		return c.head.Add(p)
	}
	return c.head.AddOpaque(len(p))
}

// growHead adds memory of the current head. It reports false if it does not fit or if
// the head was evicted.
func (c *timedConn) growHead(n int64) bool {
	h := c.hold.Load()
	if h == nil && n == 0 {
		return true
	}
	if h == nil {
		h = c.budget.Open("", func() { _ = c.SetReadDeadline(time.Unix(1, 0)) }) // the read fails at once
		c.hold.Store(h)
	}
	return h.Grow(n)
}

// refuse responds that there is no memory for the request. The server writes
// nothing before it has read a head, so the two responses can't mix.
func (c *timedConn) refuse() {
	defer c.Close()
	if c.plain {
		reject(c, code.MemoryFull)
	}
}

// reject responds with an error code without a body.
func reject(c net.Conn, n code.Number) {
	info := code.Lookup(n)
	resp := &http.Response{
		StatusCode: info.HTTPStatus, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{api.CodeHeader: {strconv.Itoa(int(n))}},
	}
	if info.RetryAfter > 0 {
		resp.Header.Set("Retry-After", strconv.Itoa(int(info.RetryAfter.Seconds())))
	}
	_ = c.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_ = resp.Write(c) // the caller may have closed the connection
}

// headComplete states that the current head was read. It stays in memory until the
// request ends.
func (c *timedConn) headComplete() {
	if c != nil {
		c.hold.Load().Complete()
	}
}

// releaseHead releases the memory of the current head, and a wide receive buffer.
func (c *timedConn) releaseHead() {
	if c == nil {
		return
	}
	c.hold.Swap(nil).Close()
	c.narrow()
}

// Close closes the connection.
func (c *timedConn) Close() error {
	c.hold.Load().Close()
	c.narrow()
	return c.Conn.Close()
}

// SetWriteDeadline sets a deadline that replaces writeTimeout until it is reset to
// the zero time.
func (c *timedConn) SetWriteDeadline(t time.Time) error {
	c.writeOwned.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// writePiece is the size of the parts of an answer that have a deadline each.
const writePiece = 64 << 10

// Write writes to the connection. Without a deadline of its handler it fails if the
// client does not accept a piece within writeTimeout.
func (c *timedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		if !c.writeOwned.Load() {
			_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // connections of tests have none
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
