package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/filter"
)

const (
	// surplusConns is the number of connections over the limit that are told
	// so; what comes beyond is closed at once.
	surplusConns = 64
	// headerSlack is by how much a header may be over the limit and still be
	// answered with a code, as a factor. Beyond it net/http answers by itself.
	headerSlack = 4
)

// boundedListener bounds the connections that are open at a time.
type boundedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept waits for a connection within the bound, or one of the surplus.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		if n <= l.max+surplusConns {
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

// Close gives the connection's place back.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

type surplusKey struct{}

// markSurplus remembers that a connection is over the limit.
func markSurplus(ctx context.Context, c net.Conn) context.Context {
	if b, ok := c.(*boundedConn); ok && b.surplus {
		return context.WithValue(ctx, surplusKey{}, true)
	}
	return ctx
}

// bounded answers requests over surplus connections and with too large headers
// with a code.
func bounded(h http.Handler, maxHeader int) http.Handler {
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

// withCode names the code of success in every answer that is not given
// another one.
func withCode(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.CodeHeader, strconv.Itoa(int(code.OK)))
		h.ServeHTTP(w, r)
	})
}
