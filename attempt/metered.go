package attempt

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/membudget"
)

const (
	// freeHeadMemory is the part of the memory of a head that does not count towards
	// the budget, in bytes, so that ordinary heads don't.
	freeHeadMemory = 16 << 10
	// fieldMemory is the memory of a header field beside its text, in bytes: an entry of
	// a map, a slice and two strings, with what the map leaves as it grows.
	fieldMemory = 320
	// budgetTeam is the team of what endpoints send. Together they leave room to callers.
	budgetTeam = "responses of endpoints"
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
	head    headMeter
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
		c.current, c.head = expected, headMeter{}
	}
	before := max(c.head.memory, freeHeadMemory)
	c.head.add(p[:n])
	if grown := c.head.memory - before; grown > 0 && !c.grow(grown) {
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

// headMeter estimates the memory of a head as it is read. Provisional responses before
// the final one count, too.
type headMeter struct {
	memory int64
	// line is the number of bytes of the current line without its end, and status the
	// position in a status line: before the first space, before the status, or after
	// its first digit.
	line   int
	status statusPosition
	// provisional is set if the current head has a status of 100 to 199.
	provisional bool
	// complete is set at the end of a head that is not provisional.
	complete bool
}

type statusPosition int

const (
	atProtocol statusPosition = iota
	atSpace
	afterClass
)

func (m *headMeter) add(p []byte) {
	for _, b := range p {
		if m.complete {
			return
		}
		m.memory++
		m.addToStatus(b)
		switch {
		case b == '\n':
			m.endLine()
		case b != '\r':
			m.line++
		}
	}
}

func (m *headMeter) addToStatus(b byte) {
	switch {
	case m.status == atProtocol && b == ' ':
		m.status = atSpace
	case m.status == atSpace && b != ' ':
		m.status = afterClass
		m.provisional = b == '1'
	}
}

func (m *headMeter) endLine() {
	m.memory += fieldMemory
	if m.line == 0 {
		m.complete = !m.provisional
		m.status = atProtocol
	}
	m.line = 0
}
