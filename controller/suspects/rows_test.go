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

// testInstance runs the Rows of one instance and reads the feed every second.
type testInstance struct {
	*suspects.Rows
	stop func()

	mu        sync.Mutex
	received  map[string]poison.LossReport
	forgotten []string
}

func (i *testInstance) HandleReports(list []poison.LossReport) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range list {
		i.received[r.ID] = r
	}
}

func (i *testInstance) Forget(ids []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forgotten = append(i.forgotten, ids...)
}

func startInstance(t *testing.T, feed infra.Feed, name string) *testInstance {
	i := &testInstance{received: map[string]poison.LossReport{}}
	views := view.NewStore()
	views.Update(func(v *view.View) { v.Members = map[string]view.Member{"a": {Name: "a"}, "b": {Name: "b"}} })
	i.Rows = suspects.NewRows(suspects.RowsOptions{
		Tables: feed, Receiver: i, Views: views, Clock: clock.NewMonotonic(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
		Self: name, IDPrefix: name + "/1",
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = i.Run(ctx) })
	wg.Go(func() { i.poll(ctx, feed) })
	i.stop = func() { cancel(); wg.Wait() }
	return i
}

func (i *testInstance) poll(ctx context.Context, feed infra.Feed) {
	var next uint64
	for ctx.Err() == nil {
		if changes, err := feed.Changes(ctx, next); err == nil {
			next = changes.Next
			i.HandleChanges(changes)
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func lossReport(id string, crashed bool) poison.LossReport {
	return poison.LossReport{Fingerprint: poison.NewFingerprint([]byte(id)), ID: id, Endpoint: "e", Incarnation: 3, Crashed: crashed, Isolated: true}
}

// TestLossesOutliveTheInstancesThatWroteThem checks that another instance
// receives a loss, and its confirmation as a crash, within the period of its
// reads, and that an instance that starts after all others have stopped receives
// the loss too.
func TestLossesOutliveTheInstancesThatWroteThem(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed := fakeplatform.New(fakeplatform.Options{}).Tables()
		a, b := startInstance(t, feed, "a"), startInstance(t, feed, "b")
		time.Sleep(time.Second)
		a.Report(lossReport("a/1/1", false))
		time.Sleep(1100 * time.Millisecond)
		if r, ok := b.received["a/1/1"]; !ok || r.Crashed || !r.Isolated || r.Incarnation != 3 || r.Fingerprint != lossReport("a/1/1", false).Fingerprint {
			t.Errorf("b received %+v", b.received)
		}
		a.Report(lossReport("a/1/1", true))
		time.Sleep(1100 * time.Millisecond)
		if !b.received["a/1/1"].Crashed {
			t.Errorf("b received %+v", b.received)
		}
		if len(a.received) > 0 {
			t.Errorf("a received its own loss %+v", a.received)
		}
		a.stop()
		b.stop()
		c := startInstance(t, feed, "c")
		defer c.stop()
		time.Sleep(time.Second)
		if !c.received["a/1/1"].Crashed {
			t.Errorf("c received %+v", c.received)
		}
	})
}

// TestLossAgeIncludesStoreOutage checks that a loss that is written after an
// outage of the table has the age that it has at the time of the write.
func TestLossAgeIncludesStoreOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		a, b := startInstance(t, fake.Tables(), "a"), startInstance(t, fake.Tables(), "b")
		defer a.stop()
		defer b.stop()
		fake.SetFaults(fakeplatform.Faults{Down: true})
		a.Report(lossReport("a/1/1", true))
		time.Sleep(20 * time.Second)
		fake.SetFaults(fakeplatform.Faults{})
		time.Sleep(3 * time.Second)
		if r, ok := b.received["a/1/1"]; !ok || r.Age < 19*time.Second || r.Age > 23*time.Second {
			t.Errorf("b received %+v", b.received)
		}
	})
}

// TestRetractedLossIsForgottenByAll checks that all instances forget a loss
// after one of them retracts it, and that expired rows are removed.
func TestRetractedLossIsForgottenByAll(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		feed := fakeplatform.New(fakeplatform.Options{}).Tables()
		a, b := startInstance(t, feed, "a"), startInstance(t, feed, "b")
		defer a.stop()
		defer b.stop()
		a.Report(lossReport("a/1/1", true))
		a.Report(lossReport("a/1/2", true))
		time.Sleep(2 * time.Second)
		b.Retract([]string{"a/1/1"})
		time.Sleep(2 * time.Second)
		if !slices.Contains(a.forgotten, "a/1/1") || slices.Contains(a.forgotten, "a/1/2") {
			t.Errorf("a forgot %v, want only a/1/1", a.forgotten)
		}
		time.Sleep(12 * time.Minute)
		all, err := feed.Changes(t.Context(), 0)
		if err != nil || len(all.Rows) > 0 {
			t.Errorf("rows left: %v, %v", all.Rows, err)
		}
	})
}
