package steps_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/bubble"
)

// TestStepEndedWhileItIsRead guards against samples of an ended step that start because its
// new owner read that it was open, and then read its rows for seconds. The step ends at any
// moment of the takeover.
func TestStepEndedWhileItIsRead(t *testing.T) {
	for _, handOff := range []bool{true, false} {
		for after := time.Duration(0); after < 8*time.Second; after += 1600 * time.Millisecond {
			t.Run(fmt.Sprintf("handed off %v, ended after %v", handOff, after), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { playEndedWhileRead(t, handOff, after) })
			})
		}
	}
}

// startedRuns returns the number of runs of a step's samples that were started.
func (cluster *testCluster) startedRuns(id string, samples int) int {
	n := 0
	for _, s := range spec(id, samples).Samples {
		n += len(cluster.engines.runs(s.ID))
	}
	return n
}

func playEndedWhileRead(t *testing.T, handOff bool, after time.Duration) {
	const (
		samples   = 60
		readDelay = 600 * time.Millisecond
		// startLimit is the time after an end's confirmation in which samples may start.
		startLimit = time.Second
	)
	cluster := newTestCluster(t, "a", "b", "c")
	defer cluster.stopAll()
	s := spec("s", samples)
	for i := range s.Samples {
		s.Samples[i].Body = []byte(strings.Repeat("x", 90_000))
	}
	cluster.mustAccept(cluster.instances["a"], s)
	time.Sleep(time.Second)
	var owner, other *instance
	var others []string
	for name, in := range cluster.instances {
		if in.OpenSteps() > 0 {
			owner = in
			continue
		}
		other, others = in, append(others, name)
		in.table.slow.Store(int64(readDelay))
	}
	if handOff {
		owner.HandOff(t.Context())
	}
	owner.table.down.Store(true)
	owner.stop()
	cluster.setMembers(others, nil)
	time.Sleep(after)
	for other.End(t.Context(), "s", team) != nil {
	}
	time.Sleep(startLimit)
	before := cluster.startedRuns("s", samples)
	time.Sleep(time.Minute)
	if late := cluster.startedRuns("s", samples) - before; late > 0 {
		t.Errorf("%d runs started later than %v after the end of their step", late, startLimit)
	}
}
