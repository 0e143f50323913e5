package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/settings"
)

// Protocol names in TLS handshakes (ALPN).
const (
	http2  = "h2"
	http11 = "http/1.1"
)

func (d *Daemon) listen() ([]*server, error) {
	l, limits := d.deps.Settings.Listen, d.deps.Settings.Limits
	specs := []struct {
		name, addr    string
		maxConns      int // zero means no limit
		refusesOnStop bool
		tls           *tlsfile.Source
		protocols     []string // with TLS; empty means HTTP/1.1
		h             http.Handler
	}{
		{"callers", l.Callers, limits.Connections, true, d.deps.TLS.Callers, nil, withOKCode(d.callerHandler())},
		{"peers", l.Peers, 0, false, d.deps.TLS.Peers, []string{http2, http11}, d.peerHandler()},
		{"operators", l.Operators, 0, false, d.deps.TLS.Operators, nil, withOKCode(d.operatorHandler())},
	}
	var servers []*server
	for _, spec := range specs {
		ln, err := d.deps.Listen("tcp", spec.addr)
		if err != nil {
			closeAll(servers)
			return nil, fmt.Errorf("listen for %s: %w", spec.name, err)
		}
		ln = withBacklog(ln)
		if spec.maxConns > 0 {
			ln = &boundedListener{Listener: ln, max: int64(spec.maxConns)}
		}
		hs := httpServer(enforceLimits(spec.h, limits.HeaderBytes), limits, d.deps.Log)
		if len(spec.protocols) > 0 {
			hs.Protocols = allProtocols()
		}
		s := newServer(spec.name, spec.tls.Listener(ln, spec.protocols...), hs)
		s.refusesOnStop = spec.refusesOnStop
		servers = append(servers, s)
	}
	return servers, nil
}

// httpServer returns an HTTP server with limits on headers and idle connections.
func httpServer(h http.Handler, limits settings.Limits, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes * headerSlack,
		ConnContext:       connContext,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// allProtocols returns HTTP/1.1 and HTTP/2, both with and without TLS.
func allProtocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// connContext sets the user timeout of a connection, after which the kernel
// closes it if the other end does not acknowledge data. The context that it
// returns marks requests over a surplus connection.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if tlsConn, ok := c.(*tls.Conn); ok {
		c = tlsConn.NetConn()
	}
	if timed, ok := c.(*timedConn); ok {
		c = timed.Conn
	}
	ctx = markSurplus(ctx, c)
	if b, ok := c.(*boundedConn); ok {
		c = b.Conn
	}
	_ = attempt.SetUserTimeout(c, userTimeout) // the connection is usable without it
	return ctx
}

func closeAll(servers []*server) {
	for _, s := range servers {
		s.l.Close()
	}
}
