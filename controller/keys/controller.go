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
	// inForceTimeout is how long a withdrawal request waits for a majority, and
	// inForcePoll is the time between two checks.
	inForceTimeout = 2 * time.Second
	inForcePoll    = 20 * time.Millisecond
	// commitTimeout bounds the commit of a withdrawal.
	commitTimeout = 3 * time.Second
	// commitPeriod is the mean time between two attempts to commit withdrawals
	// that are not durable yet. Withdrawals received from other instances wait
	// one period before the first attempt.
	commitPeriod = time.Second
	// maxPending bounds the number of withdrawals that are not durable yet.
	maxPending = 1000
)

// Configuration commits withdrawals.
type Configuration interface {
	Commit(ctx context.Context, who, what string, r api.ChangeRequest) (api.ChangeResponse, error)
}

// Options configures a Controller.
type Options struct {
	Self        string
	Incarnation uint64
	Views       *view.Store
	Clock       clock.Clock
	Log         *slog.Logger
	Scope       tally.Scope
	// Objects stores copies of withdrawals that are not in the table yet. If it
	// is nil, none are written or read.
	Objects infra.Objects
	// NotifyMembers, if set, starts exchanges with the members of the member list
	// immediately.
	NotifyMembers func()
}

// Controller manages the withdrawals that are not in the configuration yet.
type Controller struct {
	o                          Options
	configuration              Configuration
	notifyPeers, notifyMembers func()
	copies                     *copies

	mu         sync.Mutex
	pending    map[string]*withdrawal // by digest
	inProgress map[*withdrawal]bool   // requested at this instance, without a response yet
}

// withdrawal is the withdrawal of one key, and its progress towards being in
// force and durable.
type withdrawal struct {
	name, digest, who string
	receivedAt        time.Duration
	requestedHere     bool
	restored          bool // read from the object that an earlier instance of this name wrote
	quorum            *freshness.Quorum
	version           uint64 // of the configuration that contains it; 0 until installed
}

// New returns a Controller. It calls notifyPeers to start exchanges that
// distribute new withdrawals to the other instances.
func New(o Options, c Configuration, notifyPeers func()) *Controller {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.NotifyMembers == nil {
		o.NotifyMembers = notifyPeers
	}
	return &Controller{
		o: o, configuration: c, notifyPeers: notifyPeers, notifyMembers: o.NotifyMembers,
		copies:     newCopies(o.Objects, o.Self),
		pending:    make(map[string]*withdrawal),
		inProgress: make(map[*withdrawal]bool),
	}
}

// Withdraw withdraws a key. It returns when the withdrawal is in force, or after
// inForceTimeout with the state reached by then. It returns code.ObjectUnknown
// for a key that doesn't exist.
func (c *Controller) Withdraw(ctx context.Context, who, name string) (api.WithdrawResponse, error) {
	s := c.o.Views.Load().Config
	k, ok := s.Keys[name]
	if !ok {
		return api.WithdrawResponse{}, code.New(code.ObjectUnknown, "key %q", name)
	}
	w := &withdrawal{
		name: name, digest: k.Digest, who: who, receivedAt: c.o.Clock.Now(), requestedHere: true,
		quorum: freshness.NewQuorum(s.MemberNames()),
	}
	if !c.add(w) {
		return api.WithdrawResponse{}, code.New(code.InstanceBusy, "%d withdrawals wait for the store", maxPending)
	}
	defer c.finish(w)
	c.o.Log.Info("key withdrawn", "key", name, "by", who)
	c.notifyPeers()
	committed := make(chan uint64, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
		defer cancel()
		version, _ := c.commit(ctx, w) // Run retries until it is durable
		committed <- version
	}()
	copied := make(chan bool, 1)
	go func() { copied <- c.updateCopy(context.WithoutCancel(ctx)) == nil }()
	return c.await(ctx, w, committed, copied), nil
}

func (c *Controller) finish(w *withdrawal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, w)
}

// await waits until a withdrawal is in force and the attempt to commit it has
// ended. If that failed, it also waits until the attempt to write a copy has
// ended. It returns the state reached after inForceTimeout at the latest.
func (c *Controller) await(ctx context.Context, w *withdrawal, committed <-chan uint64, copied <-chan bool) api.WithdrawResponse {
	resp := api.WithdrawResponse{Name: w.name}
	t := time.NewTicker(inForcePoll)
	defer t.Stop()
	timeout := time.After(inForceTimeout)
	for {
		select {
		case <-ctx.Done():
			return resp
		case <-timeout:
			return resp
		case v := <-committed:
			resp.Version = v
			resp.Durable = v > 0
			committed = nil
		case resp.Copied = <-copied:
			copied = nil
		case <-t.C:
			c.notifyUnlessQuorum(w)
		}
		resp.InForce = c.inForce(w, resp.Durable)
		if resp.InForce && committed == nil && (resp.Durable || copied == nil) {
			return resp
		}
	}
}

// notifyUnlessQuorum starts exchanges with the members again unless a majority
// has confirmed that it has w.
func (c *Controller) notifyUnlessQuorum(w *withdrawal) {
	c.mu.Lock()
	done := w.quorum.Done()
	c.mu.Unlock()
	if !done {
		c.notifyMembers()
	}
}

// inForce reports whether a withdrawal is in force. With an empty member list,
// instances are fresh by reads of the store only, so a withdrawal is in force
// when it is durable.
func (c *Controller) inForce(w *withdrawal, durable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.o.Views.Load().Config
	if len(s.Members) == 0 {
		return durable
	}
	w.quorum.Install(s.MemberNames())
	now := c.o.Clock.Now()
	w.quorum.Confirm(now, now, c.o.Self, c.o.Incarnation)
	return w.quorum.Done()
}

// add adds a withdrawal to the pending ones. It returns false only if there are
// too many.
func (c *Controller) add(w *withdrawal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, exists := c.pending[w.digest]
	if !exists && len(c.pending) >= maxPending {
		return false
	}
	if exists && !w.requestedHere {
		return true
	}
	if exists {
		w.receivedAt = old.receivedAt
	}
	if w.requestedHere {
		c.inProgress[w] = true
	}
	c.pending[w.digest] = w
	c.publish()
	return true
}

// publish copies the digests of the pending withdrawals to the view. The caller
// must hold mu.
func (c *Controller) publish() {
	set := make(map[string]struct{}, len(c.pending))
	for digest := range c.pending {
		set[digest] = struct{}{}
	}
	c.o.Views.Update(func(v *view.View) { v.Withdrawn = set })
	c.o.Scope.Gauge("withdrawals_pending").Update(float64(len(set)))
}

// HandleInstalled handles a new configuration. Withdrawals that it contains, and
// those of keys that it no longer contains, are no longer pending.
func (c *Controller) HandleInstalled(s *config.State) {
	if s.Version > 0 {
		c.copies.membersLoadedOnce.Do(func() { close(c.copies.membersLoaded) })
	}
	valid := make(map[string]bool, len(s.Keys)) // by digest, which several keys may share
	for _, k := range s.Keys {
		valid[k.Digest] = true
	}
	for _, k := range s.Keys {
		if k.Withdrawn {
			valid[k.Digest] = false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for digest, w := range c.pending {
		if !valid[digest] {
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
	c.restore(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(commitPeriod/2 + rand.N(commitPeriod)):
		}
		_ = c.updateCopy(ctx) // logged; tried again in the next round
		for _, w := range c.due() {
			cctx, cancel := context.WithTimeout(ctx, commitTimeout)
			if _, err := c.commit(cctx, w); err != nil {
				c.o.Log.Warn("withdrawal is not durable yet", "key", w.name, "error", err)
			}
			cancel()
		}
	}
}

// due returns the withdrawals that this instance should commit now.
func (c *Controller) due() []*withdrawal {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*withdrawal
	for w := range maps.Values(c.pending) {
		if w.requestedHere || c.o.Clock.Now()-w.receivedAt > commitPeriod {
			list = append(list, w)
		}
	}
	return list
}

// commit makes a withdrawal durable. It returns an error for a key that is not
// in this instance's configuration; instances that have the key commit it.
func (c *Controller) commit(ctx context.Context, w *withdrawal) (uint64, error) {
	var keys []config.Key
	for _, k := range c.o.Views.Load().Config.Keys {
		if k.Digest == w.digest {
			k.Withdrawn = true
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return 0, errors.New("keys: the key is not in this instance's configuration")
	}
	resp, err := c.configuration.Commit(ctx, w.who, "withdraw key "+w.name, api.ChangeRequest{Put: config.Objects{Keys: keys}})
	if err != nil {
		return 0, err
	}
	return resp.Version, nil
}

// Fill adds the pending withdrawals to a message.
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

// HandlePush handles the request of an exchange that a peer started.
func (c *Controller) HandlePush(_ context.Context, e *gossipv1.Envelope) { c.merge(e) }

// HandleResponse handles the response to an exchange that this instance started
// at the boot time started. It reports whether this instance has every withdrawal
// in the response, and those that earlier instances left in the object store.
func (c *Controller) HandleResponse(_ context.Context, started time.Duration, e *gossipv1.Envelope) bool {
	complete := c.merge(e) && c.copies.restored.Load()
	reported := make(map[string]bool, len(e.GetWithdrawals()))
	for _, w := range e.GetWithdrawals() {
		reported[hex.EncodeToString(w.Digest)] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	s := c.o.Views.Load().Config
	if e.GetFreshness().GetVersion() > s.Version {
		return complete // the list may have changed; a later response counts
	}
	for w := range c.inProgress {
		w.quorum.Install(s.MemberNames())
		committed := w.version > 0 && e.GetFreshness().GetVersion() >= w.version
		if reported[w.digest] || committed {
			w.quorum.Confirm(now, started, e.GetName(), e.GetIncarnation())
		}
	}
	return complete
}

// merge adds the withdrawals in a message. It returns false if there are too
// many to add all of them.
func (c *Controller) merge(e *gossipv1.Envelope) bool {
	complete := true
	for _, m := range e.GetWithdrawals() {
		digest := hex.EncodeToString(m.Digest)
		if c.has(digest) {
			continue
		}
		w := &withdrawal{name: m.Name, digest: digest, who: m.Who, receivedAt: c.o.Clock.Now()}
		complete = c.add(w) && complete
		c.notifyPeers()
	}
	return complete
}

// has reports whether a withdrawal is pending or in the configuration.
func (c *Controller) has(digest string) bool {
	c.mu.Lock()
	_, ok := c.pending[digest]
	c.mu.Unlock()
	if ok {
		return true
	}
	k, ok := c.o.Views.Load().KeyByDigest(digest)
	return ok && k.Withdrawn
}

// PendingNames returns the names of the withdrawals that are not durable yet.
func (c *Controller) PendingNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.pending))
	for _, w := range c.pending {
		names = append(names, w.name)
	}
	slices.Sort(names)
	return names
}
