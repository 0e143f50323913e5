package configuration

import (
	"testing"

	"github.com/cumincove/cumincove/config"
	"pgregory.net/rapid"
)

// TestRecentChanges adds changes with gaps and repetitions. It checks that
// between returns exactly the changes between two versions, and false only if
// some of them are not buffered.
func TestRecentChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r recent
		for range rapid.IntRange(0, 3*recentChanges).Draw(t, "adds") {
			next := uint64(1)
			if n := len(r.changes); n > 0 {
				next = r.changes[n-1].Version + 1
			}
			jump := rapid.SampledFrom([]uint64{0, 0, 0, 0, 0, 0, 0, 3}).Draw(t, "jump")
			back := rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "back")
			r.add(config.Change{Version: next + jump - min(back, next+jump-1)})
		}
		from := rapid.Uint64Range(0, 400).Draw(t, "from")
		to := rapid.Uint64Range(0, 400).Draw(t, "to")
		list, ok := r.between(from, to)
		if ok && uint64(len(list)) != to-from {
			t.Fatalf("got %d changes from %d to %d", len(list), from, to)
		}
		for i, c := range list {
			if c.Version != from+uint64(i)+1 {
				t.Fatalf("change %d has version %d, starting after %d", i, c.Version, from)
			}
		}
		if n := len(r.changes); n > recentChanges {
			t.Fatalf("%d changes are buffered", n)
		} else if n > 0 && !ok && from < to && from+1 >= r.changes[0].Version && to <= r.changes[n-1].Version {
			t.Fatalf("changes from %d to %d are buffered, but not returned", from, to)
		}
	})
}
