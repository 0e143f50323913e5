package usage

import (
	"testing"
	"time"
)

// TestWindows checks that a request counts in the window in which it started,
// regardless of when the counts are drained.
func TestWindows(t *testing.T) {
	w := NewWindowCounter(5)
	for _, at := range []int64{10, 14, 15} {
		w.CountStarted("wells", time.Unix(at, 999_000_000))
	}
	counts := w.drain()
	if counts[10]["wells"].Requests != 2 || counts[15]["wells"].Requests != 1 || len(counts) != 2 {
		t.Errorf("counts %v, want two requests in window 10 and one in window 15", counts)
	}
	if len(w.drain()) != 0 {
		t.Error("the second drain returned counts again")
	}
}
