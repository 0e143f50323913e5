package attempt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection to an endpoint.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WithUserTimeout returns a DialFunc that calls dial, and SetUserTimeout on each
// connection.
func WithUserTimeout(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if err := SetUserTimeout(c, timeout); err != nil {
			c.Close()
			return nil, err
		}
		return c, nil
	}
}

// WithConnectTimeout returns a DialFunc that calls dial with a timeout. An
// http.Transport continues to dial after the request has ended, so each dial
// needs its own timeout.
func WithConnectTimeout(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT (tcp(7)): the kernel closes the connection
// when sent data stays unacknowledged for the timeout. It does nothing for
// connections that are not of type *net.TCPConn.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setSocketUserTimeout(raw, timeout)
}

func setSocketUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// SetReceiveBuffer bounds what the kernel keeps of what a connection, or each that a
// listener accepts, has received and nobody has read, in bytes. It does nothing for other
// types than those of package net.
func SetReceiveBuffer(c any, bytes int) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return // it is closed
	}
	_ = raw.Control(func(fd uintptr) {
		// The kernel doubles the value. If it refuses it, its own bound stays.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2)
	})
}
