package limit

import (
	"fmt"
	"testing"
	"time"
)

// simulate models an endpoint that processes slots requests at once, each for
// the duration work, and queues the others.
func simulate(l *Limiter, slots int, work time.Duration, rounds int) {
	for range rounds {
		n := l.Limit()
		latency := work * time.Duration(max(n, slots)) / time.Duration(slots)
		l.Done(latency, n)
	}
}

func TestLimitFollowsCapacity(t *testing.T) {
	l := New(DefaultOptions())
	for _, slots := range []int{100, 10, 100} {
		simulate(l, slots, 10*time.Millisecond, 20_000)
		// The limit may reach Tolerance times the capacity. Growth and the
		// probes can double that.
		if got := l.limit; got < float64(slots) || got > 3*float64(slots) {
			t.Fatalf("limit %v, capacity %d", got, slots)
		}
	}
	for at := range 30 {
		l.Dropped(time.Duration(at) * time.Second)
	}
	if got := l.Limit(); got != 2 {
		t.Fatalf("limit %d after 30 losses, want the minimum, 2", got)
	}
}

func TestUnusedLimitStaysUnchanged(t *testing.T) {
	l := New(DefaultOptions())
	for range 100 {
		l.Done(time.Millisecond, 1)
	}
	if got := l.Limit(); got != 16 {
		t.Fatalf("limit %d, want the initial limit, 16", got)
	}
}

func ExampleLimiter() {
	l := New(DefaultOptions())
	l.Dropped(0)
	l.Dropped(time.Millisecond) // the same event
	fmt.Println(l.Limit())
	// Output: 11
}
