package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/membudget"
	"github.com/cumincove/cumincove/settings"
)

// listenerSpec describes a listener and what it serves.
type listenerSpec struct {
	name, addr string
	// maxConns bounds the open connections. The requests of surplus further ones are
	// refused with an error code.
	maxConns, surplus int
	// callers is set if callers connect. Their requests are refused while the instance
	// shuts down.
	callers bool
	// timeouts returns the timeouts of connections that are not encrypted. The
	// defaults apply to others, and if it is nil.
	timeouts  func() connTimeouts
	tls       *tlsfile.Source
	protocols []string // with TLS; empty means HTTP/1.1
	// http2 is set if HTTP/2 is accepted, also without TLS.
	http2 bool
	// metered is set if the handler reads bodies itself. They then count towards the
	// memory for requests.
	metered bool
	h       http.Handler
}

// listeners opens the listeners of an instance, with the same bounds for all.
type listeners struct {
	open   func(network, addr string) (net.Listener, error)
	limits settings.Limits
	budget *membudget.Budget
	wide   *wideBuffers
	log    *slog.Logger
}

// openAll opens the listeners. It closes all of them if one fails.
func (l listeners) openAll(specs []listenerSpec) ([]*server, error) {
	var servers []*server
	for _, spec := range specs {
		s, err := l.server(spec)
		if err != nil {
			closeAll(servers)
			return nil, fmt.Errorf("listen for %s: %w", spec.name, err)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func (l listeners) server(spec listenerSpec) (*server, error) {
	ln, err := l.open("tcp", spec.addr)
	if err != nil {
		return nil, err
	}
	attempt.SetReceiveBuffer(ln, receiveBuffer)
	bounded := &boundedListener{Listener: withBacklog(ln), max: int64(spec.maxConns), surplus: int64(spec.surplus)}
	if spec.callers {
		bounded.keepIdle = callerKeepIdle
	}
	h := spec.h
	if spec.metered {
		h = meterBody(h, l.budget, max(l.limits.BodyBytes, minMeteredBytes))
	}
	hs := httpServer(boundDrain(enforceLimits(h, l.limits.HeaderBytes)), l.limits, l.log)
	if spec.http2 {
		hs.Protocols = allProtocols()
	}
	timed := &timedListener{
		Listener: bounded, budget: l.budget, wideBuffers: l.wide, plain: spec.tls == nil, http2: spec.http2,
	}
	s := newServer(spec.name, spec.tls.Listener(timed, spec.protocols...), hs)
	bounded.makeRoom = s.makeRoom
	s.refusesOnStop = spec.callers
	if spec.timeouts != nil && timed.plain {
		s.sweepTimeouts(spec.timeouts)
	}
	return s, nil
}
