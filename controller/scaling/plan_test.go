package scaling

import (
	"testing"
	"time"
)

func TestWanted(t *testing.T) {
	for _, c := range []struct{ onDemand, most, wantOnDemand, wantCheap int }{
		{3, 6, 3, 3}, {0, 6, 0, 6}, {9, 6, 6, 0},
	} {
		got := Wanted(c.onDemand, c.most)
		if got[OnDemand] != c.wantOnDemand || got[Cheap] != c.wantCheap {
			t.Errorf("Wanted(%d, %d) = %v", c.onDemand, c.most, got)
		}
	}
}

// TestOrdersAreFew: a count that is short is ordered once it stayed so, and again
// only after the endpoints had time to start; entries that are missing for a
// moment order nothing.
func TestOrdersAreFew(t *testing.T) {
	const start = 4 * time.Second
	p, pool := NewPlan(), Pool{"lm", "a", Cheap}
	orders := 0
	for now := time.Duration(0); now < 30*time.Second; now += 500 * time.Millisecond {
		live := 0
		if now == 2*time.Second {
			live = 3 // the entries are back for a moment
		}
		if p.Due(now, pool, live, 3) {
			orders++
			p.Ordered(now, pool, start)
		}
	}
	if orders != 5 { // after 1.5 s, and then each 7 s
		t.Errorf("%d orders in 30 s, want 5", orders)
	}
	if p.Due(time.Minute, pool, 3, 3) || p.Due(time.Minute, pool, 4, 3) {
		t.Error("an order for what is there")
	}
	if p.Due(time.Hour, pool, 2, 3) {
		t.Error("an order at the first sight of a missing entry")
	}
}
