package steps_test

import (
	"context"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/bubble"
)

// TestStep checks that a step is accepted once, that all instances return its results
// at the same positions, and that only its own team can read it.
func TestStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		a, b := cluster.instances["a"], cluster.instances["b"]
		const samples = 10
		cluster.mustAccept(a, spec("s", samples))
		cluster.mustAccept(b, spec("s", samples)) // submitted again to another instance
		_, err := b.Read(t.Context(), "s", "others", 0, 0)
		wantCode(t, err, code.StepUnknown)
		_, err = b.Read(t.Context(), "none", team, 0, 0)
		wantCode(t, err, code.StepUnknown)
		body, err := b.Body(t.Context(), "s", team, "s-3")
		if err != nil || string(body) != "body3" {
			t.Errorf("got body %q, error %v", body, err)
		}
		atA, atB := cluster.mustRead(a, "s", samples, time.Minute), cluster.mustRead(b, "s", samples, time.Second)
		for i := range atA {
			if atA[i].ID != atB[i].ID {
				t.Errorf("position %d: a returned %s and b %s", i, atA[i].ID, atB[i].ID)
			}
		}
		for range 2 {
			if err := b.End(t.Context(), "s", team); err != nil {
				t.Error(err)
			}
		}
		for _, s := range spec("s", samples).Samples {
			if n := len(cluster.engines.runs(s.ID)); n != 1 {
				t.Errorf("%s was started %d times, want once", s.ID, n)
			}
		}
	})
}

// TestEndedStepsAreForgotten checks that steps that are done or were ended no longer
// run.
func TestEndedStepsAreForgotten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a")
		defer cluster.stopAll()
		a := cluster.instances["a"]
		cluster.mustAccept(a, spec("done", 1))
		cluster.mustRead(a, "done", 1, time.Minute)
		cluster.mustAccept(a, spec("ended", 9))
		if err := a.End(t.Context(), "ended", team); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if n := a.OpenSteps(); n != 0 {
			t.Errorf("%d steps still run, want none", n)
		}
	})
}

// TestEndAtAnotherInstance checks that, a second after another instance ended a
// step, its owner starts no further samples.
func TestEndAtAnotherInstance(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		cluster.mustAccept(cluster.instances["a"], spec("s", 30))
		time.Sleep(eventPeriod * eventCount)
		if err := cluster.instances["b"].End(t.Context(), "s", team); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		before := cluster.startedSamples("s", 30)
		time.Sleep(time.Minute)
		if after := cluster.startedSamples("s", 30); after != before || after == 30 {
			t.Errorf("%d samples had started a second after the step was ended, %d a minute later", before, after)
		}
	})
}

// TestOwnerDies checks that another instance continues a step whose owner dies.
// Results keep their positions, and samples resume after their saved events.
func TestOwnerDies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b", "c")
		defer cluster.stopAll()
		const samples = 12
		cluster.mustAccept(cluster.instances["a"], spec("s", samples))
		time.Sleep(eventPeriod*eventCount + 3*time.Second/2) // the owner dies within the second samples
		before := cluster.read(cluster.instances["b"], "s", samples, time.Second)
		var survivors []string
		for name, in := range cluster.instances {
			if in.OpenSteps() == 0 {
				survivors = append(survivors, name)
				continue
			}
			in.table.down.Store(true)
			in.stop()
		}
		cluster.setMembers(survivors, nil)
		after := cluster.mustRead(cluster.instances[survivors[0]], "s", samples, time.Minute)
		if len(before) == 0 || len(before) == samples {
			t.Fatalf("%d results before the owner died, want some but not all", len(before))
		}
		for i, r := range before {
			if after[i].ID != r.ID {
				t.Errorf("position %d: got %s, want %s as before", i, after[i].ID, r.ID)
			}
		}
		resumed := 0
		for _, s := range spec("s", samples).Samples {
			if runs := cluster.engines.runs(s.ID); len(runs) > 1 && runs[len(runs)-1] > 0 {
				resumed++
			}
		}
		if resumed == 0 {
			t.Error("no sample resumed after its saved events")
		}
	})
}

// TestReplacedOwner checks that an owner that is alive but was replaced stores no
// further results.
func TestReplacedOwner(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		const samples = 12
		cluster.mustAccept(cluster.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		owner, other := cluster.owner(t)
		owner.table.down.Store(true)
		cluster.setMembers([]string{other.name}, nil)
		time.Sleep(2 * time.Second)
		owner.table.down.Store(false)
		cluster.mustRead(other, "s", samples, time.Minute)
	})
}

// TestHandOffWhileStoreIsDown checks that an instance that leaves while the store is
// down hands off its steps as soon as the store is available again, and that they
// continue at once although the leaving instance is still a member.
func TestHandOffWhileStoreIsDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		const samples = 4
		cluster.mustAccept(cluster.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		owner, other := cluster.owner(t)
		owner.table.down.Store(true)
		cluster.setMembers([]string{other.name}, []string{owner.name})
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, func() { owner.table.down.Store(false) })
		owner.HandOff(ctx)
		wantCode(t, cluster.accept(owner, spec("other", 1)), code.Draining)
		cluster.mustRead(other, "s", samples, eventPeriod*eventCount)
	})
}
