package daemon

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxCloseTime bounds how long a listener takes to close.
const maxCloseTime = time.Second

// backlogListener accepts the connections in the kernel's accept queue before
// it closes. The kernel resets connections that are still in that queue when
// their listener closes, although their callers may already have sent a request.
//
// A connection that the kernel establishes between the last two system calls is
// still reset: a listener can't stop establishing connections without closing.
type backlogListener struct {
	*net.TCPListener
	closing atomic.Bool
}

// withBacklog returns a listener whose Close accepts the backlog first. If l is
// not a TCP listener of the kernel, it returns l.
func withBacklog(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return &backlogListener{TCPListener: tcp}
	}
	return l
}

// Accept waits for a connection. After Close it returns the connections in the
// backlog, and an error once the backlog is empty.
func (l *backlogListener) Accept() (net.Conn, error) {
	if l.closing.Load() {
		return l.acceptRemaining()
	}
	c, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptRemaining()
	}
	return c, err
}

// Close makes Accept return the connections in the backlog and then
// net.ErrClosed.
func (l *backlogListener) Close() error {
	if l.closing.Swap(true) {
		return l.TCPListener.Close()
	}
	time.AfterFunc(maxCloseTime, func() { l.TCPListener.Close() })
	return l.SetDeadline(time.Now())
}

// acceptRemaining returns a connection from the backlog. If there is none, it
// closes the listener immediately.
func (l *backlogListener) acceptRemaining() (net.Conn, error) {
	conn, err := l.acceptOrShutdown()
	if err != nil {
		l.TCPListener.Close()
		return nil, net.ErrClosed
	}
	f := os.NewFile(uintptr(conn), "")
	defer f.Close()
	return net.FileConn(f)
}

// acceptOrShutdown accepts a connection or, if there is none, shuts the listener
// down with the next system call, so that few connections arrive in between.
func (l *backlogListener) acceptOrShutdown() (conn int, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0, err
	}
	var errno error
	err = raw.Control(func(fd uintptr) {
		conn, _, errno = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errno != nil {
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
		}
	})
	return conn, errors.Join(err, errno)
}
