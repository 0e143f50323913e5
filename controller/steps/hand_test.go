package steps_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

// TestStepsOfAModelRunAtOneInstance: wherever a trainer submits its steps, one
// instance runs them, at once.
func TestStepsOfAModelRunAtOneInstance(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newHandingWorld(t, "a", "b", "c", "d")
		defer w.stopAll()
		for i, name := range []string{"a", "b", "c", "d"} {
			w.mustAccept(w.instances[name], spec(fmt.Sprint("s", i), 1))
		}
		time.Sleep(100 * time.Millisecond)
		if open := w.running(); len(open) != 1 {
			t.Errorf("instances run %v steps, want one that runs all", open)
		}
		if n := w.started("s0", 1) + w.started("s1", 1) + w.started("s2", 1) + w.started("s3", 1); n != 4 {
			t.Errorf("%d of 4 samples began", n)
		}
		for i, name := range []string{"d", "c", "b", "a"} {
			w.mustRead(w.instances[name], fmt.Sprint("s", i), 1, time.Minute)
		}
	})
}

// TestStepOfARunnerThatDoesNotAnswer: who accepted the step runs it, whether the
// word got lost or the answer.
func TestStepOfARunnerThatDoesNotAnswer(t *testing.T) {
	for name, cause := range map[string]func(*handing){
		"word lost":   func(h *handing) { h.lost.Store(true) },
		"answer lost": func(h *handing) { h.late.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newHandingWorld(t, "a", "b", "c")
				defer w.stopAll()
				cause(&w.handing)
				const samples = 4
				for _, in := range w.instances {
					w.mustAccept(in, spec("of-"+in.name, samples))
				}
				time.Sleep(500 * time.Millisecond)
				open := w.running()
				for _, in := range w.instances {
					if open[in.name] == 0 {
						t.Errorf("%s runs nothing of %v", in.name, open)
					}
				}
				for _, in := range w.instances {
					w.mustRead(w.instances["a"], "of-"+in.name, samples, time.Minute)
				}
			})
		})
	}
}

// TestStepWhoseSubmitterDies: the runner finds a step that it was never told of.
func TestStepWhoseSubmitterDies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newHandingWorld(t, "a", "b", "c")
		defer w.stopAll()
		w.mustAccept(w.instances["a"], spec("first", 1))
		time.Sleep(100 * time.Millisecond)
		var runner, other string
		for name := range w.running() {
			runner = name
		}
		for name := range w.instances {
			if name != runner {
				other = name
			}
		}
		w.handing.lost.Store(true)
		w.mustAccept(w.instances[other], spec("second", 1))
		w.instances[other].table.down.Store(true)
		w.instances[other].stop()
		time.Sleep(time.Second)
		if n := w.started("second", 1); n != 1 {
			t.Errorf("%d samples began though the runner lives", n)
		}
		w.mustRead(w.instances[runner], "second", 1, time.Minute)
	})
}

// TestStepLeavesOwnerWithoutStore: the store turns the owner of a step away. Another
// instance goes on at once, from the last event that the owner had, saved or not.
func TestStepLeavesOwnerWithoutStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newHandingWorld(t, "a", "b", "c")
		defer w.stopAll()
		const samples = 4
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(eventPeriod * eventCount / 2)
		var before string
		for name := range w.running() {
			before = name
		}
		w.instances[before].table.down.Store(true)
		time.Sleep(time.Second)
		open := w.running()
		if open[before] != 0 || len(open) != 1 {
			t.Errorf("steps run at %v a second after the store turned %s away", open, before)
		}
		for _, s := range spec("s", samples).Samples {
			runs := w.engines.runs(s.ID)
			if len(runs) != 2 || runs[1] < eventCount/2-1 {
				t.Errorf("%s ran after events %v, want a second time after about %d", s.ID, runs, eventCount/2)
			}
		}
		for name, in := range w.instances {
			if name != before {
				w.mustRead(in, "s", samples, time.Minute)
			}
		}
	})
}

// TestStepStaysWhileTheStoreIsDown: an outage for all moves no step, and what its
// samples brought meanwhile is kept.
func TestStepStaysWhileTheStoreIsDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newHandingWorld(t, "a", "b", "c")
		defer w.stopAll()
		const samples = 4
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		for _, in := range w.instances {
			in.table.down.Store(true)
		}
		time.Sleep(10 * time.Second)
		for _, in := range w.instances {
			in.table.down.Store(false)
		}
		w.mustRead(w.instances["b"], "s", samples, time.Minute)
		for _, s := range spec("s", samples).Samples {
			if runs := w.engines.runs(s.ID); len(runs) != 1 {
				t.Errorf("%s ran after events %v, want once", s.ID, runs)
			}
		}
		if n := w.handing.offers.Load(); n > 0 {
			t.Errorf("samples were sent %d times to instances that can't take them", n)
		}
	})
}

// TestSilentOwnerIsAsked: an owner whose heartbeats cease is taken for lost before
// they lapse if it does not answer, and stays the owner if it does.
func TestSilentOwnerIsAsked(t *testing.T) {
	for _, answers := range []bool{false, true} {
		t.Run(fmt.Sprint("answers ", answers), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newHandingWorld(t, "a", "b", "c")
				defer w.stopAll()
				w.mustAccept(w.instances["a"], spec("s", 2))
				time.Sleep(time.Second)
				var owner string
				for name := range w.running() {
					owner = name
				}
				w.instances[owner].gone.Store(!answers)
				w.silence(owner, 2*time.Second)
				time.Sleep(500 * time.Millisecond)
				moved := false
				for name := range w.running() {
					moved = moved || name != owner
				}
				if moved == answers {
					t.Errorf("another instance runs the step: %v, though the owner answers: %v", moved, answers)
				}
				w.mustRead(w.instances["b"], "s", 2, time.Minute)
			})
		})
	}
}

// TestStepOfASmallInstanceIsNotForgotten: an instance that steps don't fall to runs one
// that it accepted, though the answer to its taking the step over was lost.
func TestStepOfASmallInstanceIsNotForgotten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newHandingWorld(t, "a", "b", "c", "d")
		defer w.stopAll()
		small := w.instances["d"]
		w.resize("d", 0.1)
		w.handing.lost.Store(true)
		lost := 0
		late := func(commit func()) error {
			commit()
			if lost++; lost == 2 { // the first one accepts the step
				return infra.ErrUnknownOutcome
			}
			return nil
		}
		small.table.late.Store(&late)
		w.mustAccept(small, spec("s", 2))
		time.Sleep(time.Second)
		if open := w.running(); open["d"] != 1 {
			t.Errorf("steps run at %v, want at d, which was left alone with it", open)
		}
		w.mustRead(w.instances["a"], "s", 2, time.Minute)
	})
}
