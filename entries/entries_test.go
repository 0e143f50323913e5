package entries

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func TestRankAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Instance {
			return Instance{
				DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"),
				Addr:       rapid.SampledFrom([]string{"", "x"}).Draw(t, "addr"),
				InFlight:   rapid.IntRange(0, 1000).Draw(t, "load"),
				Leaving:    rapid.Bool().Draw(t, "leaving"),
			}
		}), 0, 9).Draw(t, "list")
		want := map[Instance]bool{}
		for i := range list {
			list[i].Name = fmt.Sprint(i)
			if !list[i].Leaving && list[i].Addr != "" {
				want[list[i]] = true
			}
		}
		got := Rank(list, "a", rapid.Float64Range(0, 0.999999).Draw(t, "point"))
		if len(got) != len(want) {
			t.Fatalf("%d entries, want %d", len(got), len(want))
		}
		for i, in := range got {
			if !want[in] {
				t.Fatalf("%v is not eligible or is listed twice", in)
			}
			delete(want, in)
			if i > 0 && in.DataCentre == "a" && got[i-1].DataCentre != "a" {
				t.Fatal("an instance of the caller's data centre comes after a remote one")
			}
		}
	})
}

// simulation simulates callers that use an instance for the duration usageTime
// and send requests at constant rates.
type simulation struct {
	rnd           *rand.Rand
	rate          []int          // requests per second, by caller
	chooseAgainAt []int          // second at which to choose again, by caller
	instance      []string       // instance in use, by caller
	load          map[string]int // by instance
	ranked        uint64         // number of calls of Rank
}

// meanPeakLoad returns the mean of peakLoad over several seeds.
func meanPeakLoad(choose func(s *simulation, list []Instance) string, events map[int]int) float64 {
	const seeds = 5
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += peakLoad(seed, choose, events)
	}
	return sum / seeds
}

// peakLoad returns the maximum load divided by the mean load, averaged over the
// last minute of the run. events maps a second to the number of instances from
// that second on. Loads are reported with a delay of lag seconds.
func peakLoad(seed uint64, choose func(s *simulation, list []Instance) string, events map[int]int) float64 {
	const callers, seconds, lag = 300, 240, 5
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 0)), load: map[string]int{}}
	var reports [lag]map[string]int
	for range callers {
		s.rate = append(s.rate, 1+int(s.rnd.ExpFloat64()*5))
		s.chooseAgainAt = append(s.chooseAgainAt, 0)
		s.instance = append(s.instance, "")
	}
	live, sum := 9, 0.0
	for second := range seconds {
		if n, ok := events[second]; ok {
			live = n
		}
		list := make([]Instance, live)
		for i := range list {
			name := fmt.Sprint(i)
			list[i] = Instance{Name: name, Addr: name, InFlight: reports[second%lag][name]}
		}
		reports[second%lag] = s.load
		s.load = map[string]int{}
		total, highest := 0, 0
		for c := range callers {
			removed := s.instance[c] == "" || s.instance[c] >= fmt.Sprint(live)
			if second >= s.chooseAgainAt[c] || removed {
				s.instance[c], s.chooseAgainAt[c] = choose(s, list), second+s.usageTime()
			}
			s.load[s.instance[c]] += s.rate[c]
			total += s.rate[c]
			highest = max(highest, s.load[s.instance[c]])
		}
		if second >= seconds-60 {
			sum += float64(highest) / (float64(total) / float64(live)) / 60
		}
	}
	return sum
}

// usageTime returns the time for which a caller uses an instance, in seconds:
// one minute plus or minus a fifth.
func (s *simulation) usageTime() int { return 48 + s.rnd.IntN(25) }

func byRank(s *simulation, list []Instance) string {
	s.ranked++
	return Rank(list, "", Point(0, s.ranked))[0].Name
}

func atRandom(s *simulation, list []Instance) string { return list[s.rnd.IntN(len(list))].Name }

func leastLoaded(s *simulation, list []Instance) string {
	best := list[0]
	for _, in := range list {
		if in.InFlight < best.InFlight {
			best = in
		}
	}
	return best.Name
}

// TestRankBalancesLoad checks that Rank balances the load at least as well as a
// random choice. It compares the load of the busiest instance divided by the
// mean load.
func TestRankBalancesLoad(t *testing.T) {
	for name, events := range map[string]map[int]int{
		"steady": nil, "one lost": {200: 8}, "one added": {0: 8, 200: 9},
	} {
		ranked := meanPeakLoad(byRank, events)
		random := meanPeakLoad(atRandom, events)
		t.Logf("%s: ranked %.2f, random %.2f, least reported %.2f", name, ranked, random, meanPeakLoad(leastLoaded, events))
		if ranked > random {
			t.Errorf("%s: busiest instance has %.2f times the mean load, %.2f with a random choice", name, ranked, random)
		}
	}
}

func ExampleRank() {
	list := []Instance{
		{Name: "a", Addr: "10.0.0.1:80", InFlight: 90},
		{Name: "b", Addr: "10.0.0.2:80", InFlight: 10},
		{Name: "c", Addr: "10.0.0.3:80", Leaving: true},
	}
	for _, in := range Rank(list, "", 0.5) {
		fmt.Println(in.Name)
	}
	// Output:
	// b
	// a
}
