package durable

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clearSpeedRatio is the factor by which a speed must differ from 1 to count:
	// smaller differences may be noise.
	clearSpeedRatio = 1.5
	// minFastShare is the part of the free slots that the fast endpoints must have to
	// be preferred. Instances with the same view would otherwise all choose the same
	// few slots.
	minFastShare = 0.25
	// minFastShareForLong replaces minFastShare for samples whose estimated length
	// exceeds the step's mean by longRatio: these gain most, and are few.
	minFastShareForLong = 0.1
	longRatio           = 1.5
	// minNormalSpeedup is the factor by which an endpoint must be faster for a stream
	// to move there from an endpoint that is not slow.
	minNormalSpeedup = 2
	// minMoveGain is the factor by which the expected finish must be earlier for a
	// stream to move to a faster endpoint.
	minMoveGain = 1.25
	// minCompleted is the number of complete samples from which on their mean length
	// is used.
	minCompleted = 8
)

// speed returns the endpoint's speed, which is 1 if it is unknown or differs little.
func (e *Endpoint) speed() float64 {
	if e.Speed <= 0 || e.Speed < clearSpeedRatio && e.Speed*clearSpeedRatio > 1 {
		return 1
	}
	return e.Speed
}

// uneven reports whether the endpoints differ in speed.
func uneven(endpoints []Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e Endpoint) bool { return e.speed() != 1 })
}

// expectedFinish returns the time after which a sample is expected to end at the
// endpoint, as a multiple of the time that it takes alone at an endpoint of speed 1.
// The endpoint's cost counts as work, so that it is scaled by the speed as well.
func (e *Endpoint) expectedFinish() float64 { return (1 + e.cost()) / e.speed() }

// preferredSpeed returns the speed from which on endpoints are preferred: about that of
// the fastest, if these endpoints have at least minShare of the free slots, and otherwise that of
// endpoints that are not slow. It returns zero if the endpoints don't differ.
func preferredSpeed(endpoints []Endpoint, minShare float64) float64 {
	fastest, slowest, free := 0.0, 0.0, 0
	for i := range endpoints {
		e := &endpoints[i]
		if e.FreeSlots <= 0 {
			continue
		}
		if free == 0 {
			slowest = e.speed()
		}
		fastest, slowest = max(fastest, e.speed()), min(slowest, e.speed())
		free += e.FreeSlots
	}
	if fastest == slowest {
		return 0
	}
	preferred := 0
	for i := range endpoints {
		if e := &endpoints[i]; e.FreeSlots > 0 && e.speed()*clearSpeedRatio >= fastest {
			preferred += e.FreeSlots
		}
	}
	if float64(preferred) >= minShare*float64(free) {
		return fastest / clearSpeedRatio
	}
	return 1 / clearSpeedRatio
}

// comparePreferred computes the speeds from which on endpoints are preferred.
func (s *Step) comparePreferred(endpoints []Endpoint) {
	s.preferredSpeed = preferredSpeed(endpoints, minFastShare)
	s.preferredForLong = preferredSpeed(endpoints, minFastShareForLong)
}

// preferredFor returns the speed from which on endpoints are preferred for a sample.
func (s *Step) preferredFor(p *sample) float64 {
	if float64(p.Length) > s.longLength {
		return s.preferredForLong
	}
	return s.preferredSpeed
}

// longLength returns the estimated length above which a sample is long.
func longLength(samples []Sample) float64 {
	sum := 0.0
	for _, p := range samples {
		sum += float64(p.Length)
	}
	return longRatio * sum / float64(max(len(samples), 1))
}

// earlier returns the one of two endpoints with the earlier expected finish. Either may
// be nil. The first one is preferred to an equal one.
func earlier(a, b *Endpoint) *Endpoint {
	if a == nil || b != nil && b.expectedFinish() < a.expectedFinish() {
		return b
	}
	return a
}

// completedLengths is the mean number of events of complete samples.
type completedLengths struct {
	sum, count int
}

func (l *completedLengths) add(events int) {
	l.sum += events
	l.count++
}

// long reports whether a number of events exceeds the mean of the complete samples.
func (l *completedLengths) long(events int) bool {
	return l.count >= minCompleted && events*l.count > l.sum
}

// streamsToSpeedUp returns the streams that should move to a faster endpoint, although
// they are not slow for their own endpoint: those of samples that are already longer
// than the mean, and so have probably much left. Each sample moves at most once for
// this reason, and only while no sample waits for the room.
func (s *Step) streamsToSpeedUp(now time.Duration, running []*sample, endpoints []Endpoint) []*sample {
	if !uneven(endpoints) || s.Progress().Waiting > 0 {
		return nil
	}
	var list []*sample
	for _, p := range running {
		if p.progress.moves == 0 && now-p.progress.startedAt >= rateWindow && s.completed.long(len(p.events)) {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b *sample) int { return cmp.Compare(len(b.events), len(a.events)) })
	return list
}

// pickMuchFaster returns an endpoint that is much faster than the one where a sample
// runs, and that is expected to finish the sample clearly earlier with the work that it
// has, or nil.
func (s *Step) pickMuchFaster(now time.Duration, p *sample, endpoints []Endpoint) *Endpoint {
	i := slices.IndexFunc(endpoints, func(e Endpoint) bool { return e.Name == p.endpoint })
	if i < 0 {
		return nil
	}
	old := &endpoints[i]
	from := minMoveSpeedup * old.speed()
	if old.speed() >= 1 {
		from = minNormalSpeedup * old.speed()
	}
	e, avoided := s.pickPreferred(now, p, endpoints, from)
	if e == nil || avoided || e.speed() < from {
		return nil
	}
	// The old endpoint's load contains the sample.
	finish := (1 + e.cost() + loadPerStream(e)) / e.speed()
	if minMoveGain*finish > (1+old.Load)/old.speed() {
		return nil
	}
	return e
}
