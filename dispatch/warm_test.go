package dispatch

import (
	"fmt"
	"testing"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/view"
)

// TestOpenConnectionsAreUsedAgain checks that an instance with twenty endpoints and
// one request at a time opens connections to few of them, and that it uses nearly
// all endpoints when many requests run at a time.
func TestOpenConnectionsAreUsedAgain(t *testing.T) {
	const endpoints = 20
	views := view.NewStore()
	state := config.NewState()
	state.Services["app"] = config.Service{Meta: config.Meta{Name: "app"}}
	var replicas []infra.Replica
	for i := range endpoints {
		replicas = append(replicas, infra.Replica{
			RunningEndpoint: infra.RunningEndpoint{
				Name: fmt.Sprint("e", i), Service: "app", Addr: fmt.Sprint("addr-", i), State: infra.EndpointRunning,
			},
			Slots: 6,
		})
	}
	views.Update(func(v *view.View) { v.SetConfig(state); v.SetReplicas(replicas) })
	idle := map[string]int{}
	d := New(Options{
		Views: views, Clock: clock.NewMonotonic(), Queue: fairqueue.DefaultOptions(), Limit: limit.DefaultOptions(),
		IdleConnections: func(addr string) int { return idle[addr] },
	})
	dials := 0
	begin := func() *Slot {
		slot, err := d.Acquire(t.Context(), Work{Service: "app"})
		if err != nil {
			t.Fatal(err)
		}
		if idle[slot.Endpoint.Addr] > 0 {
			idle[slot.Endpoint.Addr]--
		} else {
			dials++
		}
		return slot
	}
	end := func(slot *Slot) {
		idle[slot.Endpoint.Addr]++
		slot.Done(Answered)
	}
	for range 100 {
		end(begin())
	}
	if dials > 3 {
		t.Errorf("%d connections opened for 100 sequential requests, want at most 3", dials)
	}
	used := map[string]bool{}
	var slots []*Slot
	for range 3 * endpoints {
		slot := begin()
		used[slot.Endpoint.Name] = true
		slots = append(slots, slot)
	}
	for _, slot := range slots {
		end(slot)
	}
	if len(used) < endpoints*9/10 {
		t.Errorf("%d of %d endpoints used by %d concurrent requests", len(used), endpoints, len(slots))
	}
}
