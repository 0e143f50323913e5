package steps_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

// TestStepsOfAModelRunAtOneInstance checks that a single instance runs all steps of
// a model, whichever instance accepts them, and that it starts them at once.
func TestStepsOfAModelRunAtOneInstance(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newHandoffCluster(t, "a", "b", "c", "d")
		defer cluster.stopAll()
		for i, name := range []string{"a", "b", "c", "d"} {
			cluster.mustAccept(cluster.instances[name], spec(fmt.Sprint("s", i), 1))
		}
		time.Sleep(100 * time.Millisecond)
		if open := cluster.openSteps(); len(open) != 1 {
			t.Errorf("steps run at %v, want a single instance", open)
		}
		if n := cluster.startedSamples("s0", 1) + cluster.startedSamples("s1", 1) + cluster.startedSamples("s2", 1) + cluster.startedSamples("s3", 1); n != 4 {
			t.Errorf("%d of 4 samples started", n)
		}
		for i, name := range []string{"d", "c", "b", "a"} {
			cluster.mustRead(cluster.instances[name], fmt.Sprint("s", i), 1, time.Minute)
		}
	})
}

// TestStepRunsWhereAcceptedIfRunnerDoesNotRespond checks that the instance that
// accepted a step runs it if the request to its runner, or the response, is lost.
func TestStepRunsWhereAcceptedIfRunnerDoesNotRespond(t *testing.T) {
	for name, cause := range map[string]func(*fakeHandoff){
		"word lost":   func(h *fakeHandoff) { h.loseRequests.Store(true) },
		"answer lost": func(h *fakeHandoff) { h.loseResponses.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				cluster := newHandoffCluster(t, "a", "b", "c")
				defer cluster.stopAll()
				cause(&cluster.handoff)
				const samples = 4
				for _, in := range cluster.instances {
					cluster.mustAccept(in, spec("of-"+in.name, samples))
				}
				time.Sleep(500 * time.Millisecond)
				open := cluster.openSteps()
				for _, in := range cluster.instances {
					if open[in.name] == 0 {
						t.Errorf("%s runs no step; steps run at %v", in.name, open)
					}
				}
				for _, in := range cluster.instances {
					cluster.mustRead(cluster.instances["a"], "of-"+in.name, samples, time.Minute)
				}
			})
		})
	}
}

// TestRunnerFindsStepOfDeadInstance checks that the runner finds a step if the
// instance that accepted it dies without having notified the runner.
func TestRunnerFindsStepOfDeadInstance(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newHandoffCluster(t, "a", "b", "c")
		defer cluster.stopAll()
		cluster.mustAccept(cluster.instances["a"], spec("first", 1))
		time.Sleep(100 * time.Millisecond)
		var runner, other string
		for name := range cluster.openSteps() {
			runner = name
		}
		for name := range cluster.instances {
			if name != runner {
				other = name
			}
		}
		cluster.handoff.loseRequests.Store(true)
		cluster.mustAccept(cluster.instances[other], spec("second", 1))
		cluster.instances[other].table.down.Store(true)
		cluster.instances[other].stop()
		time.Sleep(time.Second)
		if n := cluster.startedSamples("second", 1); n != 1 {
			t.Errorf("%d samples started, want 1 because the runner is alive", n)
		}
		cluster.mustRead(cluster.instances[runner], "second", 1, time.Minute)
	})
}

// TestStepLeavesOwnerWithoutStore makes the store unavailable to the owner of a
// step. Another instance must continue at once, from the owner's last event, even
// if that event was not saved.
func TestStepLeavesOwnerWithoutStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newHandoffCluster(t, "a", "b", "c")
		defer cluster.stopAll()
		const samples = 4
		cluster.mustAccept(cluster.instances["a"], spec("s", samples))
		time.Sleep(eventPeriod * eventCount / 2)
		var before string
		for name := range cluster.openSteps() {
			before = name
		}
		cluster.instances[before].table.down.Store(true)
		time.Sleep(time.Second)
		open := cluster.openSteps()
		if open[before] != 0 || len(open) != 1 {
			t.Errorf("steps run at %v a second after the store became unavailable to %s", open, before)
		}
		for _, s := range spec("s", samples).Samples {
			runs := cluster.engines.runs(s.ID)
			if len(runs) != 2 || runs[1] < eventCount/2-1 {
				t.Errorf("%s was started after events %v, want a second start after about %d", s.ID, runs, eventCount/2)
			}
		}
		for name, in := range cluster.instances {
			if name != before {
				cluster.mustRead(in, "s", samples, time.Minute)
			}
		}
	})
}

// TestStepStaysWhileTheStoreIsDown checks that a store outage for all instances
// moves no step, and that events received during the outage are kept.
func TestStepStaysWhileTheStoreIsDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newHandoffCluster(t, "a", "b", "c")
		defer cluster.stopAll()
		const samples = 4
		cluster.mustAccept(cluster.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		for _, in := range cluster.instances {
			in.table.down.Store(true)
		}
		time.Sleep(10 * time.Second)
		for _, in := range cluster.instances {
			in.table.down.Store(false)
		}
		cluster.mustRead(cluster.instances["b"], "s", samples, time.Minute)
		for _, s := range spec("s", samples).Samples {
			if runs := cluster.engines.runs(s.ID); len(runs) != 1 {
				t.Errorf("%s was started after events %v, want a single start", s.ID, runs)
			}
		}
		if n := cluster.handoff.offers.Load(); n > 0 {
			t.Errorf("samples were sent %d times to instances that do not accept takeovers", n)
		}
	})
}

// TestUnresponsiveOwnerIsProbed checks that an owner whose heartbeats have stopped
// is replaced before they lapse if it does not respond to a call, and remains the
// owner if it does.
func TestUnresponsiveOwnerIsProbed(t *testing.T) {
	for _, answers := range []bool{false, true} {
		t.Run(fmt.Sprint("answers ", answers), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				cluster := newHandoffCluster(t, "a", "b", "c")
				defer cluster.stopAll()
				cluster.mustAccept(cluster.instances["a"], spec("s", 2))
				time.Sleep(time.Second)
				var owner string
				for name := range cluster.openSteps() {
					owner = name
				}
				cluster.instances[owner].unreachable.Store(!answers)
				cluster.ageHeartbeat(owner, 2*time.Second)
				time.Sleep(500 * time.Millisecond)
				moved := false
				for name := range cluster.openSteps() {
					moved = moved || name != owner
				}
				if moved == answers {
					t.Errorf("another instance runs the step: %v, but the owner responds: %v", moved, answers)
				}
				cluster.mustRead(cluster.instances["b"], "s", 2, time.Minute)
			})
		})
	}
}

// TestIneligibleInstanceRunsItsOwnStep checks that an instance that is not eligible
// for steps runs a step that it accepted and took over, if the store's response to
// the takeover was lost.
func TestIneligibleInstanceRunsItsOwnStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newHandoffCluster(t, "a", "b", "c", "d")
		defer cluster.stopAll()
		small := cluster.instances["d"]
		cluster.resize("d", 0.1)
		cluster.handoff.loseRequests.Store(true)
		commits := 0
		loseSecond := func(commit func()) error {
			commit()
			if commits++; commits == 2 { // the first one accepts the step
				return infra.ErrUnknownOutcome
			}
			return nil
		}
		small.table.interceptCommit.Store(&loseSecond)
		cluster.mustAccept(small, spec("s", 2))
		time.Sleep(time.Second)
		if open := cluster.openSteps(); open["d"] != 1 {
			t.Errorf("steps run at %v, want at d, which took the step over", open)
		}
		cluster.mustRead(cluster.instances["a"], "s", 2, time.Minute)
	})
}
