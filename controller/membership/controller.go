package membership

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

const (
	// tickPeriod is the time between two looks at what is due.
	tickPeriod = 50 * time.Millisecond
	// exchangeTimeout bounds one try of an exchange.
	exchangeTimeout = 500 * time.Millisecond
	// idleTimeout closes idle connections to peers.
	idleTimeout = 15 * time.Second
	// listReaders is about how many instances read the platform's list within a
	// poll period; the others hear of new instances from them.
	listReaders = 9
	// leaveFanout is the number of peers that are told of a shutdown.
	leaveFanout = 16
)

// Rider is a controller whose news travels with the exchanges. Its methods may
// be called at the same time.
type Rider interface {
	// Fill adds what this instance knows to a message for a peer: the answer to
	// request or, if that is nil, a request. Riders fill in order.
	Fill(e *gossipv1.Envelope, peer string, request *gossipv1.Envelope)
	// Pushed takes a message that a peer sent by itself; it may be old.
	Pushed(ctx context.Context, e *gossipv1.Envelope)
	// Answered takes the answer to an exchange that was begun at started, in
	// boot time. It reports whether everything was taken over; if not, the
	// riders after it are left out.
	Answered(ctx context.Context, started time.Duration, e *gossipv1.Envelope) bool
}

// Options says what a Controller works with.
type Options struct {
	Self        infra.Instance
	Incarnation uint64
	Instances   infra.Instances
	Views       *view.Store
	Clock       clock.Clock
	Log         *slog.Logger
	Scope       tally.Scope
	// Poll is the period between two reads of the platform's list.
	Poll time.Duration
	// Period is the time between two exchanges.
	Period time.Duration
	// Dial opens connections that speak HTTP/2, DialHTTP1 such that speak
	// HTTP/1.1.
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	DialHTTP1 func(ctx context.Context, network, addr string) (net.Conn, error)
	// Load returns the requests in flight here, and whether this instance is
	// leaving.
	Load func() (inFlight int, leaving bool)
	// Demand returns the work that callers and trainers want of this instance,
	// and whether others are to know it. The map becomes the Controller's.
	Demand func() (map[capacity.ServiceID]capacity.Load, bool)
}

// Controller runs the exchanges.
type Controller struct {
	o      Options
	riders []Rider
	links  *links
	wake   chan struct{}

	publishing sync.Mutex // comes before mu
	mu         sync.Mutex // guards what follows
	node       *gossip.Node
	busy       map[string]bool // peers with an exchange under way
	again      map[string]bool // peers to exchange with once more after that
	listed     map[string]infra.Instance
	read       bool // the list was read
	// published is the number of the node's changes in the View, and one more.
	published uint64
	// prefers is the State whose member list the node prefers.
	prefers *config.State

	told    uint64        // requests in flight, as told to others
	loadDue time.Duration // when they may be told anew

	demand    *capacity.Word // as told to others
	demandSeq uint32

	rolloutDue time.Duration // when to look for rollout work again
	counter    capacity.Sharers
	sharers    int // as counted last
	sharersDue time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	self := gossip.Record{Name: o.Self.Name, Incarnation: o.Incarnation, Addr: o.Self.PeerAddr}
	return &Controller{
		o:      o,
		links:  newLinks(o.Dial, o.DialHTTP1),
		wake:   make(chan struct{}, 1),
		node:   gossip.NewNode(self, gossip.Options{Period: o.Period}, rand.New(rand.NewPCG(o.Incarnation, rand.Uint64()))),
		busy:   make(map[string]bool),
		again:  make(map[string]bool),
		listed: make(map[string]infra.Instance),
	}
}

// SetRiders connects the controllers whose news travels along. It must be
// called before Run and before the handler serves.
func (c *Controller) SetRiders(r ...Rider) { c.riders = r }

// Run exchanges with other instances until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.followList(ctx)
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		c.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-c.wake:
		}
	}
}

// Spread begins a rumour, and tells some peers at once.
func (c *Controller) Spread(r gossip.Rumour) {
	c.mu.Lock()
	c.node.Spread(c.o.Clock.Now(), r)
	c.mu.Unlock()
	c.Urge()
}

// Urge makes exchanges with as many peers as the fanout allows begin at once.
func (c *Controller) Urge() {
	c.mu.Lock()
	c.node.Urge()
	c.mu.Unlock()
	c.wakeUp()
}

// UrgeMembers makes exchanges with the members of the configuration's list
// begin at once, for what a majority of them is to confirm.
func (c *Controller) UrgeMembers() {
	c.mu.Lock()
	c.node.UrgeTo(c.o.Views.Load().Config.MemberNames())
	c.mu.Unlock()
	c.wakeUp()
}

func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) tick(ctx context.Context) {
	c.mu.Lock()
	c.setState()
	c.prefer()
	peers := c.node.Tick(c.o.Clock.Now())
	c.mu.Unlock()
	for _, p := range peers {
		c.begin(ctx, p)
	}
	c.publish()
}

// prefer needs mu. Members of the configuration's list hear from each other
// more often, since others wait for their word.
func (c *Controller) prefer() {
	s := c.o.Views.Load().Config
	if s == c.prefers {
		return
	}
	c.prefers = s
	c.node.Prefer(nil)
	if _, member := s.Members[c.o.Self.Name]; member {
		c.node.Prefer(s.MemberNames())
	}
}

func (c *Controller) followList(ctx context.Context) {
	for {
		if err := c.Sync(ctx); err != nil && ctx.Err() == nil {
			c.o.Log.Warn("instances not read", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.listPeriod()):
		}
	}
}

// listPeriod is longer the more instances there are, and jittered.
func (c *Controller) listPeriod() time.Duration {
	period := c.o.Poll
	if n := len(c.o.Views.Load().Members); n > listReaders {
		period = period * time.Duration(n) / listReaders
	}
	return period*3/4 + rand.N(period/2)
}

// Sync reads the platform's list once.
func (c *Controller) Sync(ctx context.Context) error {
	list, err := c.o.Instances.List(ctx)
	if err != nil {
		return fmt.Errorf("read instances: %w", err)
	}
	seeds := make([]gossip.Seed, 0, len(list))
	listed := make(map[string]infra.Instance, len(list))
	for _, i := range list {
		listed[i.Name] = i
		if i.Name != c.o.Self.Name {
			seeds = append(seeds, gossip.Seed{Name: i.Name, Addr: i.PeerAddr})
		}
	}
	c.mu.Lock()
	c.listed = listed
	c.read = true
	c.node.Seed(c.o.Clock.Now(), seeds)
	c.mu.Unlock()
	c.publish()
	return nil
}

// Listed reports whether the platform's list names an instance. It says so,
// too, before the list was read.
func (c *Controller) Listed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.listed[name]
	return ok || !c.read
}

// Leave tells other instances that this one ends.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.node.Leave()
	peers := c.node.Peers(leaveFanout)
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { _ = c.exchange(ctx, c.links.client, p) }) // those not reached find out
	}
	wg.Wait()
}
