package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/view"
)

// roomInstances instances start as many streams as allowed at one endpoint. Each
// instance receives the endpoint's load report every reportSteps steps of roomStep.
const (
	roomInstances = 10
	roomSlots     = 64
	roomStep      = 100 * time.Millisecond
	reportSteps   = 10
	// phaseSteps is the number of steps after which all instances stop and start
	// again from an idle endpoint.
	phaseSteps = 100
	// reportDelay is the time until other instances have received the report that
	// an instance has started work.
	reportDelay = 1500 * time.Millisecond
)

type roomInstance struct {
	startedAt time.Duration // zero without work
	counter   capacity.Sharers
	e         view.Endpoint
}

// roomFor returns the number of streams that instance i may start, based on the
// demand reports that it has received.
func roomFor(list []*roomInstance, i int, now time.Duration) int {
	v := view.View{Members: map[string]view.Member{}}
	var demandReports []capacity.InstanceReport
	for j, r := range list {
		t := capacity.InstanceReport{Name: fmt.Sprint(j)}
		if r.startedAt > 0 && (i == j || now-r.startedAt >= reportDelay) {
			t.Report = &capacity.Report{Loads: map[capacity.ServiceID]capacity.Load{0: {Rollout: 1}}}
		}
		demandReports = append(demandReports, t)
		v.Members[t.Name] = view.Member{}
	}
	v.RolloutInstances = list[i].counter.Step(now, fmt.Sprint(i), demandReports)
	return RolloutRoom(&list[i].e, v.RolloutSharers())
}

// TestRolloutRoomFromDemandReports checks that a single instance with work takes
// all of the room, and that any number of instances that start at any times
// together exceed the room by at most the room itself, plus one stream for each
// instance by rounding.
func TestRolloutRoomFromDemandReports(t *testing.T) {
	const room = roomSlots * rolloutSharePercent / 100
	rnd := rand.New(rand.NewPCG(simSeed, 0))
	var list []*roomInstance
	for range roomInstances {
		list = append(list, &roomInstance{e: view.Endpoint{Stats: &view.Stats{}, Load: engine.Load{MaxRunning: roomSlots}}})
	}
	list[0].startedAt = roomStep
	total, worst := 0, 0
	for n := range 6000 {
		now := time.Duration(n+1) * roomStep
		phase := n % phaseSteps
		if n == phaseSteps-1 && total != room {
			t.Errorf("a single instance has %d streams, want %d", total, room)
		}
		for i, r := range list {
			ownStreams := &r.e.Stats.InFlight
			switch {
			case n < phaseSteps: // only the first instance has work
			case phase == 0: // all streams and all work end
				total -= int(ownStreams.Swap(0))
				r.startedAt = 0
			case phase == phaseSteps/4 && rnd.IntN(2) == 0, r.startedAt == 0 && rnd.IntN(200) == 0:
				r.startedAt = now
			case ownStreams.Load() > 0 && rnd.IntN(5) == 0:
				ownStreams.Add(-1)
				total--
			}
			if (n+i)%reportSteps == 0 {
				r.e.Load.Running, r.e.OwnInFlightAtLoad = total, int(ownStreams.Load())
			}
			if allowed := roomFor(list, i, now); r.startedAt > 0 && allowed > 0 {
				ownStreams.Add(int64(allowed))
				total += allowed
			}
		}
		worst = max(worst, total)
	}
	t.Logf("at most %d streams in a room of %d", worst, room)
	if worst > 2*room+roomInstances {
		t.Errorf("%d streams in a room of %d, want at most twice the room and one for each instance", worst, room)
	}
}
