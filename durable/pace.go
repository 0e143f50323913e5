package durable

import (
	"slices"
	"time"
)

const (
	// lookPeriod is the time between two looks at the pace of the streams.
	lookPeriod = 200 * time.Millisecond
	// paceWindow is the shortest time over which a pace is judged. A window
	// lasts at most twice as long.
	paceWindow = time.Second
	// moveGain is how many times as fast as a stream the other endpoints must be
	// for it to go on elsewhere. A move costs reading the prompt again, which
	// takes a small part of the time between two looks.
	moveGain = 1.5
	// stallTime is how long a stream may bring nothing, its first event included,
	// before it goes on elsewhere.
	stallTime = 700 * time.Millisecond
	// maxMoves bounds the moves of one sample.
	maxMoves = 4
	// leastPaces is how many endpoints' paces must be known to call one slow.
	leastPaces = 3
	// fewStreams are so few that all of them may be at one endpoint.
	fewStreams = 4
	// maxPaces bounds the endpoints whose pace is remembered.
	maxPaces = 4096
)

// point is how far a stream was at a time.
type point struct {
	at     time.Duration
	events int
}

// progress is how a sample's stream comes on.
type progress struct {
	// before and mark are points that the pace is measured from; seen is the last
	// look that found a new event.
	before, mark, seen point
	// rate is in events a second, zero before the first window ends.
	rate  float64
	moves int
}

// begin notes the start of a stream.
func (p *progress) begin(now time.Duration, events int) {
	at := point{now, events}
	p.before, p.mark, p.seen, p.rate = at, at, at, 0
}

// look measures the stream.
func (p *progress) look(now time.Duration, events int) {
	if events > p.seen.events {
		p.seen = point{now, events}
	}
	if passed := now - p.before.at; passed >= paceWindow {
		p.rate = float64(events-p.before.events) / passed.Seconds()
	}
	if now-p.mark.at >= paceWindow {
		p.before, p.mark = p.mark, point{now, events}
	}
}

func (p *progress) stalled(now time.Duration) bool { return now-p.seen.at >= stallTime }

// paces are the rates of endpoints of late, in events a second.
type paces map[string]float64

// remember adds a rate; what was known counts half.
func (m paces) remember(endpoint string, rate float64) {
	if old, ok := m[endpoint]; ok {
		rate = (old + rate) / 2
	} else if len(m) >= maxPaces {
		clear(m)
	}
	m[endpoint] = rate
}

// typical is the median of the rates, zero if too few are known.
func (m paces) typical() float64 {
	if len(m) < leastPaces {
		return 0
	}
	rates := make([]float64, 0, len(m))
	for _, rate := range m {
		rates = append(rates, rate)
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// move ends the streams that come on much more slowly than others, or not at all,
// and begins them again where there is room, after their last event. What holds up
// most of them is no endpoint's fault, and moves nothing.
func (s *Step) move(now time.Duration, endpoints []Endpoint) []Action {
	passed := now - s.lookedAt
	if passed < lookPeriod {
		return nil
	}
	s.lookedAt = now
	running := s.runningSamples()
	if passed >= stallTime { // this process stood still itself
		for _, p := range running {
			p.progress.begin(now, len(p.events))
		}
		return nil
	}
	s.measure(now, running)
	var actions []Action
	for _, p := range s.heldUp(now, running) {
		if e, avoided := s.pick(now, p, endpoints); e == nil || avoided || e.Name == p.endpoint {
			continue
		}
		actions = append(actions, Cancel{Run: p.run, Endpoint: p.endpoint, Slow: true})
		delete(s.byRun, p.run)
		p.state = waiting
		p.notBefore = now
		p.avoid, p.avoidUntil = p.endpoint, now+avoidTime
		p.progress.moves++
		actions = append(actions, s.start(now, p, endpoints))
	}
	return actions
}

// runningSamples lists the samples with a stream, in a fixed order.
func (s *Step) runningSamples() []*sample {
	var list []*sample
	for _, p := range s.samples {
		if p.state == running {
			list = append(list, p)
		}
	}
	return list
}

// measure brings the streams' and the endpoints' rates up to date.
func (s *Step) measure(now time.Duration, running []*sample) {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, p := range running {
		p.progress.look(now, len(p.events))
		if now-p.progress.before.at >= paceWindow {
			sums[p.endpoint] += p.progress.rate
			counts[p.endpoint]++
		}
	}
	current := paces{}
	for name, sum := range sums {
		current[name] = sum / counts[name]
		s.paces.remember(name, current[name])
	}
	// What is remembered counts only where little runs: it may be of a time when
	// all were faster.
	if s.typical = current.typical(); s.typical == 0 {
		s.typical = s.paces.typical()
	}
}

// heldUp lists the streams that are to go on elsewhere.
func (s *Step) heldUp(now time.Duration, running []*sample) []*sample {
	var list []*sample
	stalled := 0
	for _, p := range running {
		if p.progress.stalled(now) {
			stalled++
		} else if p.progress.rate == 0 || p.progress.rate*moveGain >= s.typical {
			continue
		}
		if p.progress.moves < maxMoves {
			list = append(list, p)
		}
	}
	if len(running) >= fewStreams && 2*stalled > len(running) {
		return nil
	}
	return list
}

// slow reports whether an endpoint was much slower than others of late.
func (s *Step) slow(endpoint string) bool {
	rate, ok := s.paces[endpoint]
	return ok && rate*moveGain < s.typical
}
