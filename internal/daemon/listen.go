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

// Names of protocols in TLS handshakes.
const (
	http2  = "h2"
	http11 = "http/1.1"
)

func (d *Daemon) listen() ([]*server, error) {
	l, limits := d.d.Settings.Listen, d.d.Settings.Limits
	plan := []struct {
		name, addr string
		maxConns   int // zero means no bound
		refuses    bool
		tls        *tlsfile.Source
		protocols  []string // with TLS; empty means HTTP/1.1
		h          http.Handler
	}{
		{"callers", l.Callers, limits.Connections, true, d.d.TLS.Callers, nil, withCode(d.callerHandler())},
		{"peers", l.Peers, 0, false, d.d.TLS.Peers, []string{http2, http11}, d.peerHandler()},
		{"operators", l.Operators, 0, false, d.d.TLS.Operators, nil, withCode(d.operatorHandler())},
	}
	var servers []*server
	for _, p := range plan {
		ln, err := d.d.Listen("tcp", p.addr)
		if err != nil {
			closeAll(servers)
			return nil, fmt.Errorf("listen for %s: %w", p.name, err)
		}
		ln = withBacklog(ln)
		if p.maxConns > 0 {
			ln = &boundedListener{Listener: ln, max: int64(p.maxConns)}
		}
		hs := httpServer(bounded(p.h, limits.HeaderBytes), limits, d.d.Log)
		if len(p.protocols) > 0 {
			hs.Protocols = allProtocols()
		}
		s := newServer(p.name, p.tls.Listener(ln, p.protocols...), hs)
		s.refuses = p.refuses
		servers = append(servers, s)
	}
	return servers, nil
}

// httpServer returns a server that bounds what it takes.
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

// allProtocols is HTTP/1.1 and HTTP/2, with and without TLS.
func allProtocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// connContext prepares a connection: the kernel is to give it up if its other
// end is gone, and its requests are to know that it is over the limit.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if t, ok := c.(*timedConn); ok {
		c = t.Conn
	}
	ctx = markSurplus(ctx, c)
	if b, ok := c.(*boundedConn); ok {
		c = b.Conn
	}
	_ = attempt.SetUserTimeout(c, userTimeout) // the connection works without
	return ctx
}

func closeAll(servers []*server) {
	for _, s := range servers {
		s.l.Close()
	}
}
