package httpapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/lease"
)

const (
	// idleConnTimeout closes idle connections before something between the two
	// ends forgets them.
	idleConnTimeout = 20 * time.Second
	// idleConns bounds the idle connections kept.
	idleConns = 32
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns a transport for New's client whose connections check
// the context's guard (see infra.WithGuard) at each write. With any other
// transport the guard is checked when the body is read, a moment earlier.
func NewTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return lease.NewConn(c), nil
		},
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: idleConns,
	}
}

// requireOf makes the writes of the request that got the connection subject to
// check. Each request that gets the connection replaces the check of the one
// before.
func requireOf(c net.Conn, check func() error) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if g, ok := c.(*lease.Conn); ok {
		g.Require(check)
	}
}
