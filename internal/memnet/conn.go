package memnet

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// address is a net.Addr in memory.
type address string

// Network names the kind of address.
func (address) Network() string { return "tcp" }

// String returns the address.
func (a address) String() string { return string(a) }

type listener struct {
	host    *Host
	addr    string
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) shut() {
	l.once.Do(func() { close(l.closed) })
}

func (l *listener) Close() error {
	l.host.n.mu.Lock()
	defer l.host.n.mu.Unlock()
	if l.host.n.listeners[l.addr] == l {
		delete(l.host.n.listeners, l.addr)
	}
	l.shut()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

// conn is one end of a connection. Like a kernel's socket it takes writes that
// the other end has not read yet.
type conn struct {
	net.Conn // an end of a net.Pipe
	n        *Network
	host     string // whose end this is
	ends     pair
	silent   atomic.Bool
	queue    chan []byte // written, not delivered yet
	pumping  sync.Once
	gone     chan struct{} // closed by Close
	once     sync.Once
	broken   chan struct{} // closed by reset
	breaking sync.Once
}

func newConn(n *Network, end net.Conn, host string, ends pair) *conn {
	return &conn{
		Conn: end, n: n, host: host, ends: ends,
		queue: make(chan []byte, queuedWrites), gone: make(chan struct{}), broken: make(chan struct{}),
	}
}

// silence stops all delivery. What was written before is still delivered.
func (c *conn) silence() {
	c.silent.Store(true)
}

// reset breaks the connection for both ends.
func (c *conn) reset() {
	c.n.forget(c)
	c.breaking.Do(func() { close(c.broken) })
	c.Conn.Close()
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if ch := c.n.freeze(c.host); ch != nil {
		select {
		case <-ch:
		case <-c.gone:
		}
	}
	select {
	case <-c.gone:
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.gone:
		return 0, net.ErrClosed
	case <-c.broken:
		return 0, syscall.ECONNRESET
	default:
	}
	if c.n.freeze(c.host) != nil {
		return 0, syscall.ECONNRESET
	}
	if c.silent.Load() {
		return len(p), nil
	}
	c.pump()
	select {
	case c.queue <- bytes.Clone(p):
		return len(p), nil
	case <-c.gone:
		return 0, net.ErrClosed
	case <-c.broken:
		return 0, syscall.ECONNRESET
	}
}

// pump starts the delivery of what is written.
func (c *conn) pump() {
	c.pumping.Do(func() { go c.deliver() })
}

// deliver passes on what is written until the connection ends, and what is left
// of it after Close.
func (c *conn) deliver() {
	defer c.finish()
	for {
		select {
		case p := <-c.queue:
			if _, err := c.Conn.Write(p); err != nil {
				c.breaking.Do(func() { close(c.broken) }) // further writes fail
				return
			}
		case <-c.broken:
			return
		case <-c.gone:
			if len(c.queue) == 0 {
				return
			}
		}
	}
}

// finish tells the other end that no more comes, unless the connection is
// silent.
func (c *conn) finish() {
	if !c.silent.Load() {
		c.Conn.Close()
	}
}

// Close closes this end once all that was written is delivered. The other end
// of a silent connection learns nothing.
func (c *conn) Close() error {
	c.n.forget(c)
	c.once.Do(func() { close(c.gone) })
	c.pump()
	past := time.Unix(1, 0)
	if c.silent.Load() {
		return c.Conn.SetDeadline(past)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	return c.SetReadDeadline(past)
}

// SetDeadline bounds reads only: writes don't wait.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing, since writes don't wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
