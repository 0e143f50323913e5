package suspects_test

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/suspects"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/poison"
	"github.com/cumincove/cumincove/view"
)

// listener is one instance, which reads the feed each second.
type listener struct {
	*suspects.Rows
	stop func()

	mu     sync.Mutex
	heard  map[string]poison.Rumour
	forgot []string
}

func (l *listener) Hear(list []poison.Rumour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range list {
		l.heard[r.ID] = r
	}
}

func (l *listener) Forget(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgot = append(l.forgot, ids...)
}

func startListener(t *testing.T, feed infra.Feed, name string) *listener {
	l := &listener{heard: map[string]poison.Rumour{}}
	views := view.NewStore()
	views.Update(func(v *view.View) { v.Members = map[string]view.Member{"a": {Name: "a"}, "b": {Name: "b"}} })
	l.Rows = suspects.NewRows(suspects.RowsOptions{
		Tables: feed, Hearer: l, Views: views, Clock: clock.NewMonotonic(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
		Self: name, Instance: name + "/1",
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = l.Run(ctx) })
	wg.Go(func() { l.read(ctx, feed) })
	l.stop = func() { cancel(); wg.Wait() }
	return l
}

func (l *listener) read(ctx context.Context, feed infra.Feed) {
	var next uint64
	for ctx.Err() == nil {
		if changes, err := feed.Changes(ctx, next); err == nil {
			next = changes.Next
			l.Follow(changes)
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func rumour(id string, crashed bool) poison.Rumour {
	return poison.Rumour{Fingerprint: poison.Of([]byte(id)), ID: id, Endpoint: "e", Incarnation: 3, Crashed: crashed, Alone: true}
}

// TestLossesOutliveTheInstancesThatWroteThem: another instance hears of a loss
// within the period of its reads, of its confirmation as well, and so does one that
// starts when all are gone, with the loss's age.
func TestLossesOutliveTheInstancesThatWroteThem(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed := fakeplatform.New(fakeplatform.Options{}).Tables()
		a, b := startListener(t, feed, "a"), startListener(t, feed, "b")
		time.Sleep(time.Second)
		a.Tell(rumour("a/1/1", false))
		time.Sleep(1100 * time.Millisecond)
		if r, ok := b.heard["a/1/1"]; !ok || r.Crashed || !r.Alone || r.Incarnation != 3 || r.Fingerprint != rumour("a/1/1", false).Fingerprint {
			t.Errorf("b heard %+v", b.heard)
		}
		a.Tell(rumour("a/1/1", true))
		time.Sleep(1100 * time.Millisecond)
		if !b.heard["a/1/1"].Crashed {
			t.Errorf("b heard %+v", b.heard)
		}
		if len(a.heard) > 0 {
			t.Errorf("a hears its own %+v", a.heard)
		}
		a.stop()
		b.stop()
		c := startListener(t, feed, "c")
		defer c.stop()
		time.Sleep(time.Second)
		if !c.heard["a/1/1"].Crashed {
			t.Errorf("c heard %+v", c.heard)
		}
	})
}

// TestLossesAreWrittenAfterAnOutage: with the age that they have by then.
func TestLossesAreWrittenAfterAnOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		a, b := startListener(t, fake.Tables(), "a"), startListener(t, fake.Tables(), "b")
		defer a.stop()
		defer b.stop()
		fake.SetFaults(fakeplatform.Faults{Down: true})
		a.Tell(rumour("a/1/1", true))
		time.Sleep(20 * time.Second)
		fake.SetFaults(fakeplatform.Faults{})
		time.Sleep(3 * time.Second)
		if r, ok := b.heard["a/1/1"]; !ok || r.Age < 19*time.Second || r.Age > 23*time.Second {
			t.Errorf("b heard %+v", b.heard)
		}
	})
}

// TestHarmlessRequestIsForgottenByAll, and what is old is removed.
func TestHarmlessRequestIsForgottenByAll(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed := fakeplatform.New(fakeplatform.Options{}).Tables()
		a, b := startListener(t, feed, "a"), startListener(t, feed, "b")
		defer a.stop()
		defer b.stop()
		a.Tell(rumour("a/1/1", true))
		a.Tell(rumour("a/1/2", true))
		time.Sleep(2 * time.Second)
		b.Retract([]string{"a/1/1"})
		time.Sleep(2 * time.Second)
		if !slices.Contains(a.forgot, "a/1/1") || slices.Contains(a.forgot, "a/1/2") {
			t.Errorf("a forgot %v", a.forgot)
		}
		time.Sleep(12 * time.Minute)
		all, err := feed.Changes(t.Context(), 0)
		if err != nil || len(all.Rows) > 0 {
			t.Errorf("rows left: %v, %v", all.Rows, err)
		}
	})
}
