package dispatch

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var usageSeeds = flag.Int("use-seeds", 1, "seeds of each run of TestRemoteUsageFairness whose figures are only logged")

// minComparedSeeds is the minimum number of seeds of runs that are compared,
// because the figures of a single seed vary randomly.
const minComparedSeeds = 6

// simUsageInstances is the number of instances in runs with exchange of the teams'
// usage. In each simUsagePeriod, each instance queries another one.
const (
	simUsageInstances = 10
	simUsagePeriod    = 250 * time.Millisecond
)

// exchangeUsage runs the dispatchers' usage measurement, and exchanges the teams'
// usage between the instances for usageSharedFor.
func (s *dispatchSimulation) exchangeUsage(ctx context.Context, usageSharedFor time.Duration) {
	for _, d := range s.dispatchers {
		go d.runUsage(ctx.Done())
	}
	for end := time.Now().Add(usageSharedFor); ctx.Err() == nil && time.Now().Before(end); time.Sleep(simUsagePeriod) {
		for i, d := range s.dispatchers {
			j := s.intN(len(s.dispatchers))
			for _, name := range d.WaitingServices() {
				if i != j {
					d.HandleUsageReport(fmt.Sprint(j), name, s.dispatchers[j].Usage(name))
				}
			}
		}
	}
}

// TestRemoteUsageFairness measures the worst-served team, team 0 excluded, while
// team 0 sends 10 times its share to one, three or all of ten instances. The callers
// of team 1 use only one of these instances, or all instances. The instances exchange
// the teams' usage never, for a third of the time, or always. Where team 0 uses more
// instances than team 1, the exchange must shorten the median wait; where team 0
// uses all instances and team 1 one, also the p99 wait and the share of unanswered
// requests.
func TestRemoteUsageFairness(t *testing.T) {
	for _, sc := range []struct{ team0At, team1At int }{
		{1, 1}, {3, 1}, {simUsageInstances, 1}, {1, simUsageInstances}, {3, simUsageInstances}, {simUsageInstances, simUsageInstances},
	} {
		instancesOf := func(team int) int {
			return map[int]int{0: sc.team0At, 1: sc.team1At}[team]
		}
		seeds := *usageSeeds
		if sc.team0At > sc.team1At {
			seeds = max(seeds, minComparedSeeds)
		}
		means := map[time.Duration]worst{}
		for _, usageSharedFor := range []time.Duration{0, simTime / 3, simTime} {
			w := meanWorst(t, scenario{rate: oneTeamOverloads, lag: time.Second, instances: simUsageInstances, usageSharedFor: usageSharedFor, instancesOf: instancesOf}, seeds)
			t.Logf("team 0 at %2d, team 1 at %2d instances, usage exchanged for %3v: %v", sc.team0At, sc.team1At, usageSharedFor, w)
			means[usageSharedFor] = w
		}
		without, with := means[0], means[simTime]
		if sc.team0At > sc.team1At && with.p50 >= without.p50 {
			t.Errorf("team 0 at %d instances, team 1 at %d: p50 %v, without usage exchange %v", sc.team0At, sc.team1At, with.p50, without.p50)
		}
		if sc.team0At == simUsageInstances && sc.team1At == 1 && (with.p99 >= without.p99 || with.unanswered >= without.unanswered) {
			t.Errorf("team 0 at all instances: %v, without usage exchange %v", with, without)
		}
	}
}

// meanWorst runs a scenario with n seeds and returns the mean figures.
func meanWorst(t *testing.T, sc scenario, n int) worst {
	var mean worst
	for i := range n {
		synctest.Test(t, func(*testing.T) {
			s := newDispatchSimulation(sc, simSeed+uint64(i))
			s.run(sc, s.dispatchPolicy())
			w := s.worst(1)
			mean.p50 += w.p50 / time.Duration(n)
			mean.p99 += w.p99 / time.Duration(n)
			mean.max += w.max / time.Duration(n)
			mean.unanswered += w.unanswered / float64(n)
			mean.amplification += w.amplification / float64(n)
		})
	}
	return mean
}
