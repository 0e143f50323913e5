package steps_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

const (
	// endedSteps is the number of steps that ended in the last minutes, whose rows are
	// retained, and callsPerSecond an instance's limit on calls of the store, so that it
	// takes 12 s to read them all.
	endedSteps     = 900
	callsPerSecond = 75
	// adoptionTime is the time within which open steps are run again after the instance
	// that ran them is back: the recovery without the lapse of a member.
	adoptionTime = recoveryTime - memberLapse
)

// putEndedSteps writes the rows of steps of an owner that have ended. All instances have
// read the rows before they ended. Their IDs are before those of open ones.
func (cluster *testCluster) putEndedSteps(owner string) {
	cluster.t.Helper()
	for n := range endedSteps {
		id := fmt.Sprintf("a%06d", n)
		cluster.commit(id,
			infra.PutJSON("state/head", 0, map[string]any{"id": id, "team": team, "model": model, "total": 1, "tag": "t"}),
			infra.PutJSON("state/owner", 0, map[string]any{"instance": owner, "incarnation": 1}))
	}
	time.Sleep(time.Second)
	for n := range endedSteps {
		cluster.commit(fmt.Sprintf("a%06d", n), infra.PutJSON("state/end", 0, map[string]any{"by": owner}))
	}
}

// commit executes a transaction without faults.
func (cluster *testCluster) commit(id string, ops ...infra.Op) {
	cluster.t.Helper()
	if err := cluster.fake.Tables().Part(id).Commit(cluster.t.Context(), ops...); err != nil {
		cluster.t.Fatal(err)
	}
}

// TestRestartedInstanceRunsItsOpenStepsFirst guards against a restarted instance that
// reads all ended steps before it reaches the open ones, which are assigned to it: after
// the restart of the one that ran them, and of all of them at once.
func TestRestartedInstanceRunsItsOpenStepsFirst(t *testing.T) {
	for _, all := range []bool{false, true} {
		t.Run(fmt.Sprint("all ", all), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				names := []string{"i000", "i001", "i002"}
				p := &player{nextProcess: 2, left: names, samples: samplesPerStep}
				p.testCluster = newMemberCluster(t, names...)
				defer p.stopAll()
				p.callsPerSecond = callsPerSecond
				p.submit("i000")
				time.Sleep(memberPeriod)
				owner := p.busiest(names, p.steps)
				p.putEndedSteps(owner)
				for _, in := range p.instances {
					in.table.limitCalls(callsPerSecond)
				}
				time.Sleep(5 * memberPeriod)
				for range 9 {
					p.submit("i000")
				}
				time.Sleep(3 * time.Second)
				restarted, limit := []string{owner}, adoptionTime
				if all {
					restarted, limit = names, recoveryTime
				}
				for _, name := range restarted {
					p.kill(name)
				}
				time.Sleep(500 * time.Millisecond)
				for _, name := range restarted {
					p.restart(name)
				}
				p.runsWithin(limit, names, p.steps...)
			})
		})
	}
}

// TestRowsWithoutHeadAreNobodysStep guards against instances that request each other for
// ever to run a step of which there are only samples, because its submission was given up.
func TestRowsWithoutHeadAreNobodysStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newHandoffCluster(t, "a", "b")
		defer cluster.stopAll()
		cluster.commit("s", infra.Put("spec/tag/00000/00", []byte(".[]")))
		time.Sleep(time.Minute)
		if n := cluster.handoff.adopts.Load(); n > 0 {
			t.Errorf("%d requests to run the step, want none", n)
		}
	})
}
