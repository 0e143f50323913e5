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

// WithUserTimeout sets the bound of SetUserTimeout on the connections of dial.
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

// WithConnectTimeout bounds the time that dialling takes. Transports go on
// dialling after their request has ended, so each dial needs a bound of its own.
func WithConnectTimeout(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// SetUserTimeout lets the kernel give a connection up when sent data stays
// unacknowledged for timeout (TCP_USER_TIMEOUT, tcp(7)). Connections other
// than the kernel's are left as they are.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, timeout)
}

func control(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
