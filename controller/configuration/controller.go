package configuration

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/freshness"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
)

const (
	// logPage is the number of log rows per read.
	logPage = 500
	// storeReaders is the approximate number of instances that read the head
	// within a poll period. The others receive changes from them.
	storeReaders = 9
	// tickPeriod is the time between two updates of freshness.
	tickPeriod = 100 * time.Millisecond
	// memberContactPeriod is the period at which a member starts exchanges with
	// its peers until a majority of the member list has responded.
	memberContactPeriod = 500 * time.Millisecond
	// storeTimeout bounds one read of the store.
	storeTimeout = 2 * time.Second
)

// Peers communicates with other instances.
type Peers interface {
	// State returns a peer's State in JSON, if its version is above after.
	State(ctx context.Context, peer string, after uint64) ([]byte, error)
	// NotifyPeers starts exchanges with the other instances immediately, to
	// distribute an update.
	NotifyPeers()
	// Listed reports whether the platform's list contains an instance. It also
	// returns true while the list has not been read.
	Listed(name string) bool
}

// Options configures a Controller.
type Options struct {
	// Self is this instance's name.
	Self  string
	Table infra.Table
	// Objects stores the snapshots. If it is nil, none are written or read.
	Objects infra.Objects
	Views   *view.Store
	Clock   clock.Clock
	Log     *slog.Logger
	Scope   tally.Scope
	// Poll is the period between two reads of the head.
	Poll time.Duration
	// Freshness is how long evidence that the version is current remains valid.
	Freshness time.Duration
}

// Links connects a Controller with other components. Each field is optional.
type Links struct {
	Peers Peers
	// OnInstalled, if set, is called for each installed State, after its version
	// is reported in exchanges with other instances.
	OnInstalled func(s *config.State)
	// Pending, if set, returns changes that are already being distributed but
	// are not committed yet. A change of the member list includes them, so that
	// none is lost when majorities change.
	Pending func() config.Objects
}

// Controller follows the configuration and commits changes to it.
type Controller struct {
	o Options
	l Links

	// storeReads allows one read of the store at a time. Waiting for it can be
	// cancelled, unlike waiting for a mutex.
	storeReads *semaphore.Weighted

	mu                sync.Mutex // guards the fields up to the blank line
	recent            recent
	reader            *freshness.Reader
	tracker           *freshness.Tracker
	memberManager     *memberManager
	confirmedVersions map[string]uint64 // highest version confirmed by each member

	nextMemberContact time.Duration // used by runFreshness only
	newestSnapshot    uint64        // newest snapshot read or written; used by runSnapshots only
	// snapshotEvery is the constant of that name, except in tests.
	snapshotEvery uint64

	freshUntil atomic.Int64 // in boot time
	inForce    atomic.Uint64
	wake       chan struct{} // makes Run read the store immediately
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Controller{
		o:                 o,
		storeReads:        semaphore.NewWeighted(1),
		reader:            freshness.NewReader(o.Self, o.Freshness),
		tracker:           freshness.NewTracker(o.Freshness),
		memberManager:     newMemberManager(o.Self),
		confirmedVersions: make(map[string]uint64),
		wake:              make(chan struct{}, 1),

		snapshotEvery: snapshotEvery,
	}
}

// Connect sets the links to other components. It is optional and must be called
// before Run.
func (c *Controller) Connect(l Links) { c.l = l }

// Run follows the store and the peers until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.runMemberList(ctx)
	go c.runFreshness(ctx)
	go c.runSnapshots(ctx)
	for {
		if err := c.Sync(ctx); err != nil && ctx.Err() == nil {
			c.o.Scope.Counter("store_read_failed").Inc(1)
			c.o.Log.Warn("configuration not read", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-time.After(c.pollPeriod()):
		}
	}
}

// pollPeriod returns the jittered time until the next read of the head. It grows
// with the number of instances. An instance that has not read the store yet, or
// that is not fresh by reports of members, polls at the shortest period.
func (c *Controller) pollPeriod() time.Duration {
	period := c.o.Poll
	if n := len(c.o.Views.Load().Members); n > storeReaders && c.freshByMajority() {
		period = period * time.Duration(n) / storeReaders
	}
	return period*3/4 + rand.N(period/2)
}

// freshByMajority reports whether this instance, which need not be on the member
// list, receives changes from a majority of the list.
func (c *Controller) freshByMajority() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.HasReadStore() && len(c.reader.Members()) > 0 && c.reader.Fresh(c.o.Clock.Now())
}

func (c *Controller) vouches() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Vouches()
}

// runFreshness periodically updates this instance's own confirmation, its
// freshness and the version in force.
func (c *Controller) runFreshness(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	wasFresh := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.updateFreshness()
		c.contactMembers()
		fresh := c.Fresh(c.o.Clock.Now())
		if fresh != wasFresh {
			c.o.Log.Info("freshness changed", "fresh", fresh, "version", c.o.Views.Load().Config.Version)
		}
		wasFresh = fresh
		c.updateGauges(fresh)
	}
}

// contactMembers starts exchanges with the other instances while this instance
// is on the member list but can't vouch yet, as after a start. It can vouch, so
// that its own report counts, only when a majority of the list has responded.
func (c *Controller) contactMembers() {
	_, member := c.o.Views.Load().Config.Members[c.o.Self]
	if !member || c.l.Peers == nil || c.vouches() || !c.hasReadStore() {
		return
	}
	if now := c.o.Clock.Now(); now >= c.nextMemberContact {
		c.nextMemberContact = now + memberContactPeriod
		c.l.Peers.NotifyPeers()
	}
}

func (c *Controller) updateGauges(fresh bool) {
	value := 0.0
	if fresh {
		value = 1
	}
	c.o.Scope.Gauge("config_fresh").Update(value)
	c.o.Scope.Gauge("config_version").Update(float64(c.o.Views.Load().Config.Version))
	c.o.Scope.Gauge("config_in_force").Update(float64(c.inForce.Load()))
}

// updateFreshness recomputes freshness and the version in force.
func (c *Controller) updateFreshness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateFreshnessLocked()
}

// updateFreshnessLocked is updateFreshness for callers that hold mu.
func (c *Controller) updateFreshnessLocked() {
	now := c.o.Clock.Now()
	if c.reader.Vouches() {
		c.tracker.Confirm(c.o.Self, c.reader.Version())
	}
	c.inForce.Store(c.tracker.Tick(now))
	if until, ok := c.reader.FreshUntil(now); ok {
		c.freshUntil.Store(int64(until))
	}
}

// Fresh reports whether this instance may serve keyed routes at boot time now.
func (c *Controller) Fresh(now time.Duration) bool {
	return int64(now) < c.freshUntil.Load()
}

// InForce returns the version that is in force at all instances.
func (c *Controller) InForce() uint64 { return c.inForce.Load() }

// Missing returns the members of the member list that have not confirmed this
// instance's version, and the instances believed alive that report a lower one.
func (c *Controller) Missing() []string {
	c.mu.Lock()
	missing := c.tracker.Missing()
	version := c.reader.Version()
	c.mu.Unlock()
	return c.appendBehind(missing, version)
}

// Version returns the installed version.
func (c *Controller) Version() uint64 { return c.o.Views.Load().Config.Version }
