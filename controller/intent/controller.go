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
	// callTimeout bounds one read.
	callTimeout = time.Second
	// returnTime is how long after an outage of the store the entries of living
	// endpoints may still be missing.
	returnTime = 2200 * time.Millisecond
	// outageTime without a read is taken for an outage.
	outageTime = 2 * time.Second
)

// Options says what a Controller works with.
type Options struct {
	Operator infra.Operator
	Replicas infra.Replicas
	Views    *view.Store
	Clock    clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	// Poll is the period between two reads.
	Poll time.Duration
	// Freshness is how long a read counts.
	Freshness time.Duration
	// Regained, if set, is called when the store answers again.
	Regained func()
}

// Controller reads the intent and the endpoints, each once a period.
type Controller struct {
	o Options
	// readAt is when the last successful read of the intent was started, in
	// boot time; zero is never.
	readAt atomic.Int64
	// steadySince is when the store first answered after the last outage.
	steadySince atomic.Int64
	weights     atomic.Pointer[map[string]uint64]
	readNow     chan struct{}
	// listedAt is when the endpoints were last read, and keepUntil until when
	// those that are missing are kept. Only one goroutine uses them.
	listedAt, keepUntil time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	c := &Controller{o: o, readNow: make(chan struct{}, 1)}
	c.weights.Store(&map[string]uint64{})
	return c
}

// Fresh reports whether the configuration in the snapshot is known to be
// current.
func (c *Controller) Fresh(now time.Duration) bool {
	at := time.Duration(c.readAt.Load())
	return at > 0 && now-at < c.o.Freshness
}

// Age is the time since the last successful read was started, and false before
// the first one.
func (c *Controller) Age(now time.Duration) (time.Duration, bool) {
	at := time.Duration(c.readAt.Load())
	return now - at, at > 0
}

// Weights returns the named weight version of each model. It must not be
// changed.
func (c *Controller) Weights() map[string]uint64 { return *c.weights.Load() }

// Run works until ctx ends.
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

// ReadEndpoints has the endpoints read at once.
func (c *Controller) ReadEndpoints() {
	select {
	case c.readNow <- struct{}{}:
	default:
	}
}

// loop calls read once a period, and when now tells to, and logs when it begins or
// ceases to fail.
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
			c.logState(what, err)
		}
		select {
		case <-tick.C:
		case <-now:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) logState(what string, err error) {
	if err != nil {
		c.o.Log.Warn("store lost", "reads", what, "error", err)
		return
	}
	c.o.Log.Info("store regained", "reads", what)
	if c.o.Regained != nil {
		c.o.Regained()
	}
}

func (c *Controller) readIntent(ctx context.Context) error {
	began := c.o.Clock.Now()
	intent, err := c.o.Operator.Read(ctx)
	if err != nil {
		return err
	}
	c.noteWeights(intent.Weights)
	if intent.Config != nil {
		c.install(intent.Config)
		c.noteRead(began)
	}
	return nil
}

// noteRead notes a successful read and whether it ends an outage.
func (c *Controller) noteRead(began time.Duration) {
	before := time.Duration(c.readAt.Swap(int64(began)))
	if before == 0 || began-before > outageTime {
		c.steadySince.Store(int64(c.o.Clock.Now()))
	}
}

// Steady is for how long the store has answered without an outage.
func (c *Controller) Steady() time.Duration {
	if c.readAt.Load() == 0 {
		return 0
	}
	return c.o.Clock.Now() - time.Duration(c.steadySince.Load())
}

// install puts a configuration into the snapshot, never an older one.
func (c *Controller) install(s *config.State) {
	old := c.o.Views.Load().Config
	if s == old || s.Version <= old.Version {
		return
	}
	c.o.Views.Update(func(v *view.View) { v.SetConfig(s) })
	c.o.Log.Info("configuration installed", "version", s.Version, "before", old.Version,
		"routes", len(s.Routes), "teams", len(s.Teams), "keys", len(s.Keys))
}

func (c *Controller) noteWeights(weights map[string]uint64) {
	for model, version := range weights {
		if old := c.Weights()[model]; old != version {
			c.o.Log.Info("weight version named", "model", model, "version", version, "before", old)
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
	if !c.changed(list) {
		return nil
	}
	c.o.Views.Update(func(v *view.View) { v.SetReplicas(list) })
	return nil
}

// keepMissing adds the endpoints that are missing right after an outage of the
// store: their entries lapsed, and are back soon if they live.
func (c *Controller) keepMissing(list []infra.Replica) []infra.Replica {
	now := c.o.Clock.Now()
	if c.listedAt > 0 && now-c.listedAt > outageTime {
		c.keepUntil = now + returnTime
	}
	c.listedAt = now
	if now >= c.keepUntil {
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

// changed reports whether the endpoints differ from those in the snapshot, and
// leaves one line on how: every instance sees every change.
func (c *Controller) changed(list []infra.Replica) bool {
	known := map[string]infra.Replica{}
	for _, r := range c.o.Views.Load().Replicas() {
		known[r.Name] = r
	}
	var seen, gone telemetry.Names
	for _, r := range list {
		if old, ok := known[r.Name]; !ok || !same(old, r) {
			seen = append(seen, described(r))
		}
		delete(known, r.Name)
	}
	for name := range known {
		gone = append(gone, name)
	}
	if len(seen)+len(gone) == 0 {
		return false
	}
	slices.Sort(gone)
	c.o.Log.Info("endpoints changed", "endpoints", len(list), "seen", seen, "gone", gone)
	return true
}

// described is an endpoint as a line of the log names it: its name, incarnation,
// state and weights.
func described(r infra.Replica) string {
	text := fmt.Sprintf("%s/%d/%s", r.Name, r.Incarnation, r.State)
	for _, model := range slices.Sorted(maps.Keys(r.Weights)) {
		text += fmt.Sprintf("/%s=%d", model, r.Weights[model])
	}
	return text
}

// same reports whether an endpoint's entry is as it was, as far as the snapshot
// holds it.
func same(a, b infra.Replica) bool {
	return a.Addr == b.Addr && a.Incarnation == b.Incarnation && a.State == b.State && sameWeights(a.Weights, b.Weights)
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
