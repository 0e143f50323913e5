package deduplication_test

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/deduplication"
	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/view"
)

const keep = 20 * time.Second

// TestRowsAreReleasedAndExpire checks claims of two instances while responses and
// requests of the table are lost. The rows of lost claims must be released, and
// all rows must be deleted after they expire.
func TestRowsAreReleasedAndExpire(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		views := view.NewStore()
		views.Update(func(v *view.View) {
			v.Members = map[string]view.Member{"a": {Name: "a"}, "b": {Name: "b"}}
			c := config.NewState()
			c.Services["s"] = config.Service{Deduplicate: true}
			v.SetConfig(c)
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var controllers []*deduplication.Controller
		for _, name := range []string{"a", "b"} {
			c := deduplication.New(deduplication.Options{
				Table: fake.Platform().Table, Views: views, Clock: clock.NewMonotonic(), Self: name,
				Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Keep: keep,
			})
			controllers = append(controllers, c)
			wg.Go(func() { _ = c.Run(ctx) })
		}
		claim := func(i int, id string, want dedup.Verdict) func(dedup.State, *dedup.Answer) {
			t.Helper()
			d, finish := controllers[i].Claim(ctx, dedup.Request{ID: id, Digest: "d", Until: time.Now().Add(time.Minute)})
			if d.Verdict != want {
				t.Fatalf("ID %s at instance %d: verdict %v, want %v", id, i, d.Verdict, want)
			}
			return finish
		}
		time.Sleep(time.Second)

		// Four transactions are in progress while twelve claims of one ID wait.
		fake.SetFaults(fakeplatform.Faults{Slow: 100 * time.Millisecond})
		var claims sync.WaitGroup
		var acquired atomic.Int64
		for _, id := range strings.Split("k l m n s s s s s s s s s s s s", " ") {
			claims.Go(func() {
				d, _ := controllers[0].Claim(ctx, dedup.Request{ID: id, Digest: "d"})
				if d.Verdict == dedup.Acquired {
					acquired.Add(1)
				}
			})
			time.Sleep(time.Millisecond)
		}
		claims.Wait()
		if acquired.Load() != 5 {
			t.Errorf("%d claims for 5 IDs succeeded, want 5", acquired.Load())
		}

		fake.SetFaults(fakeplatform.Faults{LoseResponses: 1})
		finish := claim(0, "lost answer", dedup.Acquired)
		finish(dedup.Ran, nil)
		claim(1, "lost answer", dedup.Duplicate)

		fake.SetFaults(fakeplatform.Faults{SlowResponse: 3 * time.Second})
		claim(0, "lost claim", dedup.Unavailable)
		if len(fake.Rows("dedup/row/")) != 7 {
			t.Fatal("claim whose response came too late took no effect")
		}
		fake.SetFaults(fakeplatform.Faults{Down: true})
		claim(0, "down", dedup.Unavailable)
		fake.SetFaults(fakeplatform.Faults{LoseResponses: 2})
		time.Sleep(time.Second)
		fake.SetFaults(fakeplatform.Faults{})
		time.Sleep(10 * time.Second) // the lost claim is released
		for _, id := range []string{"lost claim", "down"} {
			claim(1, id, dedup.Acquired)(dedup.Released, nil)
			time.Sleep(time.Second)
			claim(0, id, dedup.Acquired)
		}

		time.Sleep(4 * keep)
		if rows := fake.Rows("dedup/row/"); len(rows) > 0 {
			t.Errorf("%d rows left after they expired, want 0", len(rows))
		}
		claim(1, "lost answer", dedup.Acquired)
		cancel()
		wg.Wait()
	})
}
