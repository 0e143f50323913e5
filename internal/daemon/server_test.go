package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startStop connects n callers to a server and starts to stop it. If early is
// set, the callers send their requests before the server accepts connections,
// so that the connections are only in the kernel's accept queue.
func startStop(t *testing.T, early bool, n int) []net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	s := newServer("test", withBacklog(l), &http.Server{Handler: h})
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
	}
	served, stopped := make(chan error, 1), make(chan error, 1)
	stop := func() { stopped <- s.stop(context.Background()) }
	serve := func() { served <- s.serve() }
	if early {
		sendRequests(t, conns)
		go stop()
		await(s.stopping.Load)
		go serve()
	} else {
		go serve()
		await(func() bool { return countConns(s) == n })
		go stop()
		await(s.stopping.Load)
	}
	t.Cleanup(func() {
		if err := <-stopped; err != nil {
			t.Errorf("the server did not stop: %v", err)
		}
		if err := <-served; err != nil {
			t.Errorf("the server failed: %v", err)
		}
	})
	return conns
}

func await(cond func() bool) {
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}

func countConns(s *server) int {
	n := 0
	s.conns.Range(func(any, any) bool { n++; return true })
	return n
}

// sendRequests sends a request over each connection.
func sendRequests(t *testing.T, conns []net.Conn) {
	for _, c := range conns {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
}

// checkResponses checks that each connection receives a refusal that closes it.
func checkResponses(t *testing.T, conns []net.Conn) {
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("connection %d got no response: %v", i, err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("connection %d got status %d, close %v", i, resp.StatusCode, resp.Close)
		}
	}
}

// TestStopAnswersBacklog: requests over connections that the server has not
// accepted when it stops get a response.
func TestStopAnswersBacklog(t *testing.T) {
	conns := startStop(t, true, 20)
	checkResponses(t, conns)
}

// TestStopAnswersNewConnections: requests that arrive after the stop started,
// over connections accepted before, get a response.
func TestStopAnswersNewConnections(t *testing.T) {
	conns := startStop(t, false, 20)
	sendRequests(t, conns)
	checkResponses(t, conns)
}
