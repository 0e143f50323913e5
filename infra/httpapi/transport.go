package httpapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/lease"
)

const (
	// idleConnTimeout is the time after which an idle connection is closed. It
	// must be shorter than the time after which an intermediary discards its
	// state for an idle connection.
	idleConnTimeout = 20 * time.Second
	// idleConns bounds the number of idle connections.
	idleConns = 32
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns a transport for the HTTP client passed to New. Its
// connections call the context's guard (see infra.WithGuard) before each write.
// With any other transport, the guard is called only when the body is read,
// slightly earlier.
func NewTransport(dial DialFunc) *http.Transport {
	t := outbound.Transport(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return lease.NewConn(c), nil
	})
	t.IdleConnTimeout = idleConnTimeout
	t.MaxIdleConnsPerHost = idleConns
	return t
}

// setConnCheck makes c call check before each write of the request that now uses
// the connection. It replaces the check of the previous request.
func setConnCheck(c net.Conn, check func() error) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if g, ok := c.(*lease.Conn); ok {
		g.SetCheck(check)
	}
}
