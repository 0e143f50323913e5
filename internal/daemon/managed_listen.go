package daemon

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/tlsfile"
)

// Network opens listeners and connections.
type Network struct {
	Listen func(network, addr string) (net.Listener, error)
	Dial   attempt.DialFunc
}

func (m *Managed) system() System {
	return System{
		Requests:      m.requests,
		StepRequests:  m.stepRequests,
		Steps:         m.steps,
		Ready:         m.ready,
		Addresses:     m.addresses,
		KeepAddresses: time.Duration(m.deps.Settings.Timing.EntriesKeep),
		Memory:        m.budget,
	}
}

func (m *Managed) listen() ([]*server, error) {
	l, tls, c, sys := m.deps.Settings.Listen, m.deps.TLS, m.clientLimits, m.system()
	open := listeners{
		open: m.deps.Network.Listen, limits: m.deps.Settings.Limits,
		budget: m.budget, wide: newWideBuffers(c.memory), log: m.deps.Log,
	}
	return open.openAll([]listenerSpec{
		{
			name: "callers", addr: l.Callers, maxConns: c.callers, surplus: c.surplus, callers: true,
			timeouts: m.connTimeouts, tls: tls.Callers, h: m.deps.Adapter.Callers(sys),
		},
		{name: peersListener, addr: l.Peers, maxConns: c.peers, tls: tls.Peers, metered: true, h: m.peerHandler()},
		{name: "readiness", addr: l.Readiness, maxConns: c.others, h: m.deps.Adapter.Readiness(sys)},
		{name: "entries", addr: l.Entries, maxConns: c.entries, h: m.deps.Adapter.Entries(sys)},
		{name: "operators", addr: l.Operators, maxConns: c.others, tls: tls.Operators, h: m.monitoring()},
	})
}

// peerHandler returns the handler of requests of other instances.
func (m *Managed) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(m.steps.PeerHandler())
	mux.Handle(m.rateLimits.PeerHandler())
	return mux
}

// peerClient returns the client for calls to other instances.
func (m *Managed) peerClient() *http.Client {
	dial := tlsfile.DialFunc(attempt.WithUserTimeout(m.deps.Network.Dial, userTimeout))
	t := outbound.Transport(m.deps.TLS.Peers.Dialer(dial))
	t.IdleConnTimeout = idleConnTimeout
	t.MaxIdleConnsPerHost = 1
	return outbound.PeerClient(t)
}

// connTimeouts returns the configuration's timeouts for callers' connections. The
// defaults replace those that it does not set.
func (m *Managed) connTimeouts() connTimeouts {
	l := m.views.Load().Config.Limits
	return connTimeouts{
		header: cmp.Or(time.Duration(l.HeaderTimeout), readHeaderTimeout),
		idle:   cmp.Or(time.Duration(l.IdleTimeout), callerIdleTimeout),
	}
}

// monitoring returns the handler for metrics and profiles.
func (m *Managed) monitoring() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.deps.Metrics)
	mux.Handle("/debug/pprof/", profiles())
	return mux
}
