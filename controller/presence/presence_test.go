package presence_test

import (
	"context"
	"io"
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
	views   *view.Store
	leaving atomic.Bool
	urge    func()
	// crash ends it without another word, stop as a shutdown does.
	crash, stop func()
}

// cut is a table that an instance may be cut off from.
type cut struct {
	infra.Table
	off atomic.Bool
}

func (c *cut) Commit(ctx context.Context, ops ...infra.Op) error {
	if c.off.Load() {
		return infra.ErrUnavailable
	}
	return c.Table.Commit(ctx, ops...)
}

func start(t *testing.T, fake *fakeplatform.Platform, name string, incarnation uint64) *instance {
	in := &instance{views: view.NewStore()}
	table := &cut{Table: fake.Platform().Table}
	c := presence.New(presence.Options{
		Table: table, Views: in.views, Clock: clock.NewMonotonic(), Scope: tally.NoopScope,
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		Self:   view.Member{Name: name, Incarnation: incarnation},
		Period: period, Lapse: lapse,
		InFlight: func() int { return 0 }, Leaving: in.leaving.Load,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Run(ctx) })
	in.urge = c.Urge
	in.stop = func() { cancel(); wg.Wait() }
	in.crash = func() { table.off.Store(true); in.stop() }
	return in
}

func (in *instance) members() []string {
	return slices.Sorted(maps.Keys(in.views.Load().Members))
}

func want(t *testing.T, in *instance, names ...string) {
	t.Helper()
	if got := in.members(); !slices.Equal(got, names) {
		t.Errorf("members %v, want %v", got, names)
	}
}

// TestMembers: a crash is noticed after the lapse, a shutdown at once, and a new
// process of the same name by its incarnation.
func TestMembers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		a, b, c := start(t, fake, "a", 1), start(t, fake, "b", 1), start(t, fake, "c", 1)
		defer a.stop()
		time.Sleep(2 * period)
		want(t, a, "a", "b", "c")
		b.leaving.Store(true)
		b.urge()
		time.Sleep(period + time.Millisecond)
		if !a.views.Load().Members["b"].Leaving {
			t.Error("the leaving of b is not seen")
		}
		b.stop()
		time.Sleep(period + time.Millisecond)
		want(t, a, "a", "c")
		c.crash()
		time.Sleep(lapse - period)
		want(t, a, "a", "c")
		time.Sleep(3 * period)
		want(t, a, "a")
		c = start(t, fake, "c", 2)
		defer c.stop()
		time.Sleep(2 * period)
		if got := a.views.Load().Members["c"].Incarnation; got != 2 {
			t.Errorf("incarnation %d, want 2", got)
		}
	})
}

// TestOutage: while the table is down, and right after, nobody is taken for dead.
func TestOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		a, b := start(t, fake, "a", 1), start(t, fake, "b", 1)
		defer a.stop()
		defer b.stop()
		time.Sleep(2 * period)
		fake.SetFaults(fakeplatform.Faults{Down: true})
		for range 60 {
			time.Sleep(period)
			want(t, a, "a", "b")
		}
		fake.SetFaults(fakeplatform.Faults{})
		for range 10 {
			time.Sleep(period / 2)
			want(t, a, "a", "b")
		}
	})
}
