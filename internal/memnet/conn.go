package memnet

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// address implements net.Addr.
type address string

// Network returns "tcp".
func (address) Network() string { return "tcp" }

// String returns the address.
func (a address) String() string { return string(a) }

type listener struct {
	host     *Host
	addr     string
	backlog  chan net.Conn
	closed   chan struct{}
	stopOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// stop makes Accept return net.ErrClosed.
func (l *listener) stop() {
	l.stopOnce.Do(func() { close(l.closed) })
}

func (l *listener) Close() error {
	l.host.n.mu.Lock()
	defer l.host.n.mu.Unlock()
	if l.host.n.listeners[l.addr] == l {
		delete(l.host.n.listeners, l.addr)
	}
	l.stop()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

// conn is one end of a connection. Like a kernel's socket, it buffers writes that the
// other end has not read yet.
type conn struct {
	net.Conn    // one end of a net.Pipe
	n           *Network
	host        string // host that has this end
	ends        pair
	silent      atomic.Bool
	queue       chan []byte // writes that are not delivered yet
	deliverOnce sync.Once
	closed      chan struct{} // closed by Close
	closeOnce   sync.Once
	broken      chan struct{} // closed by reset or by a failed delivery
	breakOnce   sync.Once
}

func newConn(n *Network, end net.Conn, host string, ends pair) *conn {
	return &conn{
		Conn: end, n: n, host: host, ends: ends,
		queue: make(chan []byte, queuedWrites), closed: make(chan struct{}), broken: make(chan struct{}),
	}
}

// silence stops the delivery of further writes. Earlier writes are still delivered.
func (c *conn) silence() {
	c.silent.Store(true)
}

// reset breaks the connection for both ends.
func (c *conn) reset() {
	c.n.removeConn(c)
	c.breakOnce.Do(func() { close(c.broken) })
	c.Conn.Close()
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if ch := c.n.frozenUntil(c.host); ch != nil {
		select {
		case <-ch:
		case <-c.closed:
		}
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.broken:
		return 0, syscall.ECONNRESET
	default:
	}
	if c.n.frozenUntil(c.host) != nil {
		return 0, syscall.ECONNRESET
	}
	if c.silent.Load() {
		return len(p), nil
	}
	c.startDelivery()
	select {
	case c.queue <- bytes.Clone(p):
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.broken:
		return 0, syscall.ECONNRESET
	}
}

// startDelivery starts deliver in the background, unless it was started before.
func (c *conn) startDelivery() {
	c.deliverOnce.Do(func() { go c.deliver() })
}

// deliver sends the queued writes to the other end until the connection breaks. After
// Close it sends the remaining writes and returns.
func (c *conn) deliver() {
	defer c.closePipe()
	for {
		select {
		case p := <-c.queue:
			if _, err := c.Conn.Write(p); err != nil {
				c.breakOnce.Do(func() { close(c.broken) }) // further writes fail
				return
			}
		case <-c.broken:
			return
		case <-c.closed:
			if len(c.queue) == 0 {
				return
			}
		}
	}
}

// closePipe closes the pipe, so that the other end reads io.EOF. On a silent
// connection it does nothing.
func (c *conn) closePipe() {
	if !c.silent.Load() {
		c.Conn.Close()
	}
}

// Close closes this end after all writes are delivered. If the connection is silent,
// the other end does not observe the close.
func (c *conn) Close() error {
	c.n.removeConn(c)
	c.closeOnce.Do(func() { close(c.closed) })
	c.startDelivery()
	past := time.Unix(1, 0)
	if c.silent.Load() {
		return c.Conn.SetDeadline(past)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	return c.SetReadDeadline(past)
}

// SetDeadline sets the read deadline only, because writes do not block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing, because writes do not block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
