package presence_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/presence"
	"github.com/cumincove/cumincove/controller/teamusage"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/view"
)

const (
	period = time.Second
	lapse  = 4 * time.Second
)

type instance struct {
	views    *view.Store
	leaving  atomic.Bool
	steps    atomic.Pointer[map[string]uint64] // that it runs
	queues   queues
	logLines lineCounter
	write    func() // triggers an immediate write of its row
	// crash ends it without deleting its row, stop shuts it down.
	crash, stop func()
}

// lineCounter counts the lines of a log.
type lineCounter struct{ atomic.Int64 }

func (l *lineCounter) Write(line []byte) (int, error) {
	l.Add(1)
	return len(line), nil
}

// TestMemberChangesOfOneReadAreOneLine checks that an instance logs one line for
// each read that contains changes, when 40 other instances start and later crash
// at the same time.
func TestMemberChangesOfOneReadAreOneLine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		first := start(t, fake.Tables(), "first", 1)
		defer first.stop()
		time.Sleep(2 * period)
		var others []*instance
		for i := range 40 {
			others = append(others, start(t, fake.Tables(), fmt.Sprint("other-", i), 1))
		}
		time.Sleep(3 * period)
		for _, in := range others {
			in.crash()
		}
		time.Sleep(2 * lapse)
		checkMembers(t, first, "first")
		if n := first.logLines.Load(); n < 3 || n > 6 {
			t.Errorf("%d log lines for 40 instances that started and crashed at the same time, want 3 to 6", n)
		}
	})
}

// queues is a fake of an instance's queues. A test sets the services for which
// requests wait.
type queues struct {
	mu       sync.Mutex
	waiting  []string
	sent     int            // usages of a service in reports sent
	received map[string]int // reports received that contain usage, by instance
}

func (q *queues) NewReport(requested []string) teamusage.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	report := teamusage.Report{Waiting: q.waiting}
	for _, service := range requested {
		q.sent++
		report.Usage = map[string][]teamusage.TeamUsage{service: {{Team: "team", Tokens: 9}}}
	}
	return report
}

func (q *queues) HandleReport(instance string, report teamusage.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.received == nil {
		q.received = map[string]int{}
	}
	if len(report.Usage) > 0 {
		q.received[instance]++
	}
}

func (q *queues) wait(services ...string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = services
}

// counts returns how often usage was sent and received since the last call.
func (q *queues) counts() (sent, received int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, n := range q.received {
		received += n
	}
	sent = q.sent
	q.sent, q.received = 0, nil
	return sent, received
}

// TestUsageIsReportedWhileRequested checks that instances report the usage of a
// service by teams while requests for it wait at other instances, and only then.
func TestUsageIsReportedWhileRequested(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		var all []*instance
		for _, name := range []string{"a", "b", "c"} {
			all = append(all, start(t, fake.Tables(), name, 1))
			defer all[len(all)-1].stop()
			time.Sleep(period / 10) // so that their periods start at different times
		}
		a, b := all[0], all[1]
		time.Sleep(5 * period)
		if sent, received := b.queues.counts(); sent+received > 0 {
			t.Errorf("%d usages sent and %d received while no requests wait, want none", sent, received)
		}
		a.queues.wait("tagger")
		time.Sleep(10 * period)
		sent, _ := b.queues.counts()
		_, received := a.queues.counts()
		if sent < 5 || received < 2*5 { // so the first one arrives within the lifetime of a report
			t.Errorf("b sent %d usages and a received %d in 10 periods, want at least 5 and 10", sent, received)
		}
		a.queues.wait()
		time.Sleep(3 * period)
		b.queues.counts()
		time.Sleep(5 * period)
		if sent, _ := b.queues.counts(); sent > 0 {
			t.Errorf("%d usages sent although no requests wait any longer, want none", sent)
		}
	})
}

// cuttableFeed is a feed whose writes fail while off is set.
type cuttableFeed struct {
	infra.Feed
	off atomic.Bool
}

func (c *cuttableFeed) Part(name string) infra.Table { return &cuttablePart{c.Feed.Part(name), c} }

type cuttablePart struct {
	infra.Table
	*cuttableFeed
}

func (c *cuttablePart) Commit(ctx context.Context, ops ...infra.Op) error {
	if c.off.Load() {
		return infra.ErrUnavailable
	}
	return c.Table.Commit(ctx, ops...)
}

func start(t *testing.T, rows infra.Feed, name string, incarnation uint64) *instance {
	in := &instance{views: view.NewStore()}
	feed := &cuttableFeed{Feed: rows}
	c := presence.New(presence.Options{
		Rows: feed, Views: in.views, Clock: clock.NewMonotonic(), Scope: tally.NoopScope,
		Log:    slog.New(slog.NewTextHandler(&in.logLines, nil)),
		Self:   view.Member{Name: name, Incarnation: incarnation},
		Period: period, Lapse: lapse,
		InFlight: func() int { return 0 }, Leaving: in.leaving.Load, Usage: &in.queues,
		Steps: func() map[string]uint64 {
			if steps := in.steps.Load(); steps != nil {
				return *steps
			}
			return nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Run(ctx) })
	in.write = c.WriteNow
	in.stop = func() { cancel(); wg.Wait() }
	in.crash = func() { feed.off.Store(true); in.stop() }
	return in
}

func (in *instance) members() []string {
	return slices.Sorted(maps.Keys(in.views.Load().Members))
}

func checkMembers(t *testing.T, in *instance, names ...string) {
	t.Helper()
	if got := in.members(); !slices.Equal(got, names) {
		t.Errorf("members %v, want %v", got, names)
	}
}

// TestMembers checks that a crash is detected after the lapse, a shutdown within
// a period, and a new process of the same name by its incarnation.
func TestMembers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		a, b, c := start(t, fake.Tables(), "a", 1), start(t, fake.Tables(), "b", 1), start(t, fake.Tables(), "c", 1)
		defer a.stop()
		time.Sleep(2 * period)
		checkMembers(t, a, "a", "b", "c")
		b.leaving.Store(true)
		b.write()
		time.Sleep(period + time.Millisecond)
		if !a.views.Load().Members["b"].Leaving {
			t.Error("a does not list b as leaving")
		}
		b.stop()
		time.Sleep(period + time.Millisecond)
		checkMembers(t, a, "a", "c")
		c.crash()
		time.Sleep(lapse - period)
		checkMembers(t, a, "a", "c")
		time.Sleep(3 * period)
		checkMembers(t, a, "a")
		c = start(t, fake.Tables(), "c", 2)
		defer c.stop()
		time.Sleep(2 * period)
		if got := a.views.Load().Members["c"].Incarnation; got != 2 {
			t.Errorf("incarnation %d, want 2", got)
		}
	})
}

// TestTableOutage checks that no instance is declared down while the table is
// unavailable, and shortly after.
func TestTableOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		a, b := start(t, fake.Tables(), "a", 1), start(t, fake.Tables(), "b", 1)
		defer a.stop()
		defer b.stop()
		time.Sleep(2 * period)
		fake.SetFaults(fakeplatform.Faults{Down: true})
		for range 60 {
			time.Sleep(period)
			checkMembers(t, a, "a", "b")
		}
		fake.SetFaults(fakeplatform.Faults{})
		for range 10 {
			time.Sleep(period / 2)
			checkMembers(t, a, "a", "b")
		}
	})
}

// slowFeed is a feed in which each part executes its transactions one after
// another, each in txTime, and refuses transactions that would wait too long.
type slowFeed struct {
	infra.Feed
	mu sync.Mutex
	// freeAt is when a part has executed all accepted transactions.
	freeAt map[string]time.Time
	txTime time.Duration
}

// maxBacklog is the maximum execution time of a part's waiting transactions.
const maxBacklog = time.Second

func (s *slowFeed) Part(name string) infra.Table { return &slowPart{s.Feed.Part(name), name, s} }

type slowPart struct {
	infra.Table
	name string
	*slowFeed
}

func (p *slowPart) Commit(ctx context.Context, ops ...infra.Op) error {
	p.mu.Lock()
	now := time.Now()
	freeAt := p.freeAt[p.name]
	if freeAt.Before(now) {
		freeAt = now
	}
	wait := freeAt.Sub(now) + p.txTime
	if wait > maxBacklog {
		p.mu.Unlock()
		return infra.ErrUnavailable
	}
	p.freeAt[p.name] = now.Add(wait)
	p.mu.Unlock()
	select {
	case <-time.After(wait):
		return p.Table.Commit(ctx, ops...)
	case <-ctx.Done():
		return infra.ErrUnknownOutcome
	}
}

// TestSlowParts checks that ten instances continue to list each other while the
// store takes 50 times as long as usual for a transaction.
func TestSlowParts(t *testing.T) {
	const instances = 10
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		rows := &slowFeed{Feed: fake.Tables(), freeAt: map[string]time.Time{}, txTime: 250 * time.Millisecond}
		var names []string
		for i := range instances {
			names = append(names, fmt.Sprintf("node-%d", i))
		}
		var all []*instance
		for _, name := range names {
			in := start(t, rows, name, 1)
			defer in.stop()
			all = append(all, in)
		}
		time.Sleep(3 * period)
		for range 60 {
			time.Sleep(period)
			for _, in := range all {
				checkMembers(t, in, names...)
			}
		}
	})
}

// partialOutageFeed is a feed in which writes to half of the parts fail while
// down is set.
type partialOutageFeed struct {
	infra.Feed
	down *atomic.Bool
}

func (f *partialOutageFeed) Part(name string) infra.Table {
	t := f.Feed.Part(name)
	if name >= "08" {
		return t
	}
	return &failingPart{t, f.down}
}

type failingPart struct {
	infra.Table
	down *atomic.Bool
}

func (p *failingPart) Commit(ctx context.Context, ops ...infra.Op) error {
	if p.down.Load() {
		return infra.ErrUnavailable
	}
	return p.Table.Commit(ctx, ops...)
}

// TestHalfTheStoreDown checks that instances continue to list each other while
// half of the store's parts can't be written, and afterwards.
func TestHalfTheStoreDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		var down atomic.Bool
		rows := &partialOutageFeed{fake.Tables(), &down}
		names := []string{"a", "b", "c", "d", "e", "f"}
		var all []*instance
		for _, name := range names {
			in := start(t, rows, name, 1)
			defer in.stop()
			all = append(all, in)
		}
		time.Sleep(2 * period)
		for range 3 {
			down.Store(!down.Load())
			for range 10 {
				time.Sleep(period)
				for _, in := range all {
					checkMembers(t, in, names...)
				}
			}
		}
	})
}

// TestRunningStepsAreReported checks that an instance learns which steps another one
// runs, and forgets them when the other one is down.
func TestRunningStepsAreReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		a, b := start(t, fake.Tables(), "a", 1), start(t, fake.Tables(), "b", 1)
		defer a.stop()
		b.steps.Store(&map[string]uint64{"s": 3})
		time.Sleep(2*period + time.Millisecond)
		if got := a.views.Load().MemberSteps["b"]["s"]; got != 3 {
			t.Errorf("a has version %d of step s at b, want 3", got)
		}
		b.crash()
		time.Sleep(lapse + 2*period)
		if got := a.views.Load().MemberSteps; len(got) != 0 {
			t.Errorf("steps %v are still reported after b is down", got)
		}
	})
}
