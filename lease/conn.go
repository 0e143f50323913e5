package lease

import (
	"net"
	"sync/atomic"
)

// Conn is a net.Conn that runs a check before each write, immediately before
// the bytes are passed to the kernel.
type Conn struct {
	net.Conn
	check atomic.Pointer[func() error]
}

// NewConn returns a Conn without a check: it allows all writes.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// SetCheck sets the check that all later writes must pass, for example
// Guard.Check with the epoch of an operation. A nil check allows all writes.
func (c *Conn) SetCheck(check func() error) {
	if check == nil {
		c.check.Store(nil)
		return
	}
	c.check.Store(&check)
}

// Write writes p if the check returns nil. Otherwise it writes nothing, closes
// the connection and returns the check's error.
func (c *Conn) Write(p []byte) (int, error) {
	if check := c.check.Load(); check != nil {
		if err := (*check)(); err != nil {
			c.Close()
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
