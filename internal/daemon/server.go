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
	// quietTime without a new request lets a server stop listening: callers that
	// were told to go elsewhere stay away for longer. maxRefusing bounds the
	// wait for it.
	quietTime   = 250 * time.Millisecond
	maxRefusing = 2 * time.Second
	// silentTime is how long a connection may be open without a request before
	// a shutdown no longer waits for one.
	silentTime = time.Second
	// stopPoll is the period between two looks at the connections that a
	// shutdown waits for.
	stopPoll = 5 * time.Millisecond
)

// server is one listener with its HTTP server.
type server struct {
	name string
	l    net.Listener
	http *http.Server
	// refuses says that requests are refused once the instance shuts down, so
	// that those who send them stay away.
	refuses bool

	stopping atomic.Bool
	served   chan struct{} // closed when no connection is accepted any more
	conns    sync.Map      // net.Conn to *connState
	// times, if set by limitTimes, says how long connections may take now.
	times func() connTimes
	// lastNews is when a connection or a request last began, in Unix
	// nanoseconds.
	lastNews atomic.Int64
}

func newServer(name string, l net.Listener, hs *http.Server) *server {
	s := &server{name: name, l: l, http: hs, served: make(chan struct{})}
	hs.ConnState = s.track
	return s
}

func (s *server) serve() error {
	defer close(s.served)
	if s.times != nil {
		go s.enforceTimes()
	}
	err := s.http.Serve(s.l)
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}

// stop waits until callers stay away, accepts no more connections, and answers
// all requests that come over those it has. http.Server.Shutdown alone would
// not: it drops a request whose header it reads after its call. The error is
// that of ctx if it ends first.
func (s *server) stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	if s.refuses {
		giveUp := time.Now().Add(maxRefusing)
		wait(ctx, func() bool { return s.quiet() || time.Now().After(giveUp) })
	}
	s.l.Close()
	<-s.served
	wait(ctx, func() bool { return !s.waiting() })
	return s.http.Shutdown(ctx)
}

// wait returns when done is true or ctx ends.
func wait(ctx context.Context, done func() bool) {
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for !done() && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// quiet reports whether no connection and no request came for quietTime.
func (s *server) quiet() bool {
	return time.Since(time.Unix(0, s.lastNews.Load())) >= quietTime
}
