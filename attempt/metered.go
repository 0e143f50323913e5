package attempt

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/internal/headmeter"
	"github.com/cumincove/cumincove/membudget"
)

const (
	// budgetTeam is the team of what endpoints send. Together they leave room to callers.
	budgetTeam = "responses of endpoints"
	// receiveBuffer bounds what the kernel has received on a connection to an endpoint and
	// nobody has read, in bytes, because the caller does not take it.
	receiveBuffer = 64 << 10
)

// errMemoryFull is returned if there is no memory for what an endpoint sends.
var errMemoryFull = errors.New("attempt: no memory for the response")

// SetBudget sets the memory for what endpoints send and this program holds. It must be
// called before the first attempt.
func (p *Pool) SetBudget(b *membudget.Budget) { p.budget = b }

// OpenHold returns a hold for memory of a response. The function onEvict is called if
// it is evicted, see membudget.Budget.Open.
func (p *Pool) OpenHold(onEvict func()) *membudget.Hold { return p.budget.Open(budgetTeam, onEvict) }

// meteredConn counts the heads of responses towards the budget.
type meteredConn struct {
	net.Conn
	pool *Pool
	// hold is the memory of the current head, nil if it is small.
	hold atomic.Pointer[membudget.Hold]
	// expected is the number of the head that is read or expected next, counted from
	// one, and zero while none is.
	expected atomic.Uint64
	// heads counts the heads. Only the goroutine that sends uses it.
	heads uint64
	// head is the head with number current. Only the goroutine that reads uses both.
	head    headmeter.Meter
	current uint64
}

// meteredKey is the context key of the place for a new connection.
type meteredKey struct{}

// dialMetered opens a connection and stores it at the place in ctx.
func (p *Pool) dialMetered(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := p.opt.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	SetReceiveBuffer(c, receiveBuffer)
	m := &meteredConn{Conn: c, pool: p}
	if place, ok := ctx.Value(meteredKey{}).(**meteredConn); ok {
		*place = m
	}
	return m, nil
}

// beginHead states that a request is sent.
func (c *meteredConn) beginHead() {
	c.heads++
	c.expected.Store(c.heads)
}

// endHead states that the head of a response was read, and returns its memory. It
// returns errMemoryFull if that was evicted.
func (c *meteredConn) endHead() (*membudget.Hold, error) {
	c.expected.Store(0)
	h := c.hold.Swap(nil)
	if !h.Complete() {
		return h, errMemoryFull
	}
	return h, nil
}

// release returns the memory of a head.
func (c *meteredConn) release() { c.hold.Swap(nil).Close() }

// Read reads from the connection. It returns errMemoryFull if a head does not fit.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	expected := c.expected.Load()
	if expected == 0 {
		return n, err
	}
	if expected != c.current {
		c.current, c.head = expected, headmeter.Meter{Responses: true}
	}
	if grown := c.head.Add(p[:n]); grown > 0 && !c.grow(grown) {
		return 0, errMemoryFull
	}
	return n, err
}

// interrupt makes reads fail at once.
func (c *meteredConn) interrupt() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

func (c *meteredConn) grow(n int64) bool {
	h := c.hold.Load()
	if h == nil {
		h = c.pool.OpenHold(c.interrupt)
		c.hold.Store(h)
	}
	return h.Grow(n)
}
