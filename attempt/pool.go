package attempt

import (
	"cmp"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/membudget"
)

// Options configures a Pool.
type Options struct {
	Clock clock.Clock
	Dial  DialFunc
	// Dialect is the dialect of the endpoints.
	Dialect Dialect
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// MaxIdleTime is how long an idle connection is kept. It must be shorter
	// than the time after which any device on the path drops the connection's
	// state.
	MaxIdleTime time.Duration
	// MaxIdleTimeAtMostOnce bounds the idle time of a connection that is reused
	// for a request that must not run twice. If the endpoint closed the
	// connection while the request is sent, the outcome of the request would be
	// unknown.
	MaxIdleTimeAtMostOnce time.Duration
	// MaxIdleConns bounds the number of idle connections kept per endpoint.
	MaxIdleConns int
}

// DefaultOptions returns the Options for production, with network connections.
func DefaultOptions() Options {
	return Options{
		Clock:                 clock.Boot{},
		Dialect:               DefaultDialect(),
		Dial:                  WithUserTimeout(new(net.Dialer).DialContext, 5*time.Second),
		ConnectTimeout:        time.Second,
		MaxIdleTime:           8 * time.Second,
		MaxIdleTimeAtMostOnce: time.Second,
		MaxIdleConns:          64,
	}
}

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	opt   Options
	tr    *http.Transport
	hosts sync.Map // address to *host
	seed  maphash.Seed
	// leavingFunc is called with the name of an endpoint that is about to leave.
	leavingFunc func(endpoint string)
	// rateLimitFunc is called for each answer of an endpoint, and sendFunc for
	// each request that is handed off to one.
	rateLimitFunc func(RateLimitAnswer)
	sendFunc      func(endpoint string, kind Kind)
	budget        *membudget.Budget
}

// host contains the idle connections to one address.
type host struct {
	// echoesID is set once a response from this address carried its request's
	// ID.
	echoesID atomic.Bool

	mu              sync.Mutex
	idle            []*conn // least recently used first
	busy            int     // connections in use, which are returned or released later
	evictedFromPool bool    // removed from Pool.hosts, or about to be
}

// conn is one connection, used by one request at a time. It is used again only while every
// answer that may still arrive on it can be told from the one that is expected: its last
// answer bore its request's ID, and the next request has an ID that it has not carried.
type conn struct {
	cc      *http.ClientConn
	raw     *meteredConn
	host    *host
	carried carriedIDs
	// lastUsed is the time of the end of the last use.
	lastUsed time.Duration
}

// NewPool returns an empty Pool.
func NewPool(opt Options) *Pool {
	if opt.Dialect == (Dialect{}) {
		opt.Dialect = DefaultDialect()
	}
	p := &Pool{opt: opt, seed: maphash.MakeSeed()}
	p.tr = outbound.Transport(p.dialMetered)
	p.tr.MaxResponseHeaderBytes = maxHeadBytes
	return p
}

// OnLeaving sets the function that is called, with the endpoint's name, when a
// response indicates that its endpoint is about to leave. The call precedes the
// return of the response, and is repeated for each such response. OnLeaving must
// be called before the first attempt.
func (p *Pool) OnLeaving(f func(endpoint string)) { p.leavingFunc = f }

// ReportLeaving reports that an endpoint is about to leave. It is for responses
// that were not received through the Pool.
func (p *Pool) ReportLeaving(endpoint string) {
	if p.leavingFunc != nil {
		p.leavingFunc(endpoint)
	}
}

// RateLimitAnswer is what a response says about the rate limit of its endpoint.
type RateLimitAnswer struct {
	Endpoint string
	// Values are the values of Dialect.RateLimitHeader. There are none if the
	// endpoint names no limit.
	Values []string
	// HandedOff is the boot time at which the request was handed off.
	HandedOff time.Duration
}

// OnRateLimit sets the function that is called for each response of an endpoint,
// also for those that name no limit. The call precedes the return of the response.
// OnRateLimit must be called before the first attempt.
func (p *Pool) OnRateLimit(f func(RateLimitAnswer)) { p.rateLimitFunc = f }

// ReportRateLimit reports the header of a response that was not received through
// the Pool, whose request was handed off at handedOff.
func (p *Pool) ReportRateLimit(endpoint string, status int, h http.Header, handedOff time.Duration) {
	d := p.opt.Dialect
	misdirected := d.Strict && status == http.StatusMisdirectedRequest
	if p.rateLimitFunc == nil || d.RateLimitHeader == "" || misdirected {
		return
	}
	p.rateLimitFunc(RateLimitAnswer{Endpoint: endpoint, Values: h.Values(d.RateLimitHeader), HandedOff: handedOff})
}

// OnSend sets the function that is called when a request is handed off to an
// endpoint. OnSend must be called before the first attempt.
func (p *Pool) OnSend(f func(endpoint string, kind Kind)) { p.sendFunc = f }

// ReportSend reports a request that is not sent through the Pool.
func (p *Pool) ReportSend(endpoint string, kind Kind) {
	if p.sendFunc != nil {
		p.sendFunc(endpoint, kind)
	}
}

// Now returns the boot time by the Pool's clock.
func (p *Pool) Now() time.Duration { return p.opt.Clock.Now() }

// Dialect returns the dialect of the endpoints.
func (p *Pool) Dialect() Dialect { return p.opt.Dialect }

// get returns a connection that has not carried the call's ID: an idle one that was used
// within maxIdle if there is one and Call.NewConnection is not set, and a new one otherwise.
func (p *Pool) get(ctx context.Context, call *Call, maxIdle time.Duration) (*conn, error) {
	h := p.retain(call.Addr)
	if !call.NewConnection {
		if c := h.takeIdle(p.opt.Clock.Now()-maxIdle, p.hash(call.ID)); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.opt.ConnectTimeout)
	defer cancel()
	var raw *meteredConn
	cc, err := p.tr.NewClientConn(context.WithValue(ctx, meteredKey{}, &raw), "http", call.Addr)
	if err != nil {
		h.release()
		return nil, err
	}
	return &conn{cc: cc, raw: raw, host: h}, nil
}

// IdleConns returns the number of idle connections to an address that are
// usable for requests that may run twice.
func (p *Pool) IdleConns(addr string) int {
	v, ok := p.hosts.Load(addr)
	if !ok {
		return 0
	}
	h := v.(*host)
	oldest := p.opt.Clock.Now() - p.opt.MaxIdleTime
	h.mu.Lock()
	defer h.mu.Unlock()
	old, _ := slices.BinarySearchFunc(h.idle, oldest, func(c *conn, at time.Duration) int { return cmp.Compare(c.lastUsed, at) })
	return len(h.idle) - old
}

// retain returns the host of an address and counts a connection in use there,
// so that the host is not removed before the connection is returned.
func (p *Pool) retain(addr string) *host {
	for {
		h := p.host(addr)
		if h.retain() {
			return h
		}
		p.hosts.CompareAndDelete(addr, h)
	}
}

func (h *host) retain() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evictedFromPool {
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

// Probe opens a connection to an endpoint and closes it. It returns an error if
// the endpoint does not accept the connection.
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

// takeIdle removes and returns the most recently used idle connection that has not carried
// an ID. It returns nil if there is none that was used since oldest.
func (h *host) takeIdle(oldest time.Duration, id idHash) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := len(h.idle) - 1; n >= 0 && h.idle[n].lastUsed >= oldest; n-- {
		c := h.idle[n]
		if c.carried.contains(id) {
			continue
		}
		h.idle = slices.Delete(h.idle, n, n+1)
		if c.canCarryRequest() {
			return c
		}
		c.close()
	}
	return nil
}

// put returns a connection to the pool, after a complete response that bore its request's
// ID, or if it was not used.
func (p *Pool) put(c *conn) {
	c.lastUsed = p.opt.Clock.Now()
	h := c.host
	h.mu.Lock()
	h.busy--
	keep := c.canCarryRequest() && len(h.idle) < p.opt.MaxIdleConns
	if keep {
		h.idle = append(h.idle, c)
	}
	h.mu.Unlock()
	if !keep {
		c.close()
	}
}

// canCarryRequest reports whether the connection can carry a request now. After
// the last byte of a response the transport may be about to close the
// connection, which then has no error yet, but is not available either.
func (c *conn) canCarryRequest() bool {
	return c.cc.Available() > 0
}

// discard closes a connection that was in use.
func (c *conn) discard() {
	c.host.release()
	c.close()
}

func (c *conn) close() {
	_ = c.cc.Close()
	c.raw.release()
}

// Run closes connections that were idle for too long until ctx ends. It then
// closes all remaining idle connections.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(p.opt.MaxIdleTime / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.sweep(p.opt.Clock.Now() - p.opt.MaxIdleTime)
		case <-ctx.Done():
			p.sweep(p.opt.Clock.Now() + 1)
			return nil
		}
	}
}

// sweep closes idle connections that were last used before oldest, and removes
// addresses without connections.
func (p *Pool) sweep(oldest time.Duration) {
	p.hosts.Range(func(addr, v any) bool {
		h := v.(*host)
		h.closeIdleBefore(oldest)
		if h.evictIfUnused() {
			p.hosts.CompareAndDelete(addr, h)
		}
		return true
	})
}

// evictIfUnused marks the host as evicted if it has no connections, and reports
// whether it is evicted.
func (h *host) evictIfUnused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evictedFromPool = h.evictedFromPool || len(h.idle) == 0 && h.busy == 0
	return h.evictedFromPool
}

// closeIdleBefore closes the idle connections that were last used before oldest.
func (h *host) closeIdleBefore(oldest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for n < len(h.idle) && h.idle[n].lastUsed < oldest {
		h.idle[n].close()
		n++
	}
	h.idle = append(h.idle[:0], h.idle[n:]...)
}
