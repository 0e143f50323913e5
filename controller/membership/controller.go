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
	// tickPeriod is the time between two checks for due exchanges.
	tickPeriod = 50 * time.Millisecond
	// exchangeTimeout bounds one attempt of an exchange.
	exchangeTimeout = 500 * time.Millisecond
	// idleTimeout closes idle connections to peers.
	idleTimeout = 15 * time.Second
	// listReaders is the approximate number of instances that read the
	// platform's list within a poll period. The others receive new instances from
	// them by gossip.
	listReaders = 9
	// leaveFanout is the number of peers that are notified of a shutdown.
	leaveFanout = 16
)

// PayloadHandler is a controller that adds its own payload to the exchanges. Its
// methods may be called concurrently.
type PayloadHandler interface {
	// Fill adds this instance's payload to a message for a peer. The message is
	// the response to request, or a request if request is nil. The handlers are
	// called in the order in which they were set.
	Fill(e *gossipv1.Envelope, peer string, request *gossipv1.Envelope)
	// HandlePush handles a request from a peer. Its contents may be out of date.
	HandlePush(ctx context.Context, e *gossipv1.Envelope)
	// HandleResponse handles the response to an exchange; started is the boot time
	// at which the exchange was started. It reports whether the complete payload
	// was applied. If not, the handlers after it are skipped.
	HandleResponse(ctx context.Context, started time.Duration, e *gossipv1.Envelope) bool
}

// Options are the settings and dependencies of a Controller.
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
	// Dial opens connections for HTTP/2, DialHTTP1 for HTTP/1.1.
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	DialHTTP1 func(ctx context.Context, network, addr string) (net.Conn, error)
	// Load returns the number of requests in flight at this instance, and
	// whether it is leaving.
	Load func() (inFlight int, leaving bool)
	// Demand returns the work that callers and trainers request from this
	// instance, and whether it should be reported to other instances. The
	// Controller takes ownership of the map.
	Demand func() (map[capacity.ServiceID]capacity.Load, bool)
}

// Controller runs the exchanges of one instance.
type Controller struct {
	o         Options
	handlers  []PayloadHandler
	peerConns *peerConns
	wake      chan struct{}

	publishing sync.Mutex // is locked before mu
	mu         sync.Mutex // guards the fields below
	node       *gossip.Node
	busy       map[string]bool // peers with an exchange in progress
	repeat     map[string]bool // busy peers that need another exchange afterwards
	listed     map[string]infra.Instance
	listRead   bool // the platform's list was read at least once
	// published is one more than node.Changes at the last publication, so zero
	// means that nothing was published yet.
	published uint64
	// preferredConfig is the State from which the node's preferred peers were
	// last set.
	preferredConfig *config.State

	reportedLoad  uint64        // requests in flight, as last reported to peers
	loadReportDue time.Duration // when they may be reported again

	demand    *capacity.Report // as last reported to peers
	demandSeq uint32

	rolloutDue    time.Duration // when to check for new rollout work again
	sharerCounter capacity.Sharers
	sharers       int           // the last count of instances with rollout work
	sharersDue    time.Duration // when to count them again
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	self := gossip.Record{Name: o.Self.Name, Incarnation: o.Incarnation, Addr: o.Self.PeerAddr}
	return &Controller{
		o:         o,
		peerConns: newPeerConns(o.Dial, o.DialHTTP1),
		wake:      make(chan struct{}, 1),
		node:      gossip.NewNode(self, gossip.Options{Period: o.Period}, rand.New(rand.NewPCG(o.Incarnation, rand.Uint64()))),
		busy:      make(map[string]bool),
		repeat:    make(map[string]bool),
		listed:    make(map[string]infra.Instance),
	}
}

// SetPayloadHandlers sets the controllers that add payloads to the exchanges. It
// must be called before Run and before the HTTP handler serves requests.
func (c *Controller) SetPayloadHandlers(h ...PayloadHandler) { c.handlers = h }

// Run exchanges messages with other instances until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.pollInstances(ctx)
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

// Broadcast starts a broadcast, and sends it to some peers immediately.
func (c *Controller) Broadcast(r gossip.Broadcast) {
	c.mu.Lock()
	c.node.Broadcast(c.o.Clock.Now(), r)
	c.mu.Unlock()
	c.NotifyPeers()
}

// NotifyPeers starts exchanges immediately, with as many peers as the fanout
// allows.
func (c *Controller) NotifyPeers() {
	c.mu.Lock()
	c.node.TriggerExchanges()
	c.mu.Unlock()
	c.wakeUp()
}

// NotifyMembers immediately starts exchanges with the members of the
// configuration's list. It is for updates that a majority of them must confirm.
func (c *Controller) NotifyMembers() {
	c.mu.Lock()
	c.node.TriggerExchangesWith(c.o.Views.Load().Config.MemberNames())
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
	c.updatePreferred()
	peers := c.node.Tick(c.o.Clock.Now())
	c.mu.Unlock()
	for _, p := range peers {
		c.startExchange(ctx, p)
	}
	c.publish()
}

// updatePreferred makes the node prefer the members of the configuration's list
// if this instance is one of them. Members exchange with each other more often,
// since other instances wait for their reports. The caller must hold mu.
func (c *Controller) updatePreferred() {
	s := c.o.Views.Load().Config
	if s == c.preferredConfig {
		return
	}
	c.preferredConfig = s
	c.node.Prefer(nil)
	if _, member := s.Members[c.o.Self.Name]; member {
		c.node.Prefer(s.MemberNames())
	}
}

func (c *Controller) pollInstances(ctx context.Context) {
	for {
		if err := c.Sync(ctx); err != nil && ctx.Err() == nil {
			c.o.Log.Warn("failed to read the platform's instance list", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.listPeriod()):
		}
	}
}

// listPeriod returns the time to the next read of the platform's list. It grows
// with the number of instances, and has jitter.
func (c *Controller) listPeriod() time.Duration {
	period := c.o.Poll
	if n := len(c.o.Views.Load().Members); n > listReaders {
		period = period * time.Duration(n) / listReaders
	}
	return period*3/4 + rand.N(period/2)
}

// Sync reads the platform's instance list once.
func (c *Controller) Sync(ctx context.Context) error {
	list, err := c.o.Instances.List(ctx)
	if err != nil {
		return fmt.Errorf("read instance list: %w", err)
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
	c.listRead = true
	c.node.Seed(c.o.Clock.Now(), seeds)
	c.mu.Unlock()
	c.publish()
	return nil
}

// Listed reports whether the platform's list contains an instance. It returns
// true for every name until the list was read.
func (c *Controller) Listed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.listed[name]
	return ok || !c.listRead
}

// Leave notifies up to leaveFanout peers that this instance is shutting down.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.node.Leave()
	peers := c.node.Peers(leaveFanout)
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { _ = c.exchange(ctx, c.peerConns.client, p) }) // peers that this does not reach detect the shutdown later
	}
	wg.Wait()
}
