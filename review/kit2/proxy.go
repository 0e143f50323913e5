package kit2

import (
	"io"
	"net"
	"sync"
)

// Proxy is a TCP proxy on a loopback address. While it is cut, it resets the open
// connections and the new ones.
type Proxy struct {
	Addr string

	to    string
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy to an address.
func NewProxy(ip, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: l.Addr().String(), to: to, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// SetCut cuts the path or heals it.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) forward(a net.Conn) {
	if !p.add(a) {
		reset(a)
		return
	}
	defer p.remove(a)
	b, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(a)
		return
	}
	if !p.add(b) {
		reset(a)
		reset(b)
		return
	}
	defer p.remove(b)
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(b, a)
		_ = b.(*net.TCPConn).CloseWrite()
		close(done)
	}()
	_, _ = io.Copy(a, b)
	_ = a.(*net.TCPConn).CloseWrite()
	<-done
	a.Close()
	b.Close()
}
