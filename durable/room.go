package durable

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minYieldTime is the remaining time of a stream from which on it yields to a
	// needed sample. The prompt and the text must be read again when it resumes.
	minYieldTime = time.Second
	// maxYields bounds how often a sample yields.
	maxYields = 1
)

// room bounds the streams of a step.
type room struct {
	bound   int
	bounded bool
	// yieldedAt is when streams last yielded.
	yieldedAt time.Duration
}

// SetRoom bounds the number of streams. Tick starts no stream above the bound, but
// streams that run continue, and may move to another endpoint. A negative number means
// no bound.
func (s *Step) SetRoom(streams int) {
	s.bounded = streams >= 0
	s.bound = streams
}

// Need is what a step needs of the streams that it shares with other steps.
type Need struct {
	// Needed is the need of the groups that the trainer waits for, and Spare that of
	// the others.
	Needed, Spare Demand
	// Due is the time by which the results are needed, in the clock of Tick; zero if
	// it is not known.
	Due time.Duration
	// TokensPerSecond is the speed of a stream; zero if it is not known yet.
	TokensPerSecond float64
}

// Demand is the need of some of a step's groups.
type Demand struct {
	// Waiting is the number of samples that wait for a stream, and Running the number
	// of those that have one.
	Waiting, Running int
	// Tokens estimates what they have yet to generate together, and Longest what the
	// longest of them has yet to generate.
	Tokens, Longest float64
}

// Need returns what the step needs now.
func (s *Step) Need() Need {
	n := Need{Due: s.due, TokensPerSecond: float64(s.streamRate())}
	for _, p := range s.order {
		d := &n.Needed
		if p.group != nil && p.group.tier == tierSpare {
			d = &n.Spare
		}
		switch p.state {
		case waiting:
			d.Waiting++
		case running:
			d.Running++
		default:
			continue
		}
		left := float64(s.remaining(p))
		d.Tokens += left
		d.Longest = max(d.Longest, left)
	}
	return n
}

// roomLeft reports whether another stream may start.
func (s *Step) roomLeft() bool { return !s.bounded || len(s.byRun) < s.bound }

// startWaiting returns the actions that start waiting samples.
func (s *Step) startWaiting(now time.Duration, endpoints []Endpoint) []Action {
	var actions []Action
	for _, p := range s.startOrder(now, endpoints) {
		if p.state != waiting || !s.roomLeft() {
			continue
		}
		if a := s.start(now, p, endpoints); a != nil {
			actions = append(actions, a)
		}
	}
	return actions
}

// freeSlots returns the number of streams that can start now.
func (s *Step) freeSlots(now time.Duration, endpoints []Endpoint) int {
	free := 0
	for i := range endpoints {
		e := &endpoints[i]
		if e.FreeSlots > 0 && e.Version >= s.spec.MinVersion && !s.backedOff(now, e.Name) {
			free += e.FreeSlots
		}
	}
	if s.bounded {
		free = min(free, max(s.bound-len(s.byRun), 0))
	}
	return free
}

// allFreeSlots returns the number of free slots of all endpoints, also of those that
// refuse samples for a moment, because they load weights or are probed.
func (s *Step) allFreeSlots(endpoints []Endpoint) int {
	free := 0
	for i := range endpoints {
		free += max(endpoints[i].FreeSlots, 0)
	}
	if s.bounded {
		free = min(free, max(s.bound-len(s.byRun), 0))
	}
	return free
}

func (s *Step) countWaiting() int {
	n := 0
	for _, p := range s.order {
		if p.state == waiting {
			n++
		}
	}
	return n
}

// yieldStreams returns the actions that cancel streams of spare groups so that waiting
// samples of needed groups can start at the next Tick. The samples resume later.
func (s *Step) yieldStreams(now time.Duration, endpoints []Endpoint) []Action {
	if !s.scarce || now-s.yieldedAt < selectPeriod || s.streamRate() == 0 {
		return nil
	}
	want := s.countNeededWaiting(now)
	if want == 0 || s.freeSlots(now, endpoints) > 0 {
		return nil // what waits does so for another reason than a lack of room
	}
	var actions []Action
	for _, p := range s.streamsToYield(endpoints) {
		if len(actions) == want {
			break
		}
		actions = append(actions, Cancel{Run: p.run, Endpoint: p.endpoint, Yielded: true})
		delete(s.byRun, p.run)
		delete(s.backoffs, p.endpoint)
		p.state = waiting
		p.yields++
	}
	if len(actions) > 0 {
		s.yieldedAt = now
	}
	return actions
}

// countNeededWaiting counts the samples of needed groups that found no endpoint.
func (s *Step) countNeededWaiting(now time.Duration) int {
	n := 0
	for _, p := range s.order {
		if p.state == waiting && p.group.tier == tierNeeded && now >= p.notBefore {
			n++
		}
	}
	return n
}

// streamsToYield returns the streams of spare groups with enough time left to be worth
// the cost, those with the most work left first.
func (s *Step) streamsToYield(endpoints []Endpoint) []*sample {
	usable := map[string]bool{}
	for _, e := range endpoints {
		usable[e.Name] = e.Version >= s.spec.MinVersion
	}
	var list []*sample
	for _, p := range s.runningSamples() {
		if p.group.tier == tierSpare && p.yields < maxYields && usable[p.endpoint] && s.duration(s.remaining(p)) >= minYieldTime {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b *sample) int { return cmp.Compare(s.remaining(b), s.remaining(a)) })
	return list
}
