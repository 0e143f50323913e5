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

func newBed(t *testing.T) (*Dispatcher, []*view.Endpoint) {
	t.Helper()
	s := newSite(scenario{}, simSeed)
	s.dispatched()
	d := s.dispatchers[0]
	return d, s.views[0].Load().Endpoints["s"]
}

// TestRolloutTakesNoPlaces: streams that rollouts have at every endpoint do not
// keep interactive requests waiting.
func TestRolloutTakesNoPlaces(t *testing.T) {
	d, endpoints := newBed(t)
	for _, e := range endpoints {
		e.Stats.InFlight.Add(1_000)
	}
	if _, err := d.Acquire(t.Context(), Work{Service: "s", Team: "a", Deadline: simDeadline}); err != nil {
		t.Fatal(err)
	}
	if n := d.service("s").waiting.Load(); n != 0 {
		t.Fatalf("%d wait", n)
	}
}

// TestAloneSharesNothing: while a place alone is given out, its endpoint gets
// nothing else; afterwards it does.
func TestAloneSharesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, endpoints := newBed(t)
		work := Work{Service: "s", Team: "a", Deadline: simDeadline}
		slot, err := d.AcquireAlone(t.Context(), work)
		if err != nil {
			t.Fatal(err)
		}
		held := map[string]int{}
		for range len(endpoints) * 10 {
			other, err := d.Acquire(t.Context(), work)
			if err != nil {
				t.Fatal(err)
			}
			held[other.Endpoint.Name]++
		}
		if held[slot.Endpoint.Name] > 0 || len(held) != len(endpoints)-1 {
			t.Fatalf("alone at %s, others at %v", slot.Endpoint.Name, held)
		}
		slot.Done(Answered)
		for range 200 {
			other, err := d.Acquire(t.Context(), work)
			if err == nil && other.Endpoint == slot.Endpoint {
				return
			}
		}
		t.Fatal("the endpoint is not used again")
	})
}

// TestAbsentEndpointGetsNothingForAWhile: neither one alone nor all of them,
// after which they are tried again.
func TestAbsentEndpointGetsNothingForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, endpoints := newBed(t)
		work := Work{Service: "s", Team: "a", Deadline: simDeadline}
		absent := map[string]bool{}
		for range endpoints {
			slot, err := d.Acquire(t.Context(), work)
			if err != nil {
				t.Fatal(err)
			}
			if absent[slot.Endpoint.Name] {
				t.Fatalf("%s is absent and gets more", slot.Endpoint.Name)
			}
			absent[slot.Endpoint.Name] = true
			slot.Done(Absent)
		}
		began := time.Now()
		slot, err := d.Acquire(t.Context(), work)
		if err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited < absentTime || waited > 2*absentTime {
			t.Errorf("waited %v while all were absent", waited)
		}
		slot.Done(Answered)
	})
}

// TestSelectionDoesNotQueue: work that one endpoint of nine can do gets no other,
// and is refused at once when that is full.
func TestSelectionDoesNotQueue(t *testing.T) {
	d, endpoints := newBed(t)
	report := map[string]view.LoadReport{endpoints[3].Name: {Load: engine.Load{WeightVersion: 7}, At: time.Second}}
	d.opt.Views.Update(func(v *view.View) { v.SetLoad(report) })
	work := Work{Service: "s", Team: "a", Deadline: simDeadline, Want: Want{WeightVersion: 7}}
	for range 1_000 {
		slot, err := d.Acquire(t.Context(), work)
		var refused *code.Error
		if errors.As(err, &refused) && refused.Number == code.SelectionBusy {
			return
		}
		if err != nil || slot.Endpoint.Name != endpoints[3].Name {
			t.Fatalf("%+v, %v", slot, err)
		}
	}
	t.Fatal("one endpoint took everything")
}
