package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/settings"
)

// Protocol names in TLS handshakes (ALPN).
const (
	http2  = "h2"
	http11 = "http/1.1"
)

// peersListener is the name of the listener for other instances.
const peersListener = "peers"

func (d *Daemon) listen() ([]*server, error) {
	l, tls := d.deps.Settings.Listen, d.deps.TLS
	open := listeners{
		open: d.deps.Listen, limits: d.deps.Settings.Limits,
		budget: d.budget, wide: newWideBuffers(d.clientLimits.memory), log: d.deps.Log,
	}
	return open.openAll([]listenerSpec{
		{
			name: "callers", addr: l.Callers, maxConns: d.clientLimits.callers, surplus: d.clientLimits.surplus, callers: true,
			tls: tls.Callers, h: withOKCode(d.callerHandler()),
		},
		{
			name: peersListener, addr: l.Peers, maxConns: d.clientLimits.peers, tls: tls.Peers,
			protocols: []string{http2, http11}, http2: true, metered: true, h: d.peerHandler(),
		},
		{name: "operators", addr: l.Operators, maxConns: d.clientLimits.others, tls: tls.Operators, h: withOKCode(d.operatorHandler())},
	})
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
		ctx = context.WithValue(ctx, timedConnKey{}, timed)
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
