package membership

import (
	"testing"
	"time"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// TestRolloutWorkIsCounted checks the number of instances by which the capacity
// for rollout work is divided. An instance that just got rollout work divides by
// all instances at first. Another instance counts it within two periods of
// exchanges. A suspect is counted, too.
func TestRolloutWorkIsCounted(t *testing.T) {
	clk := &fakeClock{now: time.Second}
	work := map[string]int{}
	var list []*Controller
	for _, name := range []string{"a", "b", "c"} {
		o := connectionOptions(name, nil)
		o.Self, o.Clock, o.Views = infra.Instance{Name: name}, clk, view.NewStore()
		o.Demand = func() (map[capacity.ServiceID]capacity.Load, bool) {
			return map[capacity.ServiceID]capacity.Load{1: {Rollout: work[name]}}, work[name] > 0
		}
		list = append(list, New(o))
	}
	a, b := list[0], list[1]
	// pass runs the instances for the time d and returns the number by which the
	// first one divides.
	pass := func(d time.Duration) int {
		for end := clk.now + d; clk.now < end; clk.now += tickPeriod {
			for i, c := range list {
				peer := list[(i+1)%len(list)]
				c.setState()
				if clk.now%gossip.DefaultPeriod == 0 {
					c.node.HandleReply(clk.now, peer.node.HandleRequest(clk.now, c.node.Request(peer.o.Self.Name)))
				}
				c.publish()
			}
		}
		return a.o.Views.Load().RolloutSharers()
	}
	check := func(step string, got, want int) {
		if got != want {
			t.Errorf("%s: divided by %d, want %d", step, got, want)
		}
	}
	check("no work", pass(5*time.Second), 3)
	work["a"] = 1
	check("work started", pass(time.Second/2), 3)
	check("one instance with work", pass(time.Second+2*tickPeriod), 1)
	work["b"] = 1
	check("second instance started", pass(2*gossip.DefaultPeriod), 2)
	check("at the second instance, just started", b.o.Views.Load().RolloutSharers(), 3)
	work["b"] = 0
	check("second instance ended", pass(3*time.Second), 1)
	a.node.ExchangeFailed(clk.now, "c")
	clk.now += rolloutPeriod
	a.countSharers(a.node.Members())
	check("one instance is suspect", a.sharers, 2)
}
