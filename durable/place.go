package durable

import "time"

// start begins a sample's stream at the best endpoint, if it is time and one
// has room.
func (s *Step) start(now time.Duration, p *sample, endpoints []Endpoint) Action {
	if now < p.notBefore {
		return nil
	}
	if s.stranded(p, endpoints) {
		p.events, p.versions = nil, nil
	}
	e, _ := s.pick(now, p, endpoints)
	if e == nil {
		return nil
	}
	if r, ok := s.rests[e.Name]; ok {
		r.trying = true
		s.rests[e.Name] = r
	}
	e.Free--
	e.Load += loadOf(e)
	e.Warm--
	s.nextRun++
	p.state = running
	p.run = s.nextRun
	p.endpoint = e.Name
	p.progress.begin(now, len(p.events))
	s.byRun[p.run] = p
	return Start{Run: p.run, Sample: p.Sample, Endpoint: e.Name, After: len(p.events)}
}

// stranded reports whether no endpoint can go on with a sample's events under
// their single version, while others could begin it anew.
func (s *Step) stranded(p *sample, endpoints []Endpoint) bool {
	if !s.spec.SingleVersion || len(p.versions) == 0 {
		return false
	}
	others := false
	for _, e := range endpoints {
		if e.Version == p.versions[0] {
			return false
		}
		others = others || e.Version >= s.spec.MinVersion
	}
	return others
}

// loadOf is what one more stream adds to an endpoint's Load.
func loadOf(e *Endpoint) float64 {
	if e.Free < 0 {
		return 1
	}
	return (1 - min(e.Load, 1)) / float64(e.Free+1)
}

// pick returns the endpoint with the least load of those with room and a
// version that the sample takes, and whether it is one to avoid: those that just
// failed the sample, or are slow, come last. Of equal ones each step begins with
// another, so that steps whose owners know the same of the endpoints don't meet at
// one.
func (s *Step) pick(now time.Duration, p *sample, endpoints []Endpoint) (e *Endpoint, avoided bool) {
	var best *Endpoint
	bestAvoided, least := false, 0.0
	for i := range endpoints {
		e := &endpoints[(s.first+i)%len(endpoints)]
		if e.Free <= 0 || !s.takes(p, e.Version) || s.rests[e.Name].closed(now) {
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

// coldCost is the part of its slots that a new connection to an endpoint is worth.
// Streams beside others are hardly slower.
const coldCost = 0.3

// cost is what speaks against an endpoint.
func (e *Endpoint) cost() float64 {
	if e.Warm > 0 {
		return e.Load
	}
	return e.Load + coldCost
}

// takes reports whether a version may produce a sample's next event.
func (s *Step) takes(p *sample, version uint64) bool {
	if version < s.spec.MinVersion {
		return false
	}
	n := len(p.versions)
	return !s.spec.SingleVersion || n == 0 || p.versions[n-1] == version
}

// rest keeps an endpoint free of new samples for a while: it is full, or loads
// weights, and would refuse the others too. Refusals of what was sent before the
// pause began don't prolong it.
func (s *Step) rest(now time.Duration, endpoint string) {
	r := s.rests[endpoint]
	if now < r.until {
		return
	}
	r.trying = false
	r.until = now + min(restTime<<min(r.refusals, 5), maxRest)
	r.refusals++
	s.rests[endpoint] = r
}

func (s *Step) pause(now time.Duration, p *sample, d time.Duration) {
	p.notBefore = now + min(d<<min(p.misses, 5), maxPause)
	p.misses++
	p.avoid = p.endpoint
	p.avoidUntil = now + avoidTime
}
