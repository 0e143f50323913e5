package durable

import (
	"slices"
	"time"
)

const (
	// measurePeriod is the time between two measurements of the streams' rates.
	measurePeriod = 200 * time.Millisecond
	// rateWindow is the shortest time over which a rate is measured. A window
	// is at most twice that long.
	rateWindow = time.Second
	// minMoveSpeedup is the factor by which the median endpoint must be faster
	// than a stream for the stream to move to another endpoint. After a move the
	// new endpoint reads the prompt again, which takes a small part of
	// measurePeriod.
	minMoveSpeedup = 1.5
	// stallTimeout is how long a stream may deliver no event, including its first
	// one, before it moves to another endpoint.
	stallTimeout = 700 * time.Millisecond
	// maxMoves bounds the moves of one sample.
	maxMoves = 4
	// minRates is the number of endpoints whose rates must be available before
	// one of them can be considered slow.
	minRates = 3
	// minStreamsForGeneralStall is the smallest number of streams of which a
	// stalled majority indicates a general stall. Fewer streams may all be at one
	// endpoint.
	minStreamsForGeneralStall = 4
	// maxRates bounds the number of endpoints in endpointRates.
	maxRates = 4096
)

// point is the number of events that a stream had delivered at a time.
type point struct {
	at     time.Duration
	events int
}

// progress measures the rate of a sample's stream.
type progress struct {
	// windowStart is the point from which the rate is measured, and
	// nextWindowStart the point that replaces it. lastProgress is the last
	// measurement that found a new event.
	windowStart, nextWindowStart, lastProgress point
	// rate is in events per second, and zero until the first window ends.
	rate  float64
	moves int
	// startedAt is when the stream was started.
	startedAt time.Duration
}

// reset starts the measurement of a new stream.
func (p *progress) reset(now time.Duration, events int) {
	at := point{now, events}
	p.windowStart, p.nextWindowStart, p.lastProgress, p.rate = at, at, at, 0
	p.startedAt = now
}

// observe records the stream's current number of events and updates its rate.
func (p *progress) observe(now time.Duration, events int) {
	if events > p.lastProgress.events {
		p.lastProgress = point{now, events}
	}
	if elapsed := now - p.windowStart.at; elapsed >= rateWindow {
		p.rate = float64(events-p.windowStart.events) / elapsed.Seconds()
	}
	if now-p.nextWindowStart.at >= rateWindow {
		p.windowStart, p.nextWindowStart = p.nextWindowStart, point{now, events}
	}
}

func (p *progress) stalled(now time.Duration) bool { return now-p.lastProgress.at >= stallTimeout }

// endpointRates maps endpoints to their recent rates, in events per second.
type endpointRates map[string]float64

// add averages a rate with the previous one of the endpoint.
func (m endpointRates) add(endpoint string, rate float64) {
	if old, ok := m[endpoint]; ok {
		rate = (old + rate) / 2
	} else if len(m) >= maxRates {
		clear(m)
	}
	m[endpoint] = rate
}

// median returns the median of the rates, or zero if there are fewer than
// minRates.
func (m endpointRates) median() float64 {
	if len(m) < minRates {
		return 0
	}
	rates := make([]float64, 0, len(m))
	for _, rate := range m {
		rates = append(rates, rate)
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// moveSlowStreams returns the actions that cancel the streams that are stalled or
// much slower than others, and that resume them after their last event at other
// endpoints with free slots. If most streams are stalled, the cause is not a single
// endpoint and no stream is moved.
func (s *Step) moveSlowStreams(now time.Duration, endpoints []Endpoint) []Action {
	elapsed := now - s.measuredAt
	if elapsed < measurePeriod {
		return nil
	}
	s.measuredAt = now
	running := s.runningSamples()
	if elapsed >= stallTimeout { // this process itself was paused
		for _, p := range running {
			p.progress.reset(now, len(p.events))
		}
		return nil
	}
	s.measure(now, running)
	var actions []Action
	for _, p := range s.streamsToMove(now, running) {
		if e, avoided := s.pick(now, p, endpoints); e != nil && !avoided && e.Name != p.endpoint {
			actions = append(actions, s.leave(now, p), s.start(now, p, endpoints))
		}
	}
	for _, p := range s.streamsToSpeedUp(now, running, endpoints) {
		if e := s.pickMuchFaster(now, p, endpoints); e != nil {
			actions = append(actions, s.leave(now, p), s.startAt(now, p, e))
		}
	}
	return actions
}

// leave returns the action that cancels a sample's stream, which is then to be resumed
// at another endpoint.
func (s *Step) leave(now time.Duration, p *sample) Action {
	cancel := Cancel{Run: p.run, Endpoint: p.endpoint, Slow: true}
	delete(s.byRun, p.run)
	p.state = waiting
	p.notBefore = now
	p.avoid, p.avoidUntil = p.endpoint, now+avoidPeriod
	p.progress.moves++
	return cancel
}

// runningSamples returns the samples with a stream, in a fixed order.
func (s *Step) runningSamples() []*sample {
	var list []*sample
	for _, p := range s.samples {
		if p.state == running {
			list = append(list, p)
		}
	}
	return list
}

// measure updates the rates of the streams and the endpoints.
func (s *Step) measure(now time.Duration, running []*sample) {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, p := range running {
		p.progress.observe(now, len(p.events))
		if now-p.progress.windowStart.at >= rateWindow {
			sums[p.endpoint] += p.progress.rate
			counts[p.endpoint]++
		}
	}
	current := endpointRates{}
	for name, sum := range sums {
		current[name] = sum / counts[name]
		s.rates.add(name, current[name])
	}
	// The earlier rates in s.rates are used only if too few endpoints have a
	// current rate: they may date from a time when all endpoints were faster.
	if s.medianRate = current.median(); s.medianRate == 0 {
		s.medianRate = s.rates.median()
	}
}

// streamsToMove returns the streams that should move to another endpoint.
func (s *Step) streamsToMove(now time.Duration, running []*sample) []*sample {
	var list []*sample
	stalled := 0
	for _, p := range running {
		if p.progress.stalled(now) {
			stalled++
		} else if p.progress.rate == 0 || p.progress.rate*minMoveSpeedup >= s.medianRate {
			continue
		}
		if p.progress.moves < maxMoves {
			list = append(list, p)
		}
	}
	if len(running) >= minStreamsForGeneralStall && 2*stalled > len(running) {
		return nil
	}
	return list
}

// slow reports whether an endpoint was recently much slower than others.
func (s *Step) slow(endpoint string) bool {
	rate, ok := s.rates[endpoint]
	return ok && rate*minMoveSpeedup < s.medianRate
}
