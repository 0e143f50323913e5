package steps_test

import (
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/view"
)

// waitingTick is the time between two ticks of a step whose samples wait.
const waitingTick = 20 * time.Millisecond

// TestStreamsLeaveEvacuatedDataCentre checks that the streams at the engines of an
// evacuated data centre continue after their last event at others with free slots, that
// those without a slot elsewhere end where they are, and that nothing more starts there.
func TestStreamsLeaveEvacuatedDataCentre(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a")
		defer cluster.stopAll()
		// A stream that moved ends after the one that could not, so that its slot is not
		// free before.
		cluster.engines.pause = func(_ string, run int) time.Duration { return eventPeriod + time.Duration(run)*eventPeriod/5 }
		first, second := replica("e1", service, 1), replica("e2", service, 1)
		first.DataCentre, second.DataCentre = "y", "z"
		const samples = 12
		cluster.configure(1, to(service), []infra.Replica{first}, "a")
		cluster.mustAccept(cluster.instances["a"], routedSpec("s", samples, 1))
		time.Sleep(time.Second + waitingTick/2) // all four slots of e1 have a stream, and no tick is due
		second.Slots = 3
		cluster.configure(1, to(service), []infra.Replica{first, second}, "a")
		cluster.instances["a"].views.Update(func(v *view.View) { v.SetEvacuated(map[string]bool{"y": true}) })
		cluster.mustRead(cluster.instances["a"], "s", samples, time.Minute)
		moved, stayed := 0, 0
		for _, s := range spec("s", samples).Samples {
			at, after := cluster.engines.endpointsOf(s.ID), cluster.engines.runs(s.ID)
			switch {
			case len(at) == 2 && at[0] == "e1" && at[1] == "e2" && after[1] > 0:
				moved++
			case len(at) == 1 && at[0] == "e1":
				stayed++
			case len(at) != 1 || at[0] != "e2":
				t.Errorf("%s was started at %v after %v", s.ID, at, after)
			}
		}
		if moved != second.Slots || stayed != first.Slots-second.Slots {
			t.Errorf("%d streams moved and %d ended where they were, want %d and %d", moved, stayed, second.Slots, first.Slots-second.Slots)
		}
	})
}
