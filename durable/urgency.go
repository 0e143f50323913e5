package durable

import "time"

const (
	// lowestPriority is the priority of the samples of spare groups, and
	// lowestNeeded the lowest one of others.
	lowestPriority = 9
	lowestNeeded   = lowestPriority - 1
	// stragglerShare is the part of a group's samples, as a divisor, that are the
	// last ones to finish.
	stragglerShare = 4
)

// SetPriority sets the priority of the step's team or route, of which 0 is the highest.
// With tell, engines are told the priority of all samples that start, and otherwise
// only that of the samples of groups that are not needed while others wait.
func (s *Step) SetPriority(priority int, tell bool) {
	s.priority = min(max(priority, 0), lowestNeeded)
	s.tellPriority = tell
}

// priorityOf returns the priority to tell an engine, if any. It is fixed when the
// stream starts: an engine that preempts a stream must read it in again.
func (s *Step) priorityOf(p *sample) (priority int, tell bool) {
	if s.scarce && p.group.tier == tierSpare {
		return lowestPriority, true
	}
	return s.priority, s.tellPriority
}

// isStraggler reports whether a sample is one of the last of a needed group.
func (s *Step) isStraggler(p *sample) bool {
	return p.group != nil && p.group.tier != tierSpare && p.group.open > 0 &&
		p.group.open*stragglerShare <= len(p.group.samples)
}

// pickFor returns the endpoint at which a sample starts, or nil. The last samples of a
// needed group go to the fastest endpoint with a free slot, if speeds are known.
func (s *Step) pickFor(now time.Duration, p *sample, endpoints []Endpoint) *Endpoint {
	e, _ := s.pick(now, p, endpoints)
	if e == nil || !s.isStraggler(p) {
		return e
	}
	for i := range endpoints {
		f := &endpoints[i]
		if f.speed() <= e.speed() || f.FreeSlots <= 0 || !s.accepts(p, f.Version) || s.backedOff(now, f.Name) ||
			f.Name == p.avoid && now < p.avoidUntil || s.slow(f.Name) {
			continue
		}
		e = f
	}
	return e
}
