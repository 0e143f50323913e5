package durable

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// TestSampleIsRestartedAfterManyInterruptions checks that a sample is not
// abandoned, however many engines crash while they generate it, and that it starts
// at the next tick at another endpoint with free slots.
func TestSampleIsRestartedAfterManyInterruptions(t *testing.T) {
	step := New(Spec{MaxFailures: 3, Samples: []Sample{{ID: "x"}}}, nil, nil)
	now := time.Duration(0)
	for i := range 40 {
		now += maxBackoff
		endpoints := []Endpoint{{Name: fmt.Sprint("e", i), FreeSlots: 1}, {Name: fmt.Sprint("f", i), FreeSlots: 1}}
		actions := step.Tick(now, endpoints)
		if len(actions) != 1 {
			t.Fatalf("after %d interruptions: %v", i, actions)
		}
		step.Ended(now, actions[0].(Start).Run, Interrupted)
	}
}

// TestFailuresCountThroughChangesOfOwner checks that failures are counted across
// changes of the owner: a sample on which engines or the scoring service fail is
// abandoned after the step's maximum number of failures.
func TestFailuresCountThroughChangesOfOwner(t *testing.T) {
	spec := Spec{MaxFailures: 3, MaxScoreFailures: 2, Samples: []Sample{{ID: "x"}, {ID: "y", Scorer: &Scorer{ID: "c"}}}}
	step := New(spec, nil, nil)
	now := time.Duration(0)
	failures := map[string]int{}
	savedRows := map[string]Saved{}
	for range 10 {
		now += maxBackoff
		for _, a := range step.Tick(now, []Endpoint{{Name: "e", FreeSlots: 9}}) {
			switch a := a.(type) {
			case Start:
				end := Completed
				if a.Sample.ID == "x" {
					end = Failed
					failures["x"]++
				} else {
					_ = step.Event(a.Run, 1, "y", 1)
				}
				step.Ended(now, a.Run, end)
			case Score:
				failures[a.ID]++
				step.Scored(now, a.ID, "", ScoreFailed)
			}
		}
		for _, v := range step.Unsaved(1) {
			savedRows[v.ID] = v
		}
		step = New(spec, nil, slices.Collect(maps.Values(savedRows)))
	}
	if failures["x"] != spec.MaxFailures || failures["y"] != spec.MaxScoreFailures {
		t.Errorf("got failures %v, want %d of x and %d of y", failures, spec.MaxFailures, spec.MaxScoreFailures)
	}
}

// TestStepsWithTheSameViewUseDifferentEndpoints starts three samples in each of
// forty steps whose owners have the same view of forty idle endpoints with six
// slots each. No endpoint may be assigned more than six samples.
func TestStepsWithTheSameViewUseDifferentEndpoints(t *testing.T) {
	const slots = 6
	assigned := map[string]int{}
	for i := range 40 {
		spec := Spec{ID: fmt.Sprintf("%016x", i*0x9e3779b9), Samples: []Sample{{ID: "x"}, {ID: "y"}, {ID: "z"}}}
		var endpoints []Endpoint
		for k := range 40 {
			endpoints = append(endpoints, Endpoint{Name: fmt.Sprint("e", k), FreeSlots: slots})
		}
		for _, a := range New(spec, nil, nil).Tick(0, endpoints) {
			assigned[a.(Start).Endpoint]++
		}
	}
	over := 0
	for _, n := range assigned {
		over += max(n-slots, 0)
	}
	if over > 0 {
		t.Errorf("%d of 120 samples were assigned to endpoints without free slots: %v", over, assigned)
	}
}

// TestEndpointsWithIdleConnectionsArePreferred checks that a step's samples start
// at endpoints with idle connections, one sample per connection, and after that at
// endpoints without load.
func TestEndpointsWithIdleConnectionsArePreferred(t *testing.T) {
	spec := Spec{ID: "s"}
	for i := range 6 {
		spec.Samples = append(spec.Samples, Sample{ID: fmt.Sprint("x", i)})
	}
	endpoints := []Endpoint{{Name: "cold", FreeSlots: 6}, {Name: "warm", FreeSlots: 6, IdleConnections: 2}, {Name: "busy", FreeSlots: 1, Load: 5. / 6, IdleConnections: 9}}
	assigned := map[string]int{}
	for _, a := range New(spec, nil, nil).Tick(0, endpoints) {
		assigned[a.(Start).Endpoint]++
	}
	if assigned["warm"] < 2 || assigned["cold"] < 2 || assigned["busy"] > 0 {
		t.Errorf("samples assigned to %v, want at least 2 to warm, 2 to cold, none to busy", assigned)
	}
}
