package durable

import (
	"fmt"
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
