package durable

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// unevenSim simulates steps at endpoints of different speeds, each with its own view.
type unevenSim struct {
	speeds  []float64
	known   bool // whether the steps know the speeds
	used    []int
	steps   []*Step
	streams []map[RunID]*unevenStream // by step
	now     time.Duration
	// took contains the time until each sample was complete.
	took  []time.Duration
	moved int
}

type unevenStream struct {
	sample   Sample
	endpoint int
	events   int
	next     time.Duration
}

const (
	unevenSlots    = 6
	unevenInterval = 60 * time.Millisecond // at speed 1
	unevenSeed     = 20261206
)

// newUnevenSim returns a simulation of three steps with a number of samples per slot.
// Some samples are much longer than the others, and half of the estimates of the
// lengths are wrong.
func newUnevenSim(known bool, load float64) *unevenSim {
	sim := &unevenSim{known: known}
	for i := range 18 {
		sim.speeds = append(sim.speeds, []float64{0.7, 0.7, 1.7}[i%3])
	}
	sim.used = make([]int, len(sim.speeds))
	rnd := rand.New(rand.NewPCG(unevenSeed, 0))
	for i := range 3 {
		spec := Spec{ID: fmt.Sprint("step", i), MinVersion: 1}
		for n := range int(load * float64(len(sim.speeds)*unevenSlots) / 3) {
			length := 10 + rnd.IntN(16)
			if rnd.Float64() < 0.08 {
				length *= 5
			}
			spec.Samples = append(spec.Samples, Sample{ID: fmt.Sprint("x", n), Length: length})
		}
		sim.steps = append(sim.steps, New(withWrongEstimates(spec, rnd), nil, nil))
		sim.streams = append(sim.streams, map[RunID]*unevenStream{})
	}
	return sim
}

// withWrongEstimates moves the true lengths to the samples' bodies, and makes half of
// the estimates the mean length.
func withWrongEstimates(spec Spec, rnd *rand.Rand) Spec {
	for i := range spec.Samples {
		p := &spec.Samples[i]
		p.Body = make([]byte, p.Length)
		if rnd.IntN(2) == 0 {
			p.Length = 22
		}
	}
	return spec
}

func (sim *unevenSim) endpoints() []Endpoint {
	var list []Endpoint
	for i, used := range sim.used {
		e := Endpoint{Name: fmt.Sprint("e", i), Version: 1, FreeSlots: unevenSlots - used, Load: float64(used) / unevenSlots, IdleConnections: unevenSlots}
		if sim.known {
			e.Speed = sim.speeds[i] / 0.7
		}
		list = append(list, e)
	}
	return list
}

// run simulates until all samples are complete.
func (sim *unevenSim) run() {
	open := 0
	for _, s := range sim.steps {
		open += len(s.samples)
	}
	for ; len(sim.took) < open; sim.now += simTick {
		for i, s := range sim.steps {
			for _, a := range s.Tick(sim.now, sim.endpoints()) {
				sim.perform(i, a)
			}
		}
		for i := range sim.steps {
			for run, s := range sim.streams[i] {
				sim.advance(i, run, s)
			}
		}
	}
}

func (sim *unevenSim) perform(i int, a Action) {
	switch a := a.(type) {
	case Start:
		var e int
		_, _ = fmt.Sscanf(a.Endpoint, "e%d", &e)
		sim.used[e]++
		sim.streams[i][a.Run] = &unevenStream{sample: a.Sample, endpoint: e, events: a.After, next: sim.now + sim.interval(e)}
	case Cancel:
		sim.used[sim.streams[i][a.Run].endpoint]--
		delete(sim.streams[i], a.Run)
		sim.moved++
	}
}

func (sim *unevenSim) interval(endpoint int) time.Duration {
	return time.Duration(float64(unevenInterval) / sim.speeds[endpoint])
}

func (sim *unevenSim) advance(i int, run RunID, s *unevenStream) {
	for sim.now >= s.next {
		s.events++
		_ = sim.steps[i].Event(run, s.events, "e", 1)
		s.next += sim.interval(s.endpoint)
		if s.events == len(s.sample.Body) {
			sim.steps[i].Ended(sim.now, run, Completed)
			sim.used[s.endpoint]--
			delete(sim.streams[i], run)
			sim.took = append(sim.took, sim.now)
			return
		}
	}
}

// result returns the share of samples that were complete in time, and the mean time.
func (sim *unevenSim) result(due time.Duration) (share float64, mean time.Duration) {
	for _, took := range sim.took {
		if took <= due {
			share++
		}
		mean += took
	}
	n := len(sim.took)
	return share / float64(n), mean / time.Duration(n)
}

// TestKnownSpeedsImproveCompletion checks at several loads that more samples end in
// time and that the mean time is shorter if the speeds of the endpoints are known.
func TestKnownSpeedsImproveCompletion(t *testing.T) {
	const due = 4500 * time.Millisecond
	for _, load := range []float64{0.3, 0.6, 0.8, 1, 1.3} {
		today, known := newUnevenSim(false, load), newUnevenSim(true, load)
		today.run()
		known.run()
		shareToday, meanToday := today.result(due)
		share, mean := known.result(due)
		t.Logf("load %.1f: today %.3f in time, mean %v, %d moves; with known speeds %.3f, mean %v, %d moves",
			load, shareToday, meanToday, today.moved, share, mean, known.moved)
		if share < shareToday || mean >= meanToday {
			t.Errorf("load %.1f: got %.3f in time and mean %v, want better than %.3f and %v", load, share, mean, shareToday, meanToday)
		}
		if share < 0.97 {
			t.Errorf("load %.1f: got %.3f in time, want at least 0.97", load, share)
		}
	}
}

// pickWithoutSpeeds is the choice among endpoints that don't differ in speed.
func pickWithoutSpeeds(s *Step, now time.Duration, p *sample, endpoints []Endpoint) (e *Endpoint, avoided bool) {
	var best *Endpoint
	bestAvoided, least := false, 0.0
	for i := range endpoints {
		e := &endpoints[(s.searchOffset+i)%len(endpoints)]
		if e.FreeSlots <= 0 || !s.accepts(p, e.Version) || s.backedOff(now, e.Name) {
			continue
		}
		avoided := e.Name == p.avoid && now < p.avoidUntil || s.slow(e.Name)
		switch {
		case best == nil, bestAvoided && !avoided:
		case avoided && !bestAvoided, e.cost() >= least:
			continue
		}
		best, bestAvoided, least = e, avoided, e.cost()
	}
	return best, bestAvoided
}

func drawEndpoints(t *rapid.T) []Endpoint {
	var list []Endpoint
	for i := range rapid.IntRange(1, 8).Draw(t, "endpoints") {
		list = append(list, Endpoint{
			Name: fmt.Sprint("e", i), Version: rapid.Uint64Range(0, 2).Draw(t, "version"),
			FreeSlots:       rapid.IntRange(-1, 3).Draw(t, "free"),
			Load:            float64(rapid.IntRange(0, 6).Draw(t, "used")) / 6,
			IdleConnections: rapid.IntRange(0, 1).Draw(t, "idle"),
		})
	}
	return list
}

// TestEqualSpeedsPlaceAsWithoutSpeeds checks that the choice doesn't change if all
// speeds are 1 or unknown, and that with known speeds a sample starts whenever it
// did without them.
func TestEqualSpeedsPlaceAsWithoutSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := drawEndpoints(t)
		s := New(Spec{ID: rapid.String().Draw(t, "id"), MinVersion: 1}, nil, nil)
		p := &sample{avoid: fmt.Sprint("e", rapid.IntRange(0, 8).Draw(t, "avoid")), avoidUntil: time.Second}
		want, wantAvoided := pickWithoutSpeeds(s, 0, p, endpoints)
		for i := range endpoints {
			endpoints[i].Speed = rapid.SampledFrom([]float64{0, 1}).Draw(t, "speed")
		}
		s.comparePreferred(endpoints)
		if got, avoided := s.pick(0, p, endpoints); got != want || avoided != wantAvoided {
			t.Fatalf("got %v (avoided %v), want %v (avoided %v)", got, avoided, want, wantAvoided)
		}
		for i := range endpoints {
			endpoints[i].Speed = rapid.Float64Range(0, 8).Draw(t, "uneven speed")
		}
		s.comparePreferred(endpoints)
		if got, avoided := s.pick(0, p, endpoints); (got == nil) != (want == nil) || avoided != wantAvoided {
			t.Fatalf("got %v (avoided %v) with speeds, want one like %v (avoided %v)", got, avoided, want, wantAvoided)
		}
	})
}

// TestEqualSpeedsActAsWithoutSpeeds checks that a whole step takes the same actions
// if all speeds are 1 as if they are unknown.
func TestEqualSpeedsActAsWithoutSpeeds(t *testing.T) {
	actions := func(speed float64) (list []Action) {
		spec := Spec{ID: "s", MinVersion: 1}
		for i := range 60 {
			spec.Samples = append(spec.Samples, Sample{ID: fmt.Sprint("x", i), Length: 10 + i%7})
		}
		s := New(spec, nil, nil)
		rnd := rand.New(rand.NewPCG(unevenSeed, 0))
		for now := time.Duration(0); now < 6*time.Second; now += simTick {
			var endpoints []Endpoint
			for i := range 5 {
				endpoints = append(endpoints, Endpoint{Name: fmt.Sprint("e", i), Version: 1, FreeSlots: rnd.IntN(3), Load: rnd.Float64(), Speed: speed})
			}
			list = append(list, s.Tick(now, endpoints)...)
			for _, p := range s.runningSamples() {
				if rnd.IntN(5) > 0 {
					_ = s.Event(p.run, len(p.events)+1, "e", 1)
				}
				if len(p.events) > 30 {
					s.Ended(now, p.run, Completed)
				}
			}
		}
		return list
	}
	if got, want := actions(1), actions(0); len(want) < 60 || !reflect.DeepEqual(got, want) {
		t.Errorf("got %d actions with equal speeds, want the %d actions without speeds", len(got), len(want))
	}
}

// TestInstancesWithTheSameViewSpread checks that the first samples of many steps that
// have the same view don't all start at one endpoint.
func TestInstancesWithTheSameViewSpread(t *testing.T) {
	counts := map[string]int{}
	for i := range 90 {
		s := New(Spec{ID: fmt.Sprint("s", i), MinVersion: 1, Samples: []Sample{{ID: "x"}}}, nil, nil)
		var endpoints []Endpoint
		for n := range 9 {
			endpoints = append(endpoints, Endpoint{Name: fmt.Sprint("e", n), Version: 1, FreeSlots: 6, Speed: []float64{1, 1, 2.4}[n%3] + 0.01*float64(n)})
		}
		for _, a := range s.Tick(0, endpoints) {
			counts[a.(Start).Endpoint]++
		}
	}
	for _, fast := range []string{"e2", "e5", "e8"} {
		if counts[fast] < 15 {
			t.Errorf("%d of 90 samples start at %s, one of three fast endpoints: %v", counts[fast], fast, counts)
		}
	}
}

// TestOneFastEndpointGetsItsShare checks that steps of many instances with the same view
// don't all choose the only endpoint that is faster than the others.
func TestOneFastEndpointGetsItsShare(t *testing.T) {
	const steps, samples, slots = 40, 4, 8
	counts := map[string]int{}
	for i := range steps {
		spec := Spec{ID: fmt.Sprint("s", i), MinVersion: 1}
		for n := range samples {
			spec.Samples = append(spec.Samples, Sample{ID: fmt.Sprint("x", n)})
		}
		var endpoints []Endpoint
		for n := range 20 {
			endpoints = append(endpoints, Endpoint{Name: fmt.Sprint("e", n), Version: 1, FreeSlots: slots, IdleConnections: slots, Speed: 1})
		}
		endpoints[7].Speed = 1.6
		for _, a := range New(spec, nil, nil).Tick(0, endpoints) {
			counts[a.(Start).Endpoint]++
		}
	}
	if counts["e7"] > 2*slots {
		t.Errorf("%d of %d samples start at the fast endpoint, want at most %d: %v", counts["e7"], steps*samples, 2*slots, counts)
	}
}
