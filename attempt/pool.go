package attempt

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
)

// Options configures a Pool.
type Options struct {
	Clock clock.Clock
	Dial  DialFunc
	// Dialect is how the endpoints are spoken to.
	Dialect Dialect
	// Connect bounds the time to open a connection.
	Connect time.Duration
	// Idle is how long an unused connection is kept. It must be shorter than
	// the time for which anything between the two ends remembers one.
	Idle time.Duration
	// IdleOnce is the same for requests that must not run twice. A connection
	// that the endpoint is about to close would leave their outcome open.
	IdleOnce time.Duration
	// MaxIdle bounds the unused connections kept for one endpoint.
	MaxIdle int
}

// DefaultOptions returns the Options for production with real sockets.
func DefaultOptions() Options {
	return Options{
		Clock:    clock.Boot{},
		Dialect:  DefaultDialect(),
		Dial:     WithUserTimeout(new(net.Dialer).DialContext, 5*time.Second),
		Connect:  time.Second,
		Idle:     8 * time.Second,
		IdleOnce: time.Second,
		MaxIdle:  64,
	}
}

// Pool holds connections to endpoints. It is safe for concurrent use.
type Pool struct {
	opt   Options
	tr    *http.Transport
	hosts sync.Map // address to *host
	// leaving is told of endpoints that say that they leave.
	leaving func(endpoint string)
}

// host holds the unused connections to one address, oldest first.
type host struct {
	// echoes says that an answer from here carried its request's ID.
	echoes atomic.Bool

	mu   sync.Mutex
	idle []*conn
	busy int  // connections in use, which come back here
	gone bool // forgotten by the Pool
}

// conn is one connection, used by one request at a time.
type conn struct {
	cc   *http.ClientConn
	host *host
	// since is when it was last used.
	since time.Duration
}

// NewPool returns an empty Pool.
func NewPool(opt Options) *Pool {
	if opt.Dialect == (Dialect{}) {
		opt.Dialect = DefaultDialect()
	}
	return &Pool{
		opt: opt,
		tr: &http.Transport{
			DialContext:            opt.Dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: 64 << 10,
		},
	}
}

// OnLeaving sets what is told, by name, of each endpoint whose answer says that
// it is about to leave, and before the answer is passed on. It may be told again
// and again. It is set before the first attempt.
func (p *Pool) OnLeaving(f func(endpoint string)) { p.leaving = f }

// TellLeaving tells of an endpoint that is about to leave. It is for answers that
// did not come through the Pool.
func (p *Pool) TellLeaving(endpoint string) {
	if p.leaving != nil {
		p.leaving(endpoint)
	}
}

// Dialect returns how the endpoints are spoken to.
func (p *Pool) Dialect() Dialect { return p.opt.Dialect }

// get returns a connection, an unused one if one was used within maxIdle.
func (p *Pool) get(ctx context.Context, addr string, fresh bool, maxIdle time.Duration) (*conn, error) {
	h := p.use(addr)
	if !fresh {
		if c := h.take(p.opt.Clock.Now() - maxIdle); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.opt.Connect)
	defer cancel()
	cc, err := p.tr.NewClientConn(ctx, "http", addr)
	if err != nil {
		h.release()
		return nil, err
	}
	return &conn{cc: cc, host: h}, nil
}

// Warm counts the unused connections to an address that requests which may run
// twice can use.
func (p *Pool) Warm(addr string) int {
	v, ok := p.hosts.Load(addr)
	if !ok {
		return 0
	}
	h := v.(*host)
	oldest := p.opt.Clock.Now() - p.opt.Idle
	h.mu.Lock()
	defer h.mu.Unlock()
	old, _ := slices.BinarySearchFunc(h.idle, oldest, func(c *conn, at time.Duration) int { return cmp.Compare(c.since, at) })
	return len(h.idle) - old
}

// use returns the host at an address and counts a connection in use there, so
// that the host is not forgotten before it comes back.
func (p *Pool) use(addr string) *host {
	for {
		h := p.host(addr)
		if h.use() {
			return h
		}
		p.hosts.CompareAndDelete(addr, h)
	}
}

func (h *host) use() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return false
	}
	h.busy++
	return true
}

func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy--
}

// Probe reports whether an endpoint takes a new connection.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	c, err := p.opt.Dial(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pool) host(addr string) *host {
	if h, ok := p.hosts.Load(addr); ok {
		return h.(*host)
	}
	h, _ := p.hosts.LoadOrStore(addr, new(host))
	return h.(*host)
}

// take returns the connection used last, if that was not before oldest.
func (h *host) take(oldest time.Duration) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		if c.since < oldest {
			return nil
		}
		h.idle[last] = nil
		h.idle = h.idle[:last]
		if c.free() {
			return c
		}
		c.close()
	}
	return nil
}

// put keeps a connection whose last answer came whole.
func (p *Pool) put(c *conn) {
	c.since = p.opt.Clock.Now()
	h := c.host
	h.mu.Lock()
	h.busy--
	keep := c.free() && len(h.idle) < p.opt.MaxIdle
	if keep {
		h.idle = append(h.idle, c)
	}
	h.mu.Unlock()
	if !keep {
		c.close()
	}
}

// free reports whether the connection can carry a request at once. After an
// answer's last byte the transport may be about to end the connection, which
// then has no error yet, but no free place either.
func (c *conn) free() bool {
	return c.cc.Available() > 0
}

// discard closes a connection that was in use.
func (c *conn) discard() {
	c.host.release()
	c.close()
}

func (c *conn) close() {
	_ = c.cc.Close()
}

// Run closes connections that were idle too long, until ctx ends, and then all
// that are left.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(p.opt.Idle / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.sweep(p.opt.Clock.Now() - p.opt.Idle)
		case <-ctx.Done():
			p.sweep(p.opt.Clock.Now() + 1)
			return nil
		}
	}
}

// sweep closes connections not used since oldest, and forgets addresses that
// have none.
func (p *Pool) sweep(oldest time.Duration) {
	p.hosts.Range(func(addr, v any) bool {
		h := v.(*host)
		h.drop(oldest)
		if h.forget() {
			p.hosts.CompareAndDelete(addr, h)
		}
		return true
	})
}

// forget reports whether the host has no connection and is no longer used.
func (h *host) forget() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = h.gone || len(h.idle) == 0 && h.busy == 0
	return h.gone
}

func (h *host) drop(oldest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for n < len(h.idle) && h.idle[n].since < oldest {
		h.idle[n].close()
		n++
	}
	h.idle = append(h.idle[:0], h.idle[n:]...)
}
