package steps_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

// runsWithin waits until each of the steps runs at exactly one of the instances, and
// fails the test if that takes longer than limit.
func (cluster *testCluster) runsWithin(limit time.Duration, names []string, ids ...string) {
	cluster.t.Helper()
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		runners := cluster.runnersOf(names, ids)
		if len(runners) == len(ids) {
			return
		}
		if time.Now().After(until) {
			cluster.t.Fatalf("steps run at %v after %v, want each of %v at one of %v", runners, limit, ids, names)
		}
	}
}

// runnersOf returns the only one of the instances that runs a step, by step. Steps
// that none or several of them run, or an instance that the step's row does not name
// as the owner, are left out.
func (cluster *testCluster) runnersOf(names, ids []string) map[string]string {
	runners := map[string]string{}
	for _, id := range ids {
		count := 0
		for _, name := range names {
			version, ok := cluster.instances[name].RunningSteps()[id]
			if !ok {
				continue
			}
			count++
			if version == cluster.ownerVersion(id) {
				runners[id] = name
			}
		}
		if count > 1 {
			delete(runners, id)
		}
	}
	return runners
}

// notRunning returns one of the instances that do not run a step.
func (cluster *testCluster) notRunning(id string, names []string) string {
	runner := cluster.runnersOf(names, []string{id})[id]
	for _, name := range names {
		if name != runner {
			return name
		}
	}
	return ""
}

// ownerVersion returns the version of the row of a step's owner.
func (cluster *testCluster) ownerVersion(id string) uint64 {
	cluster.t.Helper()
	row, err := cluster.fake.Tables().Part(id).Get(cluster.t.Context(), "state/owner")
	if err != nil {
		cluster.t.Fatal(err)
	}
	return row.Version
}

// loseAnswers lets an instance write, but lose the responses, until the returned
// function is called.
func (in *instance) loseAnswers() (restore func()) {
	lose := func(commit func()) error {
		commit()
		time.Sleep(time.Second)
		return infra.ErrUnknownOutcome
	}
	in.table.interceptCommit.Store(&lose)
	return func() { in.table.interceptCommit.Store(nil) }
}

// TestTakeoverWhoseAnswerIsLost guards against review/1: the owner of steps loses the
// store, another instance's takeover is written but not answered, and nobody runs the
// steps any more.
func TestTakeoverWhoseAnswerIsLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c"}
		cluster := newHandoffCluster(t, names...)
		defer cluster.stopAll()
		ids := []string{"s0", "s1", "s2", "s3"}
		for _, id := range ids {
			cluster.mustAccept(cluster.instances["a"], spec(id, 6))
		}
		time.Sleep(500 * time.Millisecond)
		owner := cluster.runnersOf(names, ids)["s0"]
		cluster.instances[owner].table.down.Store(true)
		var restore []func()
		for _, name := range names {
			if name != owner {
				restore = append(restore, cluster.instances[name].loseAnswers())
			}
		}
		time.Sleep(1200 * time.Millisecond)
		cluster.instances[owner].table.down.Store(false)
		for _, f := range restore {
			f()
		}
		cluster.runsWithin(3*time.Second, names, ids...)
		for _, id := range ids {
			cluster.mustRead(cluster.instances["a"], id, 6, time.Minute)
		}
	})
}

// TestStepsThatMovedTwice guards against steps that nobody runs after they moved from
// a first to a second and then to a third instance, which dies: the first one still
// took the second one for their owner. No response is lost.
func TestStepsThatMovedTwice(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c"}
		cluster := newMemberCluster(t, names...)
		defer cluster.stopAll()
		var ids []string
		for i := range 20 {
			ids = append(ids, string(rune('A'+i)))
			cluster.mustAccept(cluster.instances["a"], spec(ids[i], 8))
		}
		time.Sleep(500 * time.Millisecond)
		first := cluster.runnersOf(names, ids)[ids[0]]
		cluster.cutFor(first, 2300*time.Millisecond)
		time.Sleep(2500 * time.Millisecond)
		second := cluster.busiest(names, ids)
		cluster.cutFor(second, 2300*time.Millisecond)
		time.Sleep(2500 * time.Millisecond)
		for _, name := range names {
			if name != first && name != second {
				cluster.kill(name)
			}
		}
		cluster.runsWithin(memberLapse+5*time.Second, []string{first, second}, ids...)
	})
}

// TestLateTakeover guards against a step that nobody runs because a takeover that its
// instance had given up is executed late: the row of its owner names another live
// instance, which does not know it, or a process that never ran it.
func TestLateTakeover(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprint("gone ", gone), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				names := []string{"a", "b", "c"}
				cluster := newMemberCluster(t, names...)
				defer cluster.stopAll()
				cluster.mustAccept(cluster.instances["a"], spec("s", 20))
				time.Sleep(500 * time.Millisecond)
				owner := cluster.notRunning("s", names)
				if gone {
					owner = "gone"
				}
				cluster.setOwner("s", owner)
				cluster.runsWithin(5*time.Second, names, "s")
			})
		})
	}
}

// TestDoneStepIsNotTakenOver checks that a step whose results are all stored, which no
// instance runs any more, keeps its owner until the trainer ends it.
func TestDoneStepIsNotTakenOver(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c"}
		cluster := newMemberCluster(t, names...)
		defer cluster.stopAll()
		cluster.mustAccept(cluster.instances["a"], spec("s", 2))
		time.Sleep(500 * time.Millisecond)
		cluster.setOwner("s", cluster.notRunning("s", names))
		cluster.mustRead(cluster.instances["b"], "s", 2, time.Minute)
		version := cluster.ownerVersion("s")
		time.Sleep(time.Minute)
		if got := cluster.ownerVersion("s"); got != version {
			t.Errorf("row of the owner has version %d a minute later, want %d", got, version)
		}
	})
}
