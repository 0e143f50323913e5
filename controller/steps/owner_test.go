package steps_test

import (
	"context"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/bubble"
)

// TestStep: a step is accepted once, read anywhere at the same positions, and
// shown to its own team only.
func TestStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		a, b := w.instances["a"], w.instances["b"]
		const samples = 10
		w.mustAccept(a, spec("s", samples))
		w.mustAccept(b, spec("s", samples)) // sent again elsewhere
		_, err := b.Read(t.Context(), "s", "others", 0, 0)
		wantCode(t, err, code.StepUnknown)
		_, err = b.Read(t.Context(), "none", team, 0, 0)
		wantCode(t, err, code.StepUnknown)
		body, err := b.Body(t.Context(), "s", team, "s-3")
		if err != nil || string(body) != "body3" {
			t.Errorf("body %q, %v", body, err)
		}
		atA, atB := w.mustRead(a, "s", samples, time.Minute), w.mustRead(b, "s", samples, time.Second)
		for i := range atA {
			if atA[i].ID != atB[i].ID {
				t.Errorf("position %d: %s and %s", i, atA[i].ID, atB[i].ID)
			}
		}
		for range 2 {
			if err := b.End(t.Context(), "s", team); err != nil {
				t.Error(err)
			}
		}
		for _, s := range spec("s", samples).Samples {
			if n := len(w.engines.runs(s.ID)); n != 1 {
				t.Errorf("%s ran %d times", s.ID, n)
			}
		}
	})
}

// TestEndedStepsAreForgotten: nothing of a step goes on after its end.
func TestEndedStepsAreForgotten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		defer w.stopAll()
		a := w.instances["a"]
		w.mustAccept(a, spec("done", 1))
		w.mustRead(a, "done", 1, time.Minute)
		w.mustAccept(a, spec("ended", 9))
		if err := a.End(t.Context(), "ended", team); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if n := a.Open(); n != 0 {
			t.Errorf("%d steps still run", n)
		}
	})
}

// TestEndElsewhere: no sample starts at the owner soon after another instance
// took the end.
func TestEndElsewhere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		w.mustAccept(w.instances["a"], spec("s", 30))
		time.Sleep(eventPeriod * eventCount)
		if err := w.instances["b"].End(t.Context(), "s", team); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		before := w.started("s", 30)
		time.Sleep(time.Minute)
		if after := w.started("s", 30); after != before || after == 30 {
			t.Errorf("%d samples had started a second after the end, %d in the end", before, after)
		}
	})
}

// TestOwnerDies: another instance goes on. Results keep their positions, and
// samples go on after what was saved of them.
func TestOwnerDies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c")
		defer w.stopAll()
		const samples = 12
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(eventPeriod*eventCount + 2*time.Second)
		before := w.read(w.instances["b"], "s", samples, time.Second)
		var left []string
		for name, in := range w.instances {
			if in.Open() == 0 {
				left = append(left, name)
				continue
			}
			in.table.down.Store(true)
			in.stop()
		}
		w.setMembers(left, nil)
		after := w.mustRead(w.instances[left[0]], "s", samples, time.Minute)
		if len(before) == 0 || len(before) == samples {
			t.Fatalf("%d results before the death", len(before))
		}
		for i, r := range before {
			if after[i].ID != r.ID {
				t.Errorf("position %d: %s, before %s", i, after[i].ID, r.ID)
			}
		}
		resumed := 0
		for _, s := range spec("s", samples).Samples {
			if runs := w.engines.runs(s.ID); len(runs) > 1 && runs[len(runs)-1] > 0 {
				resumed++
			}
		}
		if resumed == 0 {
			t.Error("no sample went on after what was saved")
		}
	})
}

// TestReplacedOwner: an owner that others took for dead, and that lives, lists
// nothing any more.
func TestReplacedOwner(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		const samples = 12
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		owner, other := w.owner(t)
		owner.table.down.Store(true)
		w.setMembers([]string{other.name}, nil)
		time.Sleep(2 * time.Second)
		owner.table.down.Store(false)
		w.mustRead(other, "s", samples, time.Minute)
	})
}

// TestHandOverWhileStoreIsDown: an instance that leaves while the store is down
// gives its steps up once it is back, and they go on at once, though the leaving
// instance is still there.
func TestHandOverWhileStoreIsDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		const samples = 4
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		owner, other := w.owner(t)
		owner.table.down.Store(true)
		w.setMembers([]string{other.name}, []string{owner.name})
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, func() { owner.table.down.Store(false) })
		owner.HandOver(ctx)
		wantCode(t, w.accept(owner, spec("other", 1)), code.Draining)
		w.mustRead(other, "s", samples, eventPeriod*eventCount)
	})
}
