package scaling

import (
	"testing"
	"time"
)

func TestDesiredCounts(t *testing.T) {
	for _, c := range []struct{ onDemand, most, wantOnDemand, wantCheap int }{
		{3, 6, 3, 3}, {0, 6, 0, 6}, {9, 6, 6, 0},
	} {
		got := DesiredCounts(c.onDemand, c.most)
		if got[OnDemand] != c.wantOnDemand || got[Cheap] != c.wantCheap {
			t.Errorf("DesiredCounts(%d, %d) = %v", c.onDemand, c.most, got)
		}
	}
}

// TestOrdersAreFew checks that an order is sent only after a count was too low for
// minShortTime, and is repeated only after the endpoints had time to start.
// Entries that are missing for a moment cause no order.
func TestOrdersAreFew(t *testing.T) {
	const start = 4 * time.Second
	p, pool := NewPlan(), Pool{"lm", "a", Cheap}
	orders := 0
	for now := time.Duration(0); now < 30*time.Second; now += 500 * time.Millisecond {
		live := 0
		if now == 2*time.Second {
			live = 3 // the entries are present for a moment
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
		t.Error("order is due although the desired count is reached")
	}
	if p.Due(time.Hour, pool, 2, 3) {
		t.Error("order is due as soon as an entry is missing")
	}
}
