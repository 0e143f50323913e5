package daemontest

import (
	"context"
	"errors"
	"net"
	"sync"
)

var errCut = errors.New("daemontest: the instance's connections are cut")

// conns tracks open connections, so that all of them can be closed at once.
type conns struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func (c *conns) add(conn net.Conn) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return nil, errCut
	}
	if c.open == nil {
		c.open = map[net.Conn]struct{}{}
	}
	c.open[conn] = struct{}{}
	return &trackedConn{Conn: conn, owner: c}, nil
}

func (c *conns) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// closeAll closes all open connections, and makes add fail from then on.
func (c *conns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		conn.Close()
	}
	c.open = nil
}

// trackedConn is a connection that removes itself from owner when it is closed.
type trackedConn struct {
	net.Conn
	owner *conns
}

func (t *trackedConn) Close() error {
	t.owner.remove(t.Conn)
	return t.Conn.Close()
}

// trackedListener is a listener that tracks the connections it accepts.
type trackedListener struct {
	net.Listener
	conns
}

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.add(conn)
}

func (l *trackedListener) closeAll() {
	l.Listener.Close()
	l.conns.closeAll()
}

// trackedDialer is a dialer that tracks the connections it opens.
type trackedDialer struct {
	net.Dialer
	conns
}

func (d *trackedDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return d.add(conn)
}
