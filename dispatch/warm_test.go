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

// TestOpenConnectionsAreUsedAgain: an instance with a request now and then, beside
// twenty endpoints, opens a connection to few of them; with many at a time it uses
// all.
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
		Warm: func(addr string) int { return idle[addr] },
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
		t.Errorf("%d connections for 100 requests, one after another", dials)
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
		t.Errorf("%d of %d endpoints used by %d requests at a time", len(used), endpoints, len(slots))
	}
}
