package daemon

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/internal/tlsfile"
)

// Network opens listeners and connections.
type Network struct {
	Listen func(network, addr string) (net.Listener, error)
	Dial   attempt.DialFunc
}

func (m *Managed) system() System {
	return System{
		Requests:  m.requests,
		Keyed:     m.keyed,
		Steps:     m.steps,
		Ready:     m.ready,
		Addresses: m.addresses,
		Keep:      time.Duration(m.d.Settings.Timing.EntriesKeep),
	}
}

func (m *Managed) listen() ([]*server, error) {
	l, limits := m.d.Settings.Listen, m.d.Settings.Limits
	sys := m.system()
	plan := []struct {
		name, addr string
		maxConns   int // zero means no bound
		refuses    bool
		timed      bool // by the configuration
		tls        *tlsfile.Source
		h          http.Handler
	}{
		{"callers", l.Callers, limits.Connections, true, true, m.d.TLS.Callers, bounded(m.d.Adapter.Callers(sys), limits.HeaderBytes)},
		{"peers", l.Peers, 0, false, false, m.d.TLS.Peers, bounded(m.peerHandler(), limits.HeaderBytes)},
		{"readiness", l.Readiness, 0, false, false, nil, m.d.Adapter.Readiness(sys)},
		{"entries", l.Entries, 0, false, false, nil, m.d.Adapter.Entries(sys)},
		{"operators", l.Operators, 0, false, false, m.d.TLS.Operators, m.monitoring()},
	}
	var servers []*server
	for _, p := range plan {
		ln, err := m.d.Network.Listen("tcp", p.addr)
		if err != nil {
			closeAll(servers)
			return nil, fmt.Errorf("listen for %s: %w", p.name, err)
		}
		ln = withBacklog(ln)
		if p.maxConns > 0 {
			ln = &boundedListener{Listener: ln, max: int64(p.maxConns)}
		}
		s := newServer(p.name, p.tls.Listener(ln), httpServer(p.h, limits, m.d.Log))
		s.refuses = p.refuses
		if p.timed {
			s.limitTimes(m.connTimes)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// peerHandler serves other instances.
func (m *Managed) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(m.steps.Peer())
	return mux
}

// peerClient calls other instances.
func (m *Managed) peerClient() *http.Client {
	dial := tlsfile.Dial(attempt.WithUserTimeout(m.d.Network.Dial, userTimeout))
	return &http.Client{Transport: &http.Transport{
		DialContext:         m.d.TLS.Peers.Dialer(dial),
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}}
}

// connTimes are the configuration's times for callers, or the program's own where
// it has none.
func (m *Managed) connTimes() connTimes {
	l := m.views.Load().Config.Limits
	return connTimes{
		header: cmp.Or(time.Duration(l.HeaderTime), readHeaderTimeout),
		idle:   cmp.Or(time.Duration(l.IdleTime), callerIdleTimeout),
	}
}

// monitoring serves metrics and profiles.
func (m *Managed) monitoring() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.d.Metrics)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}
