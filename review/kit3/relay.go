package main

import (
	"net"
	"sync"
)

// everybody is the source that stands for all connections of a relay.
const everybody = ""

// relay forwards TCP connections to a target. While a source is cut, the relay forwards
// nothing of its connections in either direction, and neither resets nor closes them:
// what is sent gets no answer. Bytes that were held up are lost: the connections on
// which they were are reset when the cut ends, since the program has given them up by
// then.
type relay struct {
	l      net.Listener
	target string
	// sourceOf names the machine that opened a connection.
	sourceOf func(net.Conn) string

	mu    sync.Mutex
	wake  *sync.Cond
	cuts  map[string]bool
	conns map[net.Conn]string // source by connection
}

func newRelay(target string, sourceOf func(net.Conn) string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{l: l, target: target, sourceOf: sourceOf, cuts: map[string]bool{}, conns: map[net.Conn]string{}}
	r.wake = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.l.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// cut stops the connections of a source.
func (r *relay) cut(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[source] = true
}

// heal ends the cut of a source.
func (r *relay) heal(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.conns {
		if source == everybody || s == source {
			reset(c)
		}
	}
	delete(r.cuts, source)
	r.wake.Broadcast()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection ends by a FIN
	}
	c.Close()
}

func (r *relay) close() {
	r.l.Close()
	r.heal(everybody)
}

func (r *relay) track(c net.Conn, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = source
}

func (r *relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// awaitHealed waits until a source is not cut.
func (r *relay) awaitHealed(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cuts[everybody] || r.cuts[source] {
		r.wake.Wait()
	}
}

func (r *relay) serve(c net.Conn) {
	source := r.sourceOf(c)
	r.track(c, source)
	defer r.forget(c)
	defer c.Close()
	r.awaitHealed(source)
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.track(up, source)
	defer r.forget(up)
	defer up.Close()
	done := make(chan struct{}, 2)
	go func() { r.copy(up, c, source); done <- struct{}{} }()
	go func() { r.copy(c, up, source); done <- struct{}{} }()
	<-done
}

// copy copies from src to dst, and holds back what arrives during a cut.
func (r *relay) copy(dst, src net.Conn, source string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.awaitHealed(source)
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
