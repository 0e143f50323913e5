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
	// logPage is the number of log rows read at a time.
	logPage = 500
	// storeReaders is about how many instances read the head within a poll
	// period; the others hear of changes from them.
	storeReaders = 9
	// tickPeriod is the time between two looks at freshness.
	tickPeriod = 100 * time.Millisecond
	// meetPeriod is the time between two calls to all peers of a member that has
	// not met a majority yet.
	meetPeriod = 500 * time.Millisecond
	// storeTimeout bounds one read of the store.
	storeTimeout = 2 * time.Second
)

// Peers reaches other instances.
type Peers interface {
	// State returns a peer's State in JSON, if it is above after.
	State(ctx context.Context, peer string, after uint64) ([]byte, error)
	// Urge tells the other instances at once that there is news.
	Urge()
	// Listed reports whether the platform's list names an instance. It says
	// so, too, when the list was not read.
	Listed(name string) bool
}

// Options says what a Controller works with.
type Options struct {
	// Self is this instance's name.
	Self  string
	Table infra.Table
	// Objects keeps the snapshots. Without it none are written or read.
	Objects infra.Objects
	Views   *view.Store
	Clock   clock.Clock
	Log     *slog.Logger
	Scope   tally.Scope
	// Poll is the period between two reads of the head.
	Poll time.Duration
	// Freshness is how long evidence of the version counts.
	Freshness time.Duration
}

// Links connects a Controller with others. Each field may be left out.
type Links struct {
	Peers Peers
	// Installed, when set, is called for each installed State, after the
	// exchanges with others show its version.
	Installed func(s *config.State)
	// Pending, when set, returns changes that spread already and are not
	// committed yet. A change of the member list takes them along, so that
	// none is lost when majorities change.
	Pending func() config.Objects
}

// Controller follows the configuration and commits changes to it.
type Controller struct {
	o Options
	l Links

	// reading admits one reader of the store at a time; who waits for it can
	// give up.
	reading *semaphore.Weighted

	mu      sync.Mutex // guards what follows
	recent  recent
	reader  *freshness.Reader
	tracker *freshness.Tracker
	keeper  *keeper
	vouched map[string]uint64 // version by member, newest word

	meetDue      time.Duration // used by runTick only
	snapshotSeen uint64        // newest one known; used by runSnapshots only
	// snapshotEvery is constant but for tests.
	snapshotEvery uint64

	freshUntil atomic.Int64 // boot time
	inForce    atomic.Uint64
	wake       chan struct{}
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Controller{
		o:       o,
		reading: semaphore.NewWeighted(1),
		reader:  freshness.NewReader(o.Self, o.Freshness),
		tracker: freshness.NewTracker(o.Freshness),
		keeper:  newKeeper(o.Self),
		vouched: make(map[string]uint64),
		wake:    make(chan struct{}, 1),

		snapshotEvery: snapshotEvery,
	}
}

// Connect links the Controller with others. It must be called before Run, if at
// all.
func (c *Controller) Connect(l Links) { c.l = l }

// Run follows the store and the peers until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.runKeeper(ctx)
	go c.runTick(ctx)
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

// pollPeriod is longer the more instances there are, and jittered. An instance
// that has not read the store yet, or that is not fresh by the words of others,
// polls at the shortest period.
func (c *Controller) pollPeriod() time.Duration {
	period := c.o.Poll
	if n := len(c.o.Views.Load().Members); n > storeReaders && c.hearsMembers() {
		period = period * time.Duration(n) / storeReaders
	}
	return period*3/4 + rand.N(period/2)
}

// hearsMembers reports whether this instance, on the member list or not, learns
// of changes from a majority of it.
func (c *Controller) hearsMembers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.HasReadStore() && len(c.reader.Members()) > 0 && c.reader.Fresh(c.o.Clock.Now())
}

func (c *Controller) vouches() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Vouches()
}

// runTick renews this instance's own word and declares versions in force.
func (c *Controller) runTick(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	was := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.update()
		c.meetMembers()
		fresh := c.Fresh(c.o.Clock.Now())
		if fresh != was {
			c.o.Log.Info("freshness changed", "fresh", fresh, "version", c.o.Views.Load().Config.Version)
		}
		was = fresh
		c.gauges(fresh)
	}
}

// meetMembers makes a member that has just started meet the others soon, so that
// its word counts.
func (c *Controller) meetMembers() {
	_, member := c.o.Views.Load().Config.Members[c.o.Self]
	if !member || c.l.Peers == nil || c.vouches() || !c.storeRead() {
		return
	}
	if now := c.o.Clock.Now(); now >= c.meetDue {
		c.meetDue = now + meetPeriod
		c.l.Peers.Urge()
	}
}

func (c *Controller) gauges(fresh bool) {
	value := 0.0
	if fresh {
		value = 1
	}
	c.o.Scope.Gauge("config_fresh").Update(value)
	c.o.Scope.Gauge("config_version").Update(float64(c.o.Views.Load().Config.Version))
	c.o.Scope.Gauge("config_in_force").Update(float64(c.inForce.Load()))
}

// update works out freshness and the version in force.
func (c *Controller) update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLocked()
}

func (c *Controller) updateLocked() {
	now := c.o.Clock.Now()
	if c.reader.Vouches() {
		c.tracker.Confirm(c.o.Self, c.reader.Version())
	}
	c.inForce.Store(c.tracker.Tick(now))
	if until, ok := c.reader.Until(now); ok {
		c.freshUntil.Store(int64(until))
	}
}

// Fresh reports whether this instance may serve keyed routes at boot time now.
func (c *Controller) Fresh(now time.Duration) bool {
	return int64(now) < c.freshUntil.Load()
}

// InForce returns the version that is in force everywhere.
func (c *Controller) InForce() uint64 { return c.inForce.Load() }

// Missing names the members of the member list that have not confirmed the
// newest version known here, and instances believed alive that are behind.
func (c *Controller) Missing() []string {
	c.mu.Lock()
	missing := c.tracker.Missing()
	version := c.reader.Version()
	c.mu.Unlock()
	return c.withBehind(missing, version)
}

// Version returns the installed version.
func (c *Controller) Version() uint64 { return c.o.Views.Load().Config.Version }
