package presence

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/use"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/telemetry"
	"github.com/cumincove/cumincove/view"
)

// callTimeout bounds a call of the table.
const callTimeout = time.Second

// Options says what a Controller works with.
type Options struct {
	// Rows hold the instances' rows, spread over parts.
	Rows  infra.Feed
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Self describes this instance.
	Self view.Member
	// Period is the time between two writes, and Lapse how long a row may stay
	// unchanged.
	Period time.Duration
	Lapse  time.Duration
	// InFlight and Leaving are asked before each write.
	InFlight func() int
	Leaving  func() bool
	// Use tells the other instances what teams use here, and is told what they use
	// there.
	Use Uses
	// Follow, if set, is shown all changes that are read, so that rows of other
	// kinds may lie beside these.
	Follow func(infra.Changes)
}

// Uses are what teams use of services.
type Uses interface {
	// Say returns this instance's word, given the services whose use others want.
	Say(wanted []string) use.Word
	// Hear takes the word of another instance.
	Hear(instance string, w use.Word)
}

// Controller writes this instance's row and follows the others'.
type Controller struct {
	o Options
	// own are the tables that this instance's row may lie in, the one that is
	// written now first.
	own  [2]infra.Table
	beat uint64
	// rows are as last read, up to position next of the feed.
	rows   map[string]row
	next   uint64
	seen   map[string]sighting
	urge   chan struct{}
	lastOK atomic.Int64 // when the rows were last read, in time of the clock
	synced atomic.Bool
}

// sighting is a row and since when it is unchanged.
type sighting struct {
	row   row
	since time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	homes := Homes(o.Self.Name)
	return &Controller{
		o: o, own: [2]infra.Table{o.Rows.Part(homes[0]), o.Rows.Part(homes[1])},
		rows: map[string]row{}, seen: map[string]sighting{}, urge: make(chan struct{}, 1),
	}
}

// Synced reports whether the rows were read at least once.
func (c *Controller) Synced() bool { return c.synced.Load() }

// Age is the time since the rows were last read.
func (c *Controller) Age() time.Duration {
	return c.o.Clock.Now() - time.Duration(c.lastOK.Load())
}

// Urge has this instance's row written at once.
func (c *Controller) Urge() {
	select {
	case c.urge <- struct{}{}:
	default:
	}
}

// Run works until ctx ends, and then removes this instance's row.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(c.o.Period)
	defer tick.Stop()
	for ctx.Err() == nil {
		c.write(ctx)
		c.read(ctx)
		select {
		case <-tick.C:
		case <-c.urge:
		case <-ctx.Done():
		}
	}
	c.remove(context.WithoutCancel(ctx))
	return nil
}

// remove removes this instance's row, from wherever it was written.
func (c *Controller) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, t := range c.own {
		if err := t.Commit(ctx, infra.Delete(prefix+c.o.Self.Name)); err != nil {
			c.o.Log.Warn("member row not removed", "error", err)
		}
	}
}

func (c *Controller) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.beat++
	r := row{
		Incarnation: c.o.Self.Incarnation,
		Beat:        c.beat,
		DataCentre:  c.o.Self.DataCentre,
		PeerAddr:    c.o.Self.PeerAddr,
		CallerAddr:  c.o.Self.CallerAddr,
		Leaving:     c.o.Leaving(),
		InFlight:    c.o.InFlight(),
		Size:        c.o.Self.Size,
		Streams:     c.streams(),
		Word:        c.o.Use.Say(c.wanted()),
	}
	value, err := json.Marshal(r)
	if err != nil {
		c.o.Log.Error("member row not encoded", "error", err)
		return
	}
	if err := c.own[0].Commit(ctx, infra.Put(prefix+c.o.Self.Name, value)); err != nil {
		c.own[0], c.own[1] = c.own[1], c.own[0]
		c.o.Scope.Counter("member_writes_failed").Inc(1)
		c.o.Log.Debug("member row not written", "error", err)
	}
}

// wanted lists the services in which requests wait at other living instances.
func (c *Controller) wanted() []string {
	var list []string
	living := c.o.Views.Load().Members
	for name, r := range c.rows {
		if _, ok := living[name]; ok && name != c.o.Self.Name {
			list = append(list, r.Waiting...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// streams counts what this instance has at endpoints.
func (c *Controller) streams() map[string]int {
	counts := map[string]int{}
	for name, e := range c.o.Views.Load().AllEndpoints() {
		if n := e.Stats.InFlight.Load(); n > 0 {
			counts[name] = int(n)
		}
	}
	return counts
}

func (c *Controller) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := c.o.Rows.Changes(ctx, c.next)
	now := c.o.Clock.Now()
	if err != nil {
		c.o.Scope.Counter("member_reads_failed").Inc(1)
		c.o.Log.Debug("member rows not read", "error", err)
		return
	}
	c.apply(changes)
	if c.o.Follow != nil {
		c.o.Follow(changes)
	}
	c.take(now)
	c.publish(now)
	c.synced.Store(true)
}

// take notes which rows changed. After a time without reads every row gets its
// full time again.
func (c *Controller) take(now time.Duration) {
	gap := now-time.Duration(c.lastOK.Swap(int64(now))) > 2*c.o.Period+callTimeout
	for name := range c.seen {
		if _, ok := c.rows[name]; !ok {
			delete(c.seen, name)
		}
	}
	for name, r := range c.rows {
		old, ok := c.seen[name]
		same := ok && old.row.Beat == r.Beat && old.row.Incarnation == r.Incarnation
		if !same || gap {
			c.seen[name] = sighting{row: r, since: now}
		}
		if !same && name != c.o.Self.Name {
			c.o.Use.Hear(name, r.Word)
		}
	}
}

// publish puts the living into the snapshot, and what they have at endpoints.
func (c *Controller) publish(now time.Duration) {
	members := map[string]view.Member{}
	others := map[string]int{}
	for name, s := range c.seen {
		if now-s.since > c.o.Lapse {
			continue
		}
		m := s.row.member(name)
		m.HeardAt = s.since
		members[name] = m
		if name == c.o.Self.Name {
			continue
		}
		for endpoint, n := range s.row.Streams {
			others[endpoint] += n
		}
	}
	self := c.o.Self
	self.HeardAt = now
	self.Leaving = c.o.Leaving()
	self.InFlight = c.o.InFlight()
	members[self.Name] = self
	before := c.o.Views.Load()
	c.logChanges(before.Members, members)
	c.o.Views.Update(func(v *view.View) {
		v.Members, v.MembersAt = members, now
		v.SetLoad(reports(v, others, now))
	})
}

// reports makes a load report of what the others say for each endpoint.
func reports(v *view.View, others map[string]int, now time.Duration) map[string]view.LoadReport {
	list := make(map[string]view.LoadReport, len(v.AllEndpoints()))
	for name, e := range v.AllEndpoints() {
		own := int(e.Stats.InFlight.Load())
		r := view.LoadReport{At: now, Own: own}
		r.Load.Running = others[name] + own
		r.Load.MaxRunning = e.Slots
		list[name] = r
	}
	return list
}

// logChanges leaves one line for all that a read brought: every instance sees every
// change of every other.
func (c *Controller) logChanges(before, after map[string]view.Member) {
	var seen, gone telemetry.Names
	for name, m := range after {
		old, ok := before[name]
		switch {
		case !ok || old.Incarnation != m.Incarnation:
			seen = append(seen, fmt.Sprintf("%s/%d", name, m.Incarnation))
		case !old.Leaving && m.Leaving:
			seen = append(seen, name+"/leaving")
		}
	}
	for name, m := range before {
		if _, ok := after[name]; !ok {
			gone = append(gone, fmt.Sprintf("%s/%d", name, m.Incarnation))
		}
	}
	if len(seen)+len(gone) == 0 {
		return
	}
	slices.Sort(seen)
	slices.Sort(gone)
	c.o.Log.Info("members changed", "members", len(after), "seen", seen, "gone", gone)
}
