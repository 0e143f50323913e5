package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quietPeriod is the time without a new connection or request after which a
	// stopping server closes its listener. Callers that were refused and directed
	// to other instances don't return within this time. maxQuietWait bounds the
	// wait for such a period.
	quietPeriod  = 250 * time.Millisecond
	maxQuietWait = 2 * time.Second
	// firstRequestWait is how long a connection may be open without a request
	// before a shutdown no longer waits for one.
	firstRequestWait = time.Second
	// stopPoll is the period between two checks of a condition that a shutdown
	// waits for.
	stopPoll = 5 * time.Millisecond
)

// server is one listener with its HTTP server.
type server struct {
	name string
	l    net.Listener
	http *http.Server
	// refusesOnStop means that requests are refused while the instance shuts
	// down, so that callers turn to other instances.
	refusesOnStop bool

	stopping   atomic.Bool
	acceptDone chan struct{} // closed when the server accepts no more connections
	conns      sync.Map      // net.Conn to *connState
	// timeouts is set by sweepTimeouts. It returns the current timeouts of
	// connections.
	timeouts func() connTimeouts
	// lastActivity is the time of the last new connection or request, in Unix
	// nanoseconds.
	lastActivity atomic.Int64
}

func newServer(name string, l net.Listener, hs *http.Server) *server {
	s := &server{name: name, l: l, http: hs, acceptDone: make(chan struct{})}
	hs.ConnState = s.track
	return s
}

func (s *server) serve() error {
	defer close(s.acceptDone)
	if s.timeouts != nil {
		go s.runSweeps()
	}
	err := s.http.Serve(s.l)
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}

// stop waits until callers send no new requests, accepts no more connections,
// and serves all requests that arrive over the open ones. http.Server.Shutdown
// alone does not suffice, because it drops a request whose header is read after
// the call of Shutdown. If ctx ends first, stop returns the error of ctx.
func (s *server) stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	if s.refusesOnStop {
		deadline := time.Now().Add(maxQuietWait)
		pollUntil(ctx, func() bool { return s.quietPeriodOver() || time.Now().After(deadline) })
	}
	s.l.Close()
	<-s.acceptDone
	pollUntil(ctx, func() bool { return !s.requestsPending() })
	return s.http.Shutdown(ctx)
}

// pollUntil calls done each stopPoll until it returns true or ctx ends.
func pollUntil(ctx context.Context, done func() bool) {
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for !done() && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// quietPeriodOver reports whether no new connection or request has arrived for
// quietPeriod.
func (s *server) quietPeriodOver() bool {
	return time.Since(time.Unix(0, s.lastActivity.Load())) >= quietPeriod
}
