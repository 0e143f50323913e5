package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// timedCaller connects a caller to a server that enforces times.
func timedCaller(t *testing.T, times func() connTimes) (*server, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer("test", l, &http.Server{Handler: http.NotFoundHandler()})
	s.limitTimes(times)
	go s.serve()
	t.Cleanup(func() { _ = s.stop(context.Background()) })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	await(func() bool { return countConns(s) == 1 })
	return s, c
}

// TestSlowHeader: a caller that doesn't finish its header gets an answer.
func TestSlowHeader(t *testing.T) {
	_, c := timedCaller(t, func() connTimes { return connTimes{header: 2 * sweepPeriod, idle: time.Hour} })
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}

// TestIdleConnection: a connection is closed after the time without a request,
// of which a shorter one counts from the next request on.
func TestIdleConnection(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Hour))
	s, c := timedCaller(t, func() connTimes { return connTimes{header: time.Hour, idle: time.Duration(idle.Load())} })
	in := bufio.NewReader(c)
	get := func() {
		t.Helper()
		ask(t, []net.Conn{c})
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	get()
	await(func() bool { return !s.waiting() })
	idle.Store(int64(2 * sweepPeriod))
	for range 20 {
		s.sweep()
	}
	get()
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection gave %v", err)
	}
}

// TestWaitingForHeader: a request that has begun to come over an idle connection
// is waited for.
func TestWaitingForHeader(t *testing.T) {
	s, c := timedCaller(t, func() connTimes { return connTimes{header: time.Hour, idle: time.Hour} })
	ask(t, []net.Conn{c})
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	await(func() bool { return !s.waiting() })
	if _, err := io.WriteString(c, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	await(s.waiting)
}
