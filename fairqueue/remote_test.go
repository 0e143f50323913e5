package fairqueue

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sentReport is one usage report of an instance. The oracle keeps all of them.
type sentReport struct {
	at       time.Duration
	instance string
	usage    []Usage
}

// unexpired returns the last report of each instance, without expired ones.
func unexpired(all []sentReport, now time.Duration) map[string]sentReport {
	last := map[string]sentReport{}
	for _, s := range all {
		last[s.instance] = s
	}
	for name, s := range last {
		if now-s.at >= reportTTL {
			delete(last, name)
		}
	}
	return last
}

// TestRemoteUsageAgainstOracle compares Excess with an oracle that adds up the
// reports for each team. Late, lost and repeated reports and reports of
// replaced instances need no special cases: only the last unexpired report of
// each instance counts.
func TestRemoteUsageAgainstOracle(t *testing.T) {
	usages := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Usage {
		return Usage{
			Team:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
			Class: Class(rapid.IntRange(0, 1).Draw(t, "class")),
			Rate:  float64(rapid.IntRange(0, 50).Draw(t, "rate")),
		}
	}), 0, 4, func(u Usage) Usage { return Usage{Team: u.Team, Class: u.Class} })
	weight := func(team string) float64 { return teamWeights[team] }
	rapid.Check(t, func(t *rapid.T) {
		var r RemoteUsage
		var all []sentReport
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second
			s := sentReport{now, rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "instance"), usages.Draw(t, "use")}
			all = append(all, s)
			r.HandleReport(now, s.instance, s.usage)
		}
		now += time.Duration(rapid.IntRange(0, 6).Draw(t, "later")) * time.Second
		own := usages.Draw(t, "own")
		got := map[Usage]float64{}
		for _, u := range r.Excess(now, own, weight) {
			got[Usage{Team: u.Team, Class: u.Class}] = u.Rate
		}
		for _, c := range []Class{Interactive, Rollout} {
			compareExcess(t, got, c, own, unexpired(all, now))
		}
	})
}

func compareExcess(t *rapid.T, got map[Usage]float64, c Class, own []Usage, reports map[string]sentReport) {
	var local, remote, weights, sum = map[string]float64{}, map[string]float64{}, 0.0, 0.0
	active := map[string]bool{}
	count := func(list []Usage, into map[string]float64) {
		for _, u := range list {
			if u.Class == c {
				into[u.Team] += u.Rate
				active[u.Team] = true
				sum += u.Rate
			}
		}
	}
	count(own, local)
	for _, s := range reports {
		count(s.usage, remote)
	}
	for team := range active {
		weights += teamWeights[team]
	}
	for _, team := range []string{"a", "b", "c"} {
		fair := sum * teamWeights[team] / max(weights, 1)
		want := 0.0
		if local[team]+remote[team] > fairMargin*fair {
			want = min(local[team]+remote[team]-fair, remote[team])
		}
		if rate := got[Usage{Team: team, Class: c}]; math.Abs(rate-want) > 1e-6 {
			t.Fatalf("class %d, team %s: excess %v, want %v", c, team, rate, want)
		}
	}
}

// TestReportsAreBounded checks that at most maxReports reports are kept, and
// that the newest ones are.
func TestReportsAreBounded(t *testing.T) {
	var r RemoteUsage
	for i := range 10 * maxReports {
		r.HandleReport(time.Duration(i), string(rune('a'+i)), nil)
	}
	if _, ok := r.reports[string(rune('a'+10*maxReports-1))]; len(r.reports) != maxReports || !ok {
		t.Fatalf("%d reports kept, newest one kept: %v", len(r.reports), ok)
	}
}
