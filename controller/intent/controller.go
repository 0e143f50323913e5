package intent

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/telemetry"
	"github.com/cumincove/cumincove/view"
)

const (
	// callTimeout bounds one read of the store.
	callTimeout = time.Second
	// reregistrationTime is how long after an outage of the store the entries of
	// running endpoints may still be missing.
	reregistrationTime = 2200 * time.Millisecond
	// outageThreshold is the time between two successful reads above which the
	// store counts as having had an outage.
	outageThreshold = 2 * time.Second
)

// Options configures a Controller.
type Options struct {
	IntentSource infra.IntentSource
	Replicas     infra.Replicas
	Views        *view.Store
	Clock        clock.Clock
	Log          *slog.Logger
	Scope        tally.Scope
	// Poll is the period between two reads.
	Poll time.Duration
	// Freshness is how long a read remains valid, measured from its start.
	Freshness time.Duration
	// OnEndpoints, if set, is called before a snapshot with other endpoints is
	// published, and after each read of the endpoints that changed nothing.
	OnEndpoints func(v *view.View)
	// OnAvailable, if set, is called when a read succeeds after a failed one.
	OnAvailable func()
}

// Controller reads the intent and the endpoints periodically.
type Controller struct {
	o Options
	// lastReadAt is when the last successful read of the intent was started, in
	// boot time. It is zero before the first one.
	lastReadAt atomic.Int64
	// availableSince is when the first read after the last outage succeeded, in
	// boot time.
	availableSince atomic.Int64
	weights        atomic.Pointer[map[string]uint64] // versions by model
	readNow        chan struct{}                     // triggers a read of the endpoints
	// lastListedAt is when the endpoints were last read successfully, and
	// keepMissingUntil is when the snapshot stops keeping endpoints that are
	// missing from the list. Only the goroutine that reads the endpoints uses
	// them.
	lastListedAt, keepMissingUntil time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	c := &Controller{o: o, readNow: make(chan struct{}, 1)}
	c.weights.Store(&map[string]uint64{})
	return c
}

// Fresh reports whether the last successful read is recent enough that the
// configuration in the snapshot counts as current.
func (c *Controller) Fresh(now time.Duration) bool {
	at := time.Duration(c.lastReadAt.Load())
	return at > 0 && now-at < c.o.Freshness
}

// Age returns the time since the last successful read was started, and false
// before the first one.
func (c *Controller) Age(now time.Duration) (time.Duration, bool) {
	at := time.Duration(c.lastReadAt.Load())
	return now - at, at > 0
}

// WeightVersions returns the desired weight version of each model. The map must
// not be modified.
func (c *Controller) WeightVersions() map[string]uint64 { return *c.weights.Load() }

// Run reads the intent and the endpoints until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.loop(ctx, "replicas", c.readReplicas, c.readNow)
	}()
	c.loop(ctx, "intent", c.readIntent, nil)
	<-done
	return nil
}

// ReadEndpoints triggers a read of the endpoints without waiting for the next
// period.
func (c *Controller) ReadEndpoints() {
	select {
	case c.readNow <- struct{}{}:
	default:
	}
}

// loop calls read periodically and whenever it receives from now. It logs when
// reads begin to fail and when they succeed again.
func (c *Controller) loop(ctx context.Context, what string, read func(context.Context) error, now <-chan struct{}) {
	tick := time.NewTicker(c.o.Poll)
	defer tick.Stop()
	failing := false
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := read(call)
		cancel()
		if err != nil {
			c.o.Scope.Tagged(map[string]string{"what": what}).Counter("store_reads_failed").Inc(1)
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			c.logStoreState(what, err)
		}
		select {
		case <-tick.C:
		case <-now:
		case <-ctx.Done():
			return
		}
	}
}

// logStoreState logs that reads began to fail with err or, if err is nil, that
// they succeed again. In the latter case it also calls Options.OnAvailable.
func (c *Controller) logStoreState(what string, err error) {
	if err != nil {
		c.o.Log.Warn("store unavailable", "reads", what, "error", err)
		return
	}
	c.o.Log.Info("store available again", "reads", what)
	if c.o.OnAvailable != nil {
		c.o.OnAvailable()
	}
}

func (c *Controller) readIntent(ctx context.Context) error {
	started := c.o.Clock.Now()
	intent, err := c.o.IntentSource.Read(ctx)
	if err != nil {
		return err
	}
	c.recordWeights(intent.Weights)
	c.recordEvacuated(intent.Evacuated)
	if intent.Config != nil {
		c.install(intent.Config)
		c.recordRead(started)
	}
	return nil
}

// recordRead records a successful read, and the end of an outage if this is the
// first read after one.
func (c *Controller) recordRead(started time.Duration) {
	previous := time.Duration(c.lastReadAt.Swap(int64(started)))
	if previous == 0 || started-previous > outageThreshold {
		c.availableSince.Store(int64(c.o.Clock.Now()))
	}
}

// AvailableFor returns how long the store has been available without an outage,
// and 0 before the first successful read.
func (c *Controller) AvailableFor() time.Duration {
	if c.lastReadAt.Load() == 0 {
		return 0
	}
	return c.o.Clock.Now() - time.Duration(c.availableSince.Load())
}

// install puts a configuration into the snapshot, unless its version is not
// above the installed one.
func (c *Controller) install(s *config.State) {
	old := c.o.Views.Load().Config
	if s == old || s.Version <= old.Version {
		return
	}
	c.o.Views.Update(func(v *view.View) {
		v.SetConfig(s)
		c.handleEndpoints(v)
	})
	c.o.Log.Info("configuration installed", "version", s.Version, "before", old.Version,
		"routes", len(s.Routes), "teams", len(s.Teams), "keys", len(s.Keys))
}

func (c *Controller) recordWeights(weights map[string]uint64) {
	for model, version := range weights {
		if old := c.WeightVersions()[model]; old != version {
			c.o.Log.Info("weight version changed", "model", model, "version", version, "before", old)
		}
	}
	c.weights.Store(&weights)
}

func (c *Controller) readReplicas(ctx context.Context) error {
	list, err := c.o.Replicas.List(ctx)
	if err != nil {
		return err
	}
	list = c.keepMissing(list)
	if !c.changed(list) && !c.coldChanged(list) && c.o.Views.Load().ReplicasRead() {
		c.o.Views.Inspect(c.handleEndpoints) // never with an older snapshot after a newer one
		return nil
	}
	c.o.Views.Update(func(v *view.View) {
		v.SetReplicas(list)
		c.handleEndpoints(v)
	})
	return nil
}

func (c *Controller) handleEndpoints(v *view.View) {
	if c.o.OnEndpoints != nil {
		c.o.OnEndpoints(v)
	}
}

// coldChanged reports whether any endpoint states another time up to which it is cold
// than in the snapshot.
func (c *Controller) coldChanged(list []infra.Replica) bool {
	previous := map[string]infra.Replica{}
	for _, r := range c.o.Views.Load().Replicas() {
		previous[r.Name] = r
	}
	return slices.ContainsFunc(list, func(r infra.Replica) bool {
		old := previous[r.Name]
		return old.ColdUntil != r.ColdUntil || old.ColdStated != r.ColdStated
	})
}

// recordEvacuated puts the evacuated data centres into the snapshot.
func (c *Controller) recordEvacuated(dataCentres map[string]bool) {
	old := c.o.Views.Load().EvacuatedDataCentres()
	if maps.Equal(old, dataCentres) {
		return
	}
	c.o.Views.Update(func(v *view.View) {
		v.SetEvacuated(dataCentres)
		c.handleEndpoints(v)
	})
	c.o.Scope.Counter("evacuations_changed").Inc(1)
	c.o.Log.Info("evacuated data centres changed", "evacuated", slices.Sorted(maps.Keys(dataCentres)),
		"before", slices.Sorted(maps.Keys(old)))
}

// keepMissing adds to list the endpoints in the snapshot that are missing from
// it shortly after an outage of the store. Their entries expired during the
// outage, and running endpoints register again within reregistrationTime.
func (c *Controller) keepMissing(list []infra.Replica) []infra.Replica {
	now := c.o.Clock.Now()
	if c.lastListedAt > 0 && now-c.lastListedAt > outageThreshold {
		c.keepMissingUntil = now + reregistrationTime
	}
	c.lastListedAt = now
	if now >= c.keepMissingUntil {
		return list
	}
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Name] = true
	}
	for _, r := range c.o.Views.Load().Replicas() {
		if !listed[r.Name] {
			list = append(list, r)
		}
	}
	return list
}

// changed reports whether the endpoints differ from those in the snapshot. It
// logs all differences in one line, because every instance logs every change.
func (c *Controller) changed(list []infra.Replica) bool {
	previous := map[string]infra.Replica{}
	for _, r := range c.o.Views.Load().Replicas() {
		previous[r.Name] = r
	}
	var updated, removed telemetry.Names
	for _, r := range list {
		if old, ok := previous[r.Name]; !ok || !sameReplica(old, r) {
			updated = append(updated, describe(r))
		}
		delete(previous, r.Name)
	}
	for name := range previous {
		removed = append(removed, name)
	}
	if len(updated)+len(removed) == 0 {
		return false
	}
	slices.Sort(removed)
	c.o.Log.Info("endpoints changed", "endpoints", len(list), "seen", updated, "gone", removed)
	return true
}

// describe returns the text for an endpoint in the log: its name, incarnation,
// state and weight versions.
func describe(r infra.Replica) string {
	text := fmt.Sprintf("%s/%d/%s", r.Name, r.Incarnation, r.State)
	for _, model := range slices.Sorted(maps.Keys(r.Weights)) {
		text += fmt.Sprintf("/%s=%d", model, r.Weights[model])
	}
	return text
}

// sameReplica reports whether two entries of an endpoint are equal in the fields
// that the snapshot uses.
func sameReplica(a, b infra.Replica) bool {
	return a.Addr == b.Addr && a.Incarnation == b.Incarnation && a.State == b.State && a.DataCentre == b.DataCentre &&
		sameWeights(a.Weights, b.Weights)
}

func sameWeights(a, b map[string]uint64) bool {
	if len(a) != len(b) {
		return false
	}
	for model, version := range a {
		if b[model] != version {
			return false
		}
	}
	return true
}
