package durable

import (
	"fmt"
	"testing"
	"time"
)

// simTick is the simulated time between two ticks.
const simTick = 20 * time.Millisecond

// slowEndpointSim simulates a step at endpoints whose event intervals a test sets.
type slowEndpointSim struct {
	step          *Step
	now           time.Duration
	eventInterval map[string]time.Duration // by endpoint; zero means no events
	used          map[string]int
	streams       map[RunID]*simStream
	done          int
	moved         int
}

type simStream struct {
	sample   Sample
	endpoint string
	events   int
	due      time.Duration
}

const (
	simEndpoints   = 8
	simSlots       = 6
	simSamples     = 40
	normalInterval = 50 * time.Millisecond
)

func newSlowEndpointSim() *slowEndpointSim {
	sim := &slowEndpointSim{eventInterval: map[string]time.Duration{}, used: map[string]int{}, streams: map[RunID]*simStream{}}
	spec := Spec{ID: "race", MinVersion: 1}
	for i := range simSamples {
		spec.Samples = append(spec.Samples, Sample{ID: fmt.Sprint("x", i), Length: 40 + i})
	}
	sim.step = New(spec, nil, nil)
	for i := range simEndpoints {
		sim.eventInterval[fmt.Sprint("e", i)] = normalInterval
	}
	return sim
}

// run simulates the step until it is done, or until limit has passed since the
// call. It returns the simulated time since the start of the simulation.
func (sim *slowEndpointSim) run(limit time.Duration) time.Duration {
	for until := sim.now + limit; sim.now < until && sim.done < simSamples; sim.now += simTick {
		sim.tick()
	}
	return sim.now
}

func (sim *slowEndpointSim) tick() {
	var endpoints []Endpoint
	for i := range simEndpoints {
		name := fmt.Sprint("e", i)
		endpoints = append(endpoints, Endpoint{Name: name, Version: 1, FreeSlots: simSlots - sim.used[name], Load: float64(sim.used[name]) / simSlots})
	}
	for _, a := range sim.step.Tick(sim.now, endpoints) {
		switch a := a.(type) {
		case Start:
			sim.streams[a.Run] = &simStream{sample: a.Sample, endpoint: a.Endpoint, events: a.After, due: sim.now + normalInterval}
			sim.used[a.Endpoint]++
		case Cancel:
			sim.used[sim.streams[a.Run].endpoint]--
			delete(sim.streams, a.Run)
			if a.Slow {
				sim.moved++
			}
		}
	}
	for run, s := range sim.streams {
		sim.advance(run, s)
	}
}

func (sim *slowEndpointSim) advance(run RunID, s *simStream) {
	for gap := sim.eventInterval[s.endpoint]; gap > 0 && sim.now >= s.due; s.due += gap {
		if s.events == s.sample.Length {
			sim.step.Ended(sim.now, run, Completed)
			sim.used[s.endpoint]--
			delete(sim.streams, run)
			sim.done++
			return
		}
		s.events++
		_ = sim.step.Event(run, s.events, "e", 1)
	}
}

// TestSamplesLeaveSlowEndpoints checks that a step takes little longer if one
// endpoint becomes four times slower, or stops sending events without an error,
// than if all endpoints work normally.
func TestSamplesLeaveSlowEndpoints(t *testing.T) {
	baseline := newSlowEndpointSim().run(time.Minute)
	for name, gap := range map[string]time.Duration{"slow": 4 * normalInterval, "silent": 0} {
		for _, at := range []time.Duration{0, time.Second} {
			sim := newSlowEndpointSim()
			sim.run(at)
			sim.eventInterval["e3"] = gap
			took := sim.run(time.Minute)
			t.Logf("%s from %v on: took %v, baseline %v, %d moves", name, at, took, baseline, sim.moved)
			if bound := baseline + rateWindow*2; took > bound {
				t.Errorf("%s from %v on: took %v, want at most %v", name, at, took, bound)
			}
		}
	}
}

// TestGeneralSlownessMovesNoSamples checks that no sample moves to another endpoint
// if all endpoints are slow or send no events, or if this process itself was
// paused.
func TestGeneralSlownessMovesNoSamples(t *testing.T) {
	for name, disturb := range map[string]func(*slowEndpointSim){
		"all slow": func(sim *slowEndpointSim) {
			for e := range sim.eventInterval {
				sim.eventInterval[e] = 6 * normalInterval
			}
		},
		"all without events for two seconds": func(sim *slowEndpointSim) {
			for e := range sim.eventInterval {
				sim.eventInterval[e] = 0
			}
			sim.run(2 * time.Second)
			for e := range sim.eventInterval {
				sim.eventInterval[e] = normalInterval
			}
		},
		"own process paused": func(sim *slowEndpointSim) {
			sim.now += 3 * time.Second
			for _, s := range sim.streams {
				s.due = sim.now
			}
		},
	} {
		sim := newSlowEndpointSim()
		sim.run(time.Second)
		disturb(sim)
		sim.run(time.Minute)
		if sim.moved > 0 || sim.done < simSamples {
			t.Errorf("%s: got %d moves and %d of %d samples done, want no moves and all samples", name, sim.moved, sim.done, simSamples)
		}
	}
}
