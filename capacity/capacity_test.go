package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestTarget(t *testing.T) {
	p := []Pool{
		{Cheap: true, Max: 4}, {Cheap: true, Max: 4}, {Cheap: true, Max: 4},
		{Min: 1, Max: 6},
	}
	uneven := []Pool{{Cheap: true, Max: 2}, {Cheap: true, Max: 9}, {Cheap: true, Max: 9}, {Max: 6}}
	for _, c := range []struct {
		need  Need
		pools []Pool
		want  []int
	}{
		{Need{}, p, []int{0, 0, 0, 1}},
		{Need{Interactive: 4}, p, []int{2, 2, 2, 1}},  // any two cheap pools and the other pool are enough
		{Need{Interactive: 12}, p, []int{4, 4, 4, 4}}, // cheap pools are full: 8 remain after a loss
		{Need{Interactive: 99}, p, []int{4, 4, 4, 6}}, // all pools are full
		{Need{Interactive: 3}, p[:1], []int{3}},       // no reserve is possible
		{Need{Interactive: 3}, p[2:], []int{0, 3}},    // a single cheap pool is no reserve
		{Need{Interactive: 8}, uneven, []int{2, 6, 6, 0}},
		{Need{Interactive: 2, Rollout: 7}, p, []int{3, 3, 2, 1}}, // rollout work uses the reserve
		{Need{Interactive: 9, Rollout: 9}, p, []int{4, 4, 4, 1}}, // reserve is covered, cheap pools are full
		{Need{Rollout: 99}, p, []int{4, 4, 4, 1}},                // cheap pools only
		{Need{Rollout: 2}, p[3:], []int{2}},                      // other pools, if there are no cheap ones
	} {
		if got := Target(c.pools, c.need); !slices.Equal(got, c.want) {
			t.Errorf("%+v: got %v, want %v", c.need, got, c.want)
		}
	}
}

func TestPolicyGoesDownSlowly(t *testing.T) {
	var p Policy
	steps := []struct {
		at       time.Duration
		target   int
		complete bool
		want     int
	}{
		{0, 8, true, 8}, {time.Second, 2, true, 8}, {4 * time.Minute, 4, true, 8},
		{5*time.Minute + time.Second, 2, true, 4},                      // the highest target since it fell
		{6 * time.Minute, 2, true, 4}, {10 * time.Minute, 2, false, 4}, // a gap restarts the wait
		{12 * time.Minute, 2, true, 4}, {17 * time.Minute, 2, true, 2}, {18 * time.Minute, 9, false, 9},
	}
	current := 0
	for _, s := range steps {
		if current = p.Decide(s.at, current, s.target, s.complete); current != s.want {
			t.Fatalf("at %v: got %d, want %d", s.at, current, s.want)
		}
	}
}

// TestPlannerReplacesAtOnce checks that the first plan after a data centre has lost
// its endpoints orders replacements in other data centres, and that repeating the
// same observation changes nothing.
func TestPlannerReplacesAtOnce(t *testing.T) {
	var p Planner
	pools := make([]PoolState, 4)
	for i := range pools {
		pools[i] = PoolState{Pool: Pool{DataCentre: fmt.Sprint(i), Cheap: i < 3, Max: 9}, HasOrder: true}
		pools[i].Observed = Observation{Valid: true, Fresh: true}
	}
	need := Need{Interactive: 4}
	for now := range 3 {
		for i, n := range p.Plan(time.Duration(now)*time.Second, pools, need, true) {
			pools[i].Ordered, pools[i].Observed.Live = n, n
		}
	}
	pools[0].Observed.Live = 0
	for now := 3; now < 6; now++ {
		got := p.Plan(time.Duration(now)*time.Second, pools, need, true)
		if want := []int{2, 4, 4, 0}; !slices.Equal(got, want) {
			t.Fatalf("after %d s: got %v, want %v", now, got, want)
		}
		pools[1].Ordered, pools[2].Ordered = 4, 4
	}
	if p.UnavailablePools() != 1 {
		t.Errorf("%d pools count as unavailable, want 1", p.UnavailablePools())
	}
}

func TestCollector(t *testing.T) {
	var c Collector
	demandAfter := func(now time.Duration, seqs ...uint32) Demand {
		var list []InstanceReport
		for i, seq := range seqs {
			instance := InstanceReport{Name: fmt.Sprint(i)}
			if seq > 0 {
				instance.Report = &Report{Seq: seq, Loads: map[ServiceID]Load{ServiceIDOf("tags"): {Interactive: 2, Rollout: 1}}}
			}
			list = append(list, instance)
		}
		c.Step(now, list)
		return c.Demand("tags")
	}
	for _, step := range []struct {
		at       time.Duration
		seqs     []uint32
		want     int
		complete bool
	}{
		{0, []uint32{1, 1}, 4, false},                // both reports are of unknown age
		{time.Second, []uint32{2, 1}, 4, false},      // one report still is
		{2 * time.Second, []uint32{3, 2}, 4, true},   // both instances have sent a new report
		{17 * time.Second, []uint32{4, 2}, 4, true},  // one report is 15 s old
		{18 * time.Second, []uint32{5, 2}, 4, false}, // too old, but it still counts
		{19 * time.Second, []uint32{6, 0}, 4, false}, // no longer available, but it still counts
		{20 * time.Second, []uint32{7}, 2, true},     // the instance was removed
		{21 * time.Second, []uint32{8, 0}, 2, false}, // a new instance without a report
		{22 * time.Second, nil, 0, false},
	} {
		if got := demandAfter(step.at, step.seqs...); got.Interactive != step.want || got.Complete != step.complete {
			t.Errorf("at %v: got %+v, want %d, complete %t", step.at, got, step.want, step.complete)
		}
	}
	// Only the latest reports contain the burst.
	old, burst := Report{Seq: 1}, Report{Seq: 2, Loads: map[ServiceID]Load{ServiceIDOf("tags"): {Interactive: 10}}}
	list := make([]InstanceReport, 100)
	for i := range list {
		list[i] = InstanceReport{Name: fmt.Sprint(i), Report: &old}
	}
	c.Step(0, list)
	for i := range 20 {
		list[i].Report = &burst
	}
	c.Step(time.Second, list)
	if got := c.Demand("tags").Interactive; got != 1000 {
		t.Errorf("the burst is estimated at %d requests, want 1000", got)
	}
}

func TestTrend(t *testing.T) {
	var trend Trend
	for i := range 10 {
		trend.Add(time.Duration(i)*time.Minute, float64(20-2*i))
		trend.Add(time.Duration(i)*time.Minute+time.Second, 99) // ignored: less than trendStep after the last point
	}
	for after, want := range map[time.Duration]float64{0: 2, time.Minute: 0, time.Hour: 0, -time.Minute: 4} {
		if got := trend.Forecast(after); got < want-0.001 || got > want+0.001 {
			t.Errorf("after %v: got %v, want %v", after, got, want)
		}
	}
}
