package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/view"
)

func newTestDispatcher(t *testing.T) (*Dispatcher, []*view.Endpoint) {
	t.Helper()
	s := newDispatchSimulation(scenario{}, simSeed)
	s.dispatchPolicy()
	d := s.dispatchers[0]
	return d, s.views[0].Load().Endpoints["s"]
}

// TestRolloutStreamsUseNoInteractiveSlots checks that rollout streams at every
// endpoint do not make interactive requests wait.
func TestRolloutStreamsUseNoInteractiveSlots(t *testing.T) {
	d, endpoints := newTestDispatcher(t)
	for _, e := range endpoints {
		e.Stats.InFlight.Add(1_000)
	}
	if _, err := d.Acquire(t.Context(), Work{Service: "s", Team: "a", Deadline: simDeadline}); err != nil {
		t.Fatal(err)
	}
	if n := d.service("s").waiting.Load(); n != 0 {
		t.Fatalf("%d requests wait, want 0", n)
	}
}

// TestIsolatedEndpointGetsNoOtherWork checks that an endpoint gets no other work
// while an isolated slot is in use there, and gets work again afterwards.
func TestIsolatedEndpointGetsNoOtherWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, endpoints := newTestDispatcher(t)
		work := Work{Service: "s", Team: "a", Deadline: simDeadline}
		slot, err := d.AcquireIsolated(t.Context(), work)
		if err != nil {
			t.Fatal(err)
		}
		counts := map[string]int{}
		for range len(endpoints) * 10 {
			other, err := d.Acquire(t.Context(), work)
			if err != nil {
				t.Fatal(err)
			}
			counts[other.Endpoint.Name]++
		}
		if counts[slot.Endpoint.Name] > 0 || len(counts) != len(endpoints)-1 {
			t.Fatalf("isolated slot at %s, other slots at %v", slot.Endpoint.Name, counts)
		}
		slot.Done(Answered)
		for range 200 {
			other, err := d.Acquire(t.Context(), work)
			if err == nil && other.Endpoint == slot.Endpoint {
				return
			}
		}
		t.Fatal("the endpoint gets no work after the isolated slot was released")
	})
}

// TestAbsentEndpointGetsNothingForAWhile checks that absent endpoints get no work,
// also when all endpoints are absent, and are tried again after absentCooldown.
func TestAbsentEndpointGetsNothingForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, endpoints := newTestDispatcher(t)
		work := Work{Service: "s", Team: "a", Deadline: simDeadline}
		absent := map[string]bool{}
		for range endpoints {
			slot, err := d.Acquire(t.Context(), work)
			if err != nil {
				t.Fatal(err)
			}
			if absent[slot.Endpoint.Name] {
				t.Fatalf("endpoint %s is absent and gets more work", slot.Endpoint.Name)
			}
			absent[slot.Endpoint.Name] = true
			slot.Done(Absent)
		}
		startTime := time.Now()
		slot, err := d.Acquire(t.Context(), work)
		if err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(startTime); waited < absentCooldown || waited > 2*absentCooldown {
			t.Errorf("waited %v while all endpoints were absent", waited)
		}
		slot.Done(Answered)
	})
}

// TestSelectionDoesNotQueue checks that work which only one of nine endpoints can
// do goes to no other endpoint, and is refused at once when that endpoint is full.
func TestSelectionDoesNotQueue(t *testing.T) {
	d, endpoints := newTestDispatcher(t)
	report := map[string]view.LoadReport{endpoints[3].Name: {Load: engine.Load{WeightVersion: 7}, At: time.Second}}
	d.opt.Views.Update(func(v *view.View) { v.SetLoad(report) })
	work := Work{Service: "s", Team: "a", Deadline: simDeadline, Requirements: Requirements{WeightVersion: 7}}
	for range 1_000 {
		slot, err := d.Acquire(t.Context(), work)
		var refused *code.Error
		if errors.As(err, &refused) && refused.Number == code.SelectionBusy {
			return
		}
		if err != nil || slot.Endpoint.Name != endpoints[3].Name {
			t.Fatalf("got slot %+v, error %v", slot, err)
		}
	}
	t.Fatal("the only matching endpoint accepted every request")
}
