package durable

import (
	"fmt"
	"testing"
	"time"
)

// raceTick is the time between two ticks of a race.
const raceTick = 20 * time.Millisecond

// race runs a step at endpoints whose events come after a time that a test sets.
type race struct {
	step    *Step
	now     time.Duration
	gap     map[string]time.Duration // by endpoint; zero is never
	used    map[string]int
	streams map[RunID]*raceStream
	done    int
	moved   int
}

type raceStream struct {
	sample   Sample
	endpoint string
	events   int
	due      time.Duration
}

const (
	raceEndpoints = 8
	raceSlots     = 6
	raceSamples   = 40
	usualGap      = 50 * time.Millisecond
)

func newRace() *race {
	r := &race{gap: map[string]time.Duration{}, used: map[string]int{}, streams: map[RunID]*raceStream{}}
	spec := Spec{ID: "race", MinVersion: 1}
	for i := range raceSamples {
		spec.Samples = append(spec.Samples, Sample{ID: fmt.Sprint("x", i), Length: 40 + i})
	}
	r.step = New(spec, nil, nil)
	for i := range raceEndpoints {
		r.gap[fmt.Sprint("e", i)] = usualGap
	}
	return r
}

// run plays until the step is done, or for a time, and returns how long it took.
func (r *race) run(most time.Duration) time.Duration {
	for until := r.now + most; r.now < until && r.done < raceSamples; r.now += raceTick {
		r.tick()
	}
	return r.now
}

func (r *race) tick() {
	var endpoints []Endpoint
	for i := range raceEndpoints {
		name := fmt.Sprint("e", i)
		endpoints = append(endpoints, Endpoint{Name: name, Version: 1, Free: raceSlots - r.used[name], Load: float64(r.used[name]) / raceSlots})
	}
	for _, a := range r.step.Tick(r.now, endpoints) {
		switch a := a.(type) {
		case Start:
			r.streams[a.Run] = &raceStream{sample: a.Sample, endpoint: a.Endpoint, events: a.After, due: r.now + usualGap}
			r.used[a.Endpoint]++
		case Cancel:
			r.used[r.streams[a.Run].endpoint]--
			delete(r.streams, a.Run)
			if a.Slow {
				r.moved++
			}
		}
	}
	for run, s := range r.streams {
		r.advance(run, s)
	}
}

func (r *race) advance(run RunID, s *raceStream) {
	for gap := r.gap[s.endpoint]; gap > 0 && r.now >= s.due; s.due += gap {
		if s.events == s.sample.Length {
			r.step.Ended(r.now, run, Whole)
			r.used[s.endpoint]--
			delete(r.streams, run)
			r.done++
			return
		}
		s.events++
		_ = r.step.Event(run, s.events, "e", 1)
	}
}

// TestSamplesLeaveSlowEndpoints: a step takes little longer when one endpoint turns
// four times slower, or goes silent without a word, than when all are well.
func TestSamplesLeaveSlowEndpoints(t *testing.T) {
	well := newRace().run(time.Minute)
	for name, gap := range map[string]time.Duration{"slow": 4 * usualGap, "silent": 0} {
		for _, at := range []time.Duration{0, time.Second} {
			r := newRace()
			r.run(at)
			r.gap["e3"] = gap
			took := r.run(time.Minute)
			t.Logf("%s from %v on: %v in place of %v, %d moves", name, at, took, well, r.moved)
			if bound := well + paceWindow*2; took > bound {
				t.Errorf("%s from %v on: %v, want at most %v", name, at, took, bound)
			}
		}
	}
}

// TestWhatHoldsUpAllMovesNothing: neither endpoints that are all slow, nor a process
// that stood still itself, make samples go elsewhere.
func TestWhatHoldsUpAllMovesNothing(t *testing.T) {
	for name, trouble := range map[string]func(*race){
		"all slow": func(r *race) {
			for e := range r.gap {
				r.gap[e] = 6 * usualGap
			}
		},
		"all silent for two seconds": func(r *race) {
			for e := range r.gap {
				r.gap[e] = 0
			}
			r.run(2 * time.Second)
			for e := range r.gap {
				r.gap[e] = usualGap
			}
		},
		"own process stood still": func(r *race) {
			r.now += 3 * time.Second
			for _, s := range r.streams {
				s.due = r.now
			}
		},
	} {
		r := newRace()
		r.run(time.Second)
		trouble(r)
		r.run(time.Minute)
		if r.moved > 0 || r.done < raceSamples {
			t.Errorf("%s: %d moves, %d of %d samples done", name, r.moved, r.done, raceSamples)
		}
	}
}
