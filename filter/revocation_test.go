package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/view"
)

type alwaysFresh struct{}

func (alwaysFresh) Fresh(time.Duration) bool { return true }

// TestRequestThatDoesNotStopBreaksInvariant checks that a request that continues
// after its key became invalid breaks the invariant exactly once, and that a
// request that ends does not break it.
func TestRequestThatDoesNotStopBreaksInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := 0
		invariant.OnBroken(func(n invariant.Name, _ string) {
			if n == invariant.WithdrawnKeyStops {
				broken++
			}
		})
		defer invariant.OnBroken(nil)
		rv := NewRevocations(RevocationsOptions{Views: view.NewStore(), Freshness: alwaysFresh{}, Clock: clock.NewMonotonic()})
		var stopFirst func()
		stopFirst = rv.OnRevoked("unknown", func(error) { go stopFirst() })
		run := func(d time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			_ = rv.Run(ctx)
		}
		run(10 * time.Second)
		if broken != 0 {
			t.Errorf("invariant broken %d times by a request that ended", broken)
		}
		rv.OnRevoked("unknown", func(error) {})
		run(2 * time.Second)
		if broken != 0 {
			t.Error("invariant broken before maxStopPolls checks")
		}
		run(10 * time.Second)
		if broken != 1 {
			t.Errorf("invariant broken %d times, want once", broken)
		}
	})
}
