package keys

import (
	"context"
	"encoding/hex"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/freshness"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

const (
	// forceTimeout is how long a withdrawal waits for a majority, and
	// forcePoll the time between two looks.
	forceTimeout = 2 * time.Second
	forcePoll    = 20 * time.Millisecond
	// commitTimeout bounds the commit of a withdrawal.
	commitTimeout = 3 * time.Second
	// commitPeriod is how often withdrawals that are not durable yet are tried
	// again. Those of others wait one period first.
	commitPeriod = time.Second
	// maxPending bounds the withdrawals that are not durable yet.
	maxPending = 1000
)

// Configuration is what commits withdrawals.
type Configuration interface {
	Commit(ctx context.Context, who, what string, r api.ChangeRequest) (api.ChangeResponse, error)
}

// Options says what a Controller works with.
type Options struct {
	Self        string
	Incarnation uint64
	Views       *view.Store
	Clock       clock.Clock
	Log         *slog.Logger
	Scope       tally.Scope
	// Objects keeps copies of withdrawals that the table does not hold yet.
	// Without it none are written or read.
	Objects infra.Objects
	// Meet, if set, makes exchanges with the members of the list begin at once.
	Meet func()
}

// Controller holds the withdrawals that are not part of the configuration yet.
type Controller struct {
	o             Options
	configuration Configuration
	urge, meet    func()
	copies        *copies

	mu      sync.Mutex
	pending map[string]*withdrawal // by digest
	waiting map[*withdrawal]bool   // asked for here, not answered yet
}

// withdrawal is one that this instance knows.
type withdrawal struct {
	name, digest, who string
	heardAt           time.Duration
	own               bool // asked for here
	found             bool // asked for at an instance of this name before
	quorum            *freshness.Quorum
	version           uint64 // of the configuration that holds it; 0 before
}

// New returns a Controller. Urge tells the other instances that there is news.
func New(o Options, c Configuration, urge func()) *Controller {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Meet == nil {
		o.Meet = urge
	}
	return &Controller{
		o: o, configuration: c, urge: urge, meet: o.Meet,
		copies:  newCopies(o.Objects, o.Self),
		pending: make(map[string]*withdrawal),
		waiting: make(map[*withdrawal]bool),
	}
}

// Withdraw makes a key stop working. It returns when the withdrawal is in
// force, or after forceTimeout with what is known then. It returns
// code.ObjectUnknown for a key that doesn't exist.
func (c *Controller) Withdraw(ctx context.Context, who, name string) (api.WithdrawResponse, error) {
	s := c.o.Views.Load().Config
	k, ok := s.Keys[name]
	if !ok {
		return api.WithdrawResponse{}, code.New(code.ObjectUnknown, "key %q", name)
	}
	w := &withdrawal{
		name: name, digest: k.Digest, who: who, heardAt: c.o.Clock.Now(), own: true,
		quorum: freshness.NewQuorum(s.MemberNames()),
	}
	if !c.add(w) {
		return api.WithdrawResponse{}, code.New(code.InstanceBusy, "%d withdrawals wait for the store", maxPending)
	}
	defer c.answered(w)
	c.o.Log.Info("key withdrawn", "key", name, "by", who)
	c.urge()
	committed := make(chan uint64, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
		defer cancel()
		version, _ := c.commit(ctx, w) // tried again until it is durable
		committed <- version
	}()
	kept := make(chan bool, 1)
	go func() { kept <- c.keepCopies(context.WithoutCancel(ctx)) == nil }()
	return c.await(ctx, w, committed, kept), nil
}

func (c *Controller) answered(w *withdrawal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, w)
}

// await watches a withdrawal until it is in force and durable. Once it is in
// force it waits for the stores only a little.
func (c *Controller) await(ctx context.Context, w *withdrawal, committed <-chan uint64, kept <-chan bool) api.WithdrawResponse {
	resp := api.WithdrawResponse{Name: w.name}
	t := time.NewTicker(forcePoll)
	defer t.Stop()
	grace := time.After(forceTimeout)
	for {
		select {
		case <-ctx.Done():
			return resp
		case <-grace:
			return resp
		case v := <-committed:
			resp.Version = v
			resp.Durable = v > 0
			committed = nil
		case resp.Copied = <-kept:
			kept = nil
		case <-t.C:
			c.urgeUntil(w)
		}
		resp.InForce = c.inForce(w, resp.Durable)
		if resp.InForce && committed == nil && (resp.Durable || kept == nil) {
			return resp
		}
	}
}

// urgeUntil asks the peers again while the majority is not known to hold w.
func (c *Controller) urgeUntil(w *withdrawal) {
	c.mu.Lock()
	done := w.quorum.Done()
	c.mu.Unlock()
	if !done {
		c.meet()
	}
}

// inForce: with an empty member list instances are fresh by the store alone,
// so what is durable is what counts.
func (c *Controller) inForce(w *withdrawal, durable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.o.Views.Load().Config
	if len(s.Members) == 0 {
		return durable
	}
	w.quorum.Install(s.MemberNames())
	now := c.o.Clock.Now()
	w.quorum.Held(now, now, c.o.Self, c.o.Incarnation)
	return w.quorum.Done()
}

// add takes a withdrawal over. It reports false only if there are too many.
func (c *Controller) add(w *withdrawal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.pending[w.digest]
	if !known && len(c.pending) >= maxPending {
		return false
	}
	if known && !w.own {
		return true
	}
	if known {
		w.heardAt = old.heardAt
	}
	if w.own {
		c.waiting[w] = true
	}
	c.pending[w.digest] = w
	c.publish()
	return true
}

// publish needs mu.
func (c *Controller) publish() {
	set := make(map[string]struct{}, len(c.pending))
	for digest := range c.pending {
		set[digest] = struct{}{}
	}
	c.o.Views.Update(func(v *view.View) { v.Withdrawn = set })
	c.o.Scope.Gauge("withdrawals_pending").Update(float64(len(set)))
}

// Installed takes a new configuration: withdrawals that it holds need no care
// any more.
func (c *Controller) Installed(s *config.State) {
	if s.Version > 0 {
		c.copies.listedOnce.Do(func() { close(c.copies.listed) })
	}
	working := make(map[string]bool, len(s.Keys))
	for _, k := range s.Keys {
		working[k.Digest] = true
	}
	for _, k := range s.Keys {
		if k.Withdrawn {
			working[k.Digest] = false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for digest, w := range c.pending {
		if !working[digest] {
			w.version = s.Version
			delete(c.pending, digest)
			changed = true
			c.o.Log.Info("withdrawal is durable", "key", w.name, "version", s.Version)
		}
	}
	if changed {
		c.publish()
	}
}

// Pending returns the withdrawals that are not durable yet, as a change.
func (c *Controller) Pending() config.Objects {
	s := c.o.Views.Load().Config
	c.mu.Lock()
	defer c.mu.Unlock()
	var o config.Objects
	for _, k := range s.Keys {
		if _, ok := c.pending[k.Digest]; ok {
			k.Withdrawn = true
			o.Keys = append(o.Keys, k)
		}
	}
	return o
}

// Run commits withdrawals that are not durable yet, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.adopt(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(commitPeriod/2 + rand.N(commitPeriod)):
		}
		_ = c.keepCopies(ctx) // logged; tried again in the next round
		for _, w := range c.due() {
			cctx, cancel := context.WithTimeout(ctx, commitTimeout)
			if _, err := c.commit(cctx, w); err != nil {
				c.o.Log.Warn("withdrawal is not durable yet", "key", w.name, "error", err)
			}
			cancel()
		}
	}
}

// due lists what this instance should commit now.
func (c *Controller) due() []*withdrawal {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*withdrawal
	for w := range maps.Values(c.pending) {
		if w.own || c.o.Clock.Now()-w.heardAt > commitPeriod {
			list = append(list, w)
		}
	}
	return list
}

// commit makes a withdrawal durable. A key that is unknown here is left to the
// instances that know it.
func (c *Controller) commit(ctx context.Context, w *withdrawal) (uint64, error) {
	var keys []config.Key
	for _, k := range c.o.Views.Load().Config.Keys {
		if k.Digest == w.digest {
			k.Withdrawn = true
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return 0, errors.New("keys: the key is not part of the configuration here")
	}
	resp, err := c.configuration.Commit(ctx, w.who, "withdraw key "+w.name, api.ChangeRequest{Put: config.Objects{Keys: keys}})
	if err != nil {
		return 0, err
	}
	return resp.Version, nil
}

// Fill adds the withdrawals to a message.
func (c *Controller) Fill(e *gossipv1.Envelope, _ string, _ *gossipv1.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.pending {
		raw, err := hex.DecodeString(w.digest)
		if err != nil {
			continue // validated when the key was put
		}
		e.Withdrawals = append(e.Withdrawals, &gossipv1.Withdrawal{Name: w.name, Digest: raw, Who: w.who})
	}
}

// Pushed takes a message that a peer sent by itself.
func (c *Controller) Pushed(_ context.Context, e *gossipv1.Envelope) { c.merge(e) }

// Answered takes the answer to an exchange that this instance began at
// started. It reports whether this instance now knows every withdrawal that
// the peer knows, and those that instances of before left in the object store.
func (c *Controller) Answered(_ context.Context, started time.Duration, e *gossipv1.Envelope) bool {
	complete := c.merge(e) && c.copies.adopted.Load()
	held := make(map[string]bool, len(e.GetWithdrawals()))
	for _, w := range e.GetWithdrawals() {
		held[hex.EncodeToString(w.Digest)] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	s := c.o.Views.Load().Config
	if e.GetFreshness().GetVersion() > s.Version {
		return complete // the list may have changed; a later answer counts
	}
	for w := range c.waiting {
		w.quorum.Install(s.MemberNames())
		committed := w.version > 0 && e.GetFreshness().GetVersion() >= w.version
		if held[w.digest] || committed {
			w.quorum.Held(now, started, e.GetName(), e.GetIncarnation())
		}
	}
	return complete
}

func (c *Controller) merge(e *gossipv1.Envelope) bool {
	complete := true
	for _, m := range e.GetWithdrawals() {
		digest := hex.EncodeToString(m.Digest)
		if c.knows(digest) {
			continue
		}
		w := &withdrawal{name: m.Name, digest: digest, who: m.Who, heardAt: c.o.Clock.Now()}
		complete = c.add(w) && complete
		c.urge()
	}
	return complete
}

// knows reports whether a withdrawal is pending or part of the configuration.
func (c *Controller) knows(digest string) bool {
	c.mu.Lock()
	_, ok := c.pending[digest]
	c.mu.Unlock()
	if ok {
		return true
	}
	k, ok := c.o.Views.Load().KeyByDigest(digest)
	return ok && k.Withdrawn
}

// Names returns the names of the withdrawals that are not durable yet.
func (c *Controller) Names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.pending))
	for _, w := range c.pending {
		names = append(names, w.name)
	}
	slices.Sort(names)
	return names
}
