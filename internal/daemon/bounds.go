package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/filter"
)

const (
	// headerSlack is the factor by which a header may exceed the limit and still
	// be refused with an error code. Larger headers are refused by net/http itself.
	headerSlack = 4
)

// callerKeepIdle is the time for which a caller's connection without a request is
// kept even if the limit is reached.
const callerKeepIdle = 3 * time.Second

// boundedListener limits the number of connections that are open at a time.
type boundedListener struct {
	net.Listener
	max int64
	// surplus is the number of connections over the limit that are accepted.
	surplus int64
	// makeRoom closes a connection that has had no request for a time, or ends a body
	// that has stalled, and reports whether there was one; keepIdle is that time. It
	// is called if the limit is reached.
	makeRoom func(keepIdle time.Duration) bool
	keepIdle time.Duration
	open     atomic.Int64
}

// Accept waits for a connection. If the limit is reached it closes one that is
// idle or stalled. It closes connections over the limit and the surplus.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		if n > l.max && l.makeRoom != nil && l.makeRoom(l.keepIdle) {
			n = l.open.Load()
		}
		if n <= l.max+l.surplus {
			return &boundedConn{Conn: c, l: l, surplus: n > l.max}, nil
		}
		l.open.Add(-1)
		c.Close()
	}
}

type boundedConn struct {
	net.Conn
	l       *boundedListener
	surplus bool
	once    sync.Once
}

// Close closes the connection. It no longer counts towards the limit.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

type surplusKey struct{}

// markSurplus returns a context that marks a connection over the limit.
func markSurplus(ctx context.Context, c net.Conn) context.Context {
	if b, ok := c.(*boundedConn); ok && b.surplus {
		return context.WithValue(ctx, surplusKey{}, true)
	}
	return ctx
}

// enforceLimits refuses, with an error code, requests over surplus connections and
// requests whose headers are too large.
func enforceLimits(h http.Handler, maxHeader int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Context().Value(surplusKey{}) != nil:
			w.Header().Set("Connection", "close")
			filter.WriteError(w, "", code.New(code.TooManyConns, ""))
		case filter.HeaderBytes(r) > maxHeader:
			w.Header().Set("Connection", "close")
			filter.WriteError(w, "", code.New(code.HeaderTooLarge, "limit %d bytes", maxHeader))
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// withOKCode sets the code header of every response to the code of success. The
// handler may set another code.
func withOKCode(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.CodeHeader, strconv.Itoa(int(code.OK)))
		h.ServeHTTP(w, r)
	})
}
