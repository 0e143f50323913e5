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
	"github.com/cumincove/cumincove/controller/speeds"
	"github.com/cumincove/cumincove/controller/teamusage"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/telemetry"
	"github.com/cumincove/cumincove/view"
)

// callTimeout bounds a call to the table.
const callTimeout = time.Second

// Options are the settings and dependencies of a Controller.
type Options struct {
	// Rows is the table with the instances' rows, distributed over parts.
	Rows  infra.Feed
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Self describes this instance.
	Self view.Member
	// Period is the time between two writes. An instance whose row is unchanged
	// for longer than Lapse is down.
	Period time.Duration
	Lapse  time.Duration
	// InFlight returns the number of requests in flight at this instance, and
	// Leaving whether it is leaving. They are called before each write, and so is
	// Steps.
	InFlight func() int
	Leaving  func() bool
	// Steps returns the rollout steps that this instance runs. See view.View.
	Steps func() map[string]uint64
	// Usage provides the usage by teams at this instance, and receives that at the
	// other instances.
	Usage UsageReporter
	// Speeds provides the speeds of endpoints as measured by this instance, and
	// receives those of the other instances; nil disables both.
	Speeds SpeedReporter
	// OnChanges, if set, is called with all changes that are read, so that the
	// feed can contain rows of other kinds, too.
	OnChanges func(infra.Changes)
	// OnMembers, if set, is called after each read that was started at readAt, with
	// the names of the live instances that are not leaving. This instance is among
	// them only if its own current row was read.
	OnMembers func(readAt time.Duration, names []string)
}

// UsageReporter reports and receives the usage of services by teams.
type UsageReporter interface {
	// NewReport returns this instance's report. It contains the usage of the
	// services in requested, for which requests wait at other instances.
	NewReport(requested []string) teamusage.Report
	// HandleReport handles the report of another instance.
	HandleReport(instance string, report teamusage.Report)
}

// SpeedReporter reports and receives the speeds of endpoints.
type SpeedReporter interface {
	NewReport() speeds.Report
	// HandleReport handles the report of another instance.
	HandleReport(instance string, report speeds.Report)
}

// noSpeeds is a SpeedReporter that reports nothing.
type noSpeeds struct{}

func (noSpeeds) NewReport() speeds.Report           { return nil }
func (noSpeeds) HandleReport(string, speeds.Report) {}

// Controller writes this instance's row and reads those of the other instances.
type Controller struct {
	o Options
	// tables are the two parts that can contain this instance's row. The first
	// one is the part that is currently written.
	tables    [2]infra.Table
	heartbeat uint64
	// rows are the rows by instance, as read up to position next of the feed.
	rows     map[string]row
	next     uint64
	observed map[string]observation // by instance
	wake     chan struct{}          // triggers an immediate write
	lastRead atomic.Int64           // when the rows were last read, by Options.Clock
	synced   atomic.Bool
}

// observation is a row and the time since which it is unchanged.
type observation struct {
	row   row
	since time.Duration
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Speeds == nil {
		o.Speeds = noSpeeds{}
	}
	names := RowParts(o.Self.Name)
	return &Controller{
		o: o, tables: [2]infra.Table{o.Rows.Part(names[0]), o.Rows.Part(names[1])},
		rows: map[string]row{}, observed: map[string]observation{}, wake: make(chan struct{}, 1),
	}
}

// Synced reports whether the rows have been read at least once.
func (c *Controller) Synced() bool { return c.synced.Load() }

// Age returns the time since the rows were last read.
func (c *Controller) Age() time.Duration {
	return c.o.Clock.Now() - time.Duration(c.lastRead.Load())
}

// WriteNow triggers an immediate write of this instance's row.
func (c *Controller) WriteNow() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes and reads rows until ctx ends, and then deletes this instance's row.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(c.o.Period)
	defer tick.Stop()
	for ctx.Err() == nil {
		c.write(ctx)
		c.read(ctx)
		select {
		case <-tick.C:
		case <-c.wake:
		case <-ctx.Done():
		}
	}
	c.remove(context.WithoutCancel(ctx))
	return nil
}

// remove deletes this instance's row from both parts that can contain it.
func (c *Controller) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, t := range c.tables {
		if err := t.Commit(ctx, infra.Delete(rowPrefix+c.o.Self.Name)); err != nil {
			c.o.Log.Warn("failed to delete own member row", "error", err)
		}
	}
}

func (c *Controller) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.heartbeat++
	r := row{
		Incarnation: c.o.Self.Incarnation,
		Heartbeat:   c.heartbeat,
		DataCentre:  c.o.Self.DataCentre,
		PeerAddr:    c.o.Self.PeerAddr,
		CallerAddr:  c.o.Self.CallerAddr,
		Leaving:     c.o.Leaving(),
		InFlight:    c.o.InFlight(),
		Size:        c.o.Self.Size,
		Streams:     c.streams(),
		Steps:       c.o.Steps(),
		Speeds:      c.o.Speeds.NewReport(),
		Report:      c.o.Usage.NewReport(c.requestedServices()),
	}
	value, err := json.Marshal(r)
	if err != nil {
		c.o.Log.Error("failed to encode own member row", "error", err)
		return
	}
	if err := c.tables[0].Commit(ctx, infra.Put(rowPrefix+c.o.Self.Name, value)); err != nil {
		c.tables[0], c.tables[1] = c.tables[1], c.tables[0]
		c.o.Scope.Counter("member_writes_failed").Inc(1)
		c.o.Log.Debug("failed to write own member row", "error", err)
	}
}

// requestedServices returns the services for which requests wait at other live
// instances.
func (c *Controller) requestedServices() []string {
	var list []string
	live := c.o.Views.Load().Members
	for name, r := range c.rows {
		if _, ok := live[name]; ok && name != c.o.Self.Name {
			list = append(list, r.Waiting...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// streams returns this instance's requests in flight by endpoint.
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
	started := c.o.Clock.Now()
	changes, err := c.o.Rows.Changes(ctx, c.next)
	now := c.o.Clock.Now()
	if err != nil {
		c.o.Scope.Counter("member_reads_failed").Inc(1)
		c.o.Log.Debug("failed to read member rows", "error", err)
		return
	}
	c.apply(changes)
	if c.o.OnChanges != nil {
		c.o.OnChanges(changes)
	}
	c.observe(now)
	c.publish(now)
	if c.o.OnMembers != nil {
		c.o.OnMembers(started, c.stayingMembers(now))
	}
	c.synced.Store(true)
}

// stayingMembers returns the names of the instances whose rows show that they are
// alive and not leaving.
func (c *Controller) stayingMembers(now time.Duration) []string {
	var names []string
	for name, s := range c.observed {
		self := name == c.o.Self.Name
		switch {
		case now-s.since > c.o.Lapse, s.row.Leaving:
		case self && (s.row.Incarnation != c.o.Self.Incarnation || c.o.Leaving()):
		default:
			names = append(names, name)
		}
	}
	return names
}

// observe records which rows changed, and passes the reports of changed rows on.
// After a gap in the reads, every row counts as unchanged only since now, so that
// no instance is declared down because of the gap.
func (c *Controller) observe(now time.Duration) {
	gap := now-time.Duration(c.lastRead.Swap(int64(now))) > 2*c.o.Period+callTimeout
	for name := range c.observed {
		if _, ok := c.rows[name]; !ok {
			delete(c.observed, name)
		}
	}
	for name, r := range c.rows {
		old, ok := c.observed[name]
		same := ok && old.row.Heartbeat == r.Heartbeat && old.row.Incarnation == r.Incarnation
		if !same || gap {
			c.observed[name] = observation{row: r, since: now}
		}
		if !same && name != c.o.Self.Name {
			c.o.Usage.HandleReport(name, r.Report)
			c.o.Speeds.HandleReport(name, r.Speeds)
		}
	}
}

// publish updates the snapshot with the live instances and with the requests
// that they have in flight at endpoints.
func (c *Controller) publish(now time.Duration) {
	members := map[string]view.Member{}
	steps := map[string]map[string]uint64{}
	remote := map[string]int{}
	for name, s := range c.observed {
		if now-s.since > c.o.Lapse {
			continue
		}
		m := s.row.member(name)
		m.HeartbeatAt = s.since
		members[name] = m
		if name == c.o.Self.Name {
			continue
		}
		if len(s.row.Steps) > 0 {
			steps[name] = s.row.Steps
		}
		for endpoint, n := range s.row.Streams {
			remote[endpoint] += n
		}
	}
	self := c.o.Self
	self.HeartbeatAt = now
	self.Leaving = c.o.Leaving()
	self.InFlight = c.o.InFlight()
	members[self.Name] = self
	old := c.o.Views.Load()
	c.logChanges(old.Members, members)
	c.o.Views.Update(func(v *view.View) {
		v.Members, v.MembersAt, v.MemberSteps = members, now, steps
		v.SetLoad(loadReports(v, remote, now))
	})
}

// loadReports returns a load report for each endpoint, from this instance's own
// requests in flight and those that the other instances reported.
func loadReports(v *view.View, remote map[string]int, now time.Duration) map[string]view.LoadReport {
	list := make(map[string]view.LoadReport, len(v.AllEndpoints()))
	for name, e := range v.AllEndpoints() {
		own := int(e.Stats.InFlight.Load())
		r := view.LoadReport{At: now, OwnInFlight: own}
		r.Load.Running = remote[name] + own
		r.Load.MaxRunning = e.Slots
		list[name] = r
	}
	return list
}

// logChanges logs all changes of one read in a single line, to limit the log's
// size: every instance observes every change of every other instance.
func (c *Controller) logChanges(before, after map[string]view.Member) {
	var updated, removed telemetry.Names
	for name, m := range after {
		old, ok := before[name]
		switch {
		case !ok || old.Incarnation != m.Incarnation:
			updated = append(updated, fmt.Sprintf("%s/%d", name, m.Incarnation))
		case !old.Leaving && m.Leaving:
			updated = append(updated, name+"/leaving")
		}
	}
	for name, m := range before {
		if _, ok := after[name]; !ok {
			removed = append(removed, fmt.Sprintf("%s/%d", name, m.Incarnation))
		}
	}
	if len(updated)+len(removed) == 0 {
		return
	}
	slices.Sort(updated)
	slices.Sort(removed)
	c.o.Log.Info("members changed", "members", len(after), "seen", updated, "gone", removed)
}
