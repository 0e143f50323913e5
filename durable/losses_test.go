package durable

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// TestSampleIsPlacedAgainAfterManyLosses: a sample is owed however many engines
// crashed under it, and when the others have room it goes there at once.
func TestSampleIsPlacedAgainAfterManyLosses(t *testing.T) {
	step := New(Spec{MaxFailures: 3, Samples: []Sample{{ID: "x"}}}, nil, nil)
	now := time.Duration(0)
	for i := range 40 {
		now += maxPause
		endpoints := []Endpoint{{Name: fmt.Sprint("e", i), Free: 1}, {Name: fmt.Sprint("f", i), Free: 1}}
		actions := step.Tick(now, endpoints)
		if len(actions) != 1 {
			t.Fatalf("after %d losses: %v", i, actions)
		}
		step.Ended(now, actions[0].(Start).Run, Broken)
	}
}

// TestFailuresCountThroughChangesOfOwner: a sample on which engines fail is given
// up after as many failures as without them.
func TestFailuresCountThroughChangesOfOwner(t *testing.T) {
	spec := Spec{MaxFailures: 3, MaxScoreFailures: 2, Samples: []Sample{{ID: "x"}, {ID: "y", Scorer: &Scorer{ID: "c"}}}}
	step := New(spec, nil, nil)
	now := time.Duration(0)
	failures := map[string]int{}
	rows := map[string]Saved{}
	for range 10 {
		now += maxPause
		for _, a := range step.Tick(now, []Endpoint{{Name: "e", Free: 9}}) {
			switch a := a.(type) {
			case Start:
				end := Whole
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
			rows[v.ID] = v
		}
		step = New(spec, nil, slices.Collect(maps.Values(rows)))
	}
	if failures["x"] != spec.MaxFailures || failures["y"] != spec.MaxScoreFailures {
		t.Errorf("failures %v, want %d of x and %d of y", failures, spec.MaxFailures, spec.MaxScoreFailures)
	}
}

// TestStepsOfOneViewSpread: forty steps whose owners see the same idle endpoints
// begin three samples each. None of the forty endpoints, with room for six, is
// given more than that.
func TestStepsOfOneViewSpread(t *testing.T) {
	const room = 6
	given := map[string]int{}
	for i := range 40 {
		spec := Spec{ID: fmt.Sprintf("%016x", i*0x9e3779b9), Samples: []Sample{{ID: "x"}, {ID: "y"}, {ID: "z"}}}
		var endpoints []Endpoint
		for k := range 40 {
			endpoints = append(endpoints, Endpoint{Name: fmt.Sprint("e", k), Free: room})
		}
		for _, a := range New(spec, nil, nil).Tick(0, endpoints) {
			given[a.(Start).Endpoint]++
		}
	}
	over := 0
	for _, n := range given {
		over += max(n-room, 0)
	}
	if over > 0 {
		t.Errorf("%d of 120 samples went to endpoints without room: %v", over, given)
	}
}

// TestOpenConnectionsGoFirst: a step's samples go where connections are open, as far
// as they go, and then to idle endpoints.
func TestOpenConnectionsGoFirst(t *testing.T) {
	spec := Spec{ID: "s"}
	for i := range 6 {
		spec.Samples = append(spec.Samples, Sample{ID: fmt.Sprint("x", i)})
	}
	endpoints := []Endpoint{{Name: "cold", Free: 6}, {Name: "warm", Free: 6, Warm: 2}, {Name: "busy", Free: 1, Load: 5. / 6, Warm: 9}}
	given := map[string]int{}
	for _, a := range New(spec, nil, nil).Tick(0, endpoints) {
		given[a.(Start).Endpoint]++
	}
	if given["warm"] < 2 || given["cold"] < 2 || given["busy"] > 0 {
		t.Errorf("samples went to %v", given)
	}
}
