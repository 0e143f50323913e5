package durable

import "time"

// start returns the action that starts a sample's stream at the best endpoint, or
// nil if the sample must still wait or no endpoint can accept it.
func (s *Step) start(now time.Duration, p *sample, endpoints []Endpoint) Action {
	if now < p.notBefore {
		return nil
	}
	if s.mustRestart(p, endpoints) {
		p.events, p.versions = nil, nil
	}
	e := s.pickFor(now, p, endpoints)
	if e == nil {
		return nil
	}
	return s.startAt(now, p, e)
}

// startAt returns the action that starts a sample's stream at an endpoint.
func (s *Step) startAt(now time.Duration, p *sample, e *Endpoint) Action {
	e.FreeSlots--
	e.Load += loadPerStream(e)
	e.IdleConnections--
	s.nextRun++
	if b, ok := s.backoffs[e.Name]; ok {
		b.probe = s.nextRun
		s.backoffs[e.Name] = b
	}
	p.state = running
	p.run = s.nextRun
	p.endpoint = e.Name
	p.progress.reset(now, len(p.events))
	s.byRun[p.run] = p
	priority, tell := s.priorityOf(p)
	return Start{
		Run: p.run, Sample: p.Sample, Endpoint: e.Name, After: len(p.events),
		Priority: priority, HasPriority: tell,
	}
}

// mustRestart reports whether a sample must be generated again from the start: the
// step allows only one version per sample, no endpoint has the version of the
// sample's events, and some endpoint has a version that can start the sample.
func (s *Step) mustRestart(p *sample, endpoints []Endpoint) bool {
	if !s.spec.SingleVersion || len(p.versions) == 0 {
		return false
	}
	canRestart := false
	for _, e := range endpoints {
		if e.Version == p.versions[0] {
			return false
		}
		canRestart = canRestart || e.Version >= s.spec.MinVersion
	}
	return canRestart
}

// loadPerStream returns the amount by which one more stream increases an endpoint's
// Load.
func loadPerStream(e *Endpoint) float64 {
	if e.FreeSlots < 0 {
		return 1
	}
	return (1 - min(e.Load, 1)) / float64(e.FreeSlots+1)
}

// pick returns the best endpoint among those with free slots and a version that the
// sample accepts, or nil. The endpoint that the sample avoids until p.avoidUntil, and
// slow endpoints, are used only if there is no other; avoided reports whether the
// returned endpoint is one of them. The best endpoint is the one with the lowest cost.
// If endpoints differ in speed, it is the one with the lowest cost among the preferred
// ones (see preferredSpeed) or among the others, whichever is expected to finish
// earlier.
func (s *Step) pick(now time.Duration, p *sample, endpoints []Endpoint) (e *Endpoint, avoided bool) {
	return s.pickPreferred(now, p, endpoints, s.preferredFor(p))
}

// pickPreferred is like pick, but endpoints are preferred from a given speed on.
func (s *Step) pickPreferred(now time.Duration, p *sample, endpoints []Endpoint, from float64) (e *Endpoint, avoided bool) {
	// The indices are 1 for avoided endpoints, and 1 for those that are not preferred.
	var best [2][2]*Endpoint
	for i := range endpoints {
		// Each step starts its search at a different endpoint, so that steps whose
		// owners have the same view of the endpoints don't all choose the same one.
		e := &endpoints[(s.searchOffset+i)%len(endpoints)]
		if e.FreeSlots <= 0 || !s.accepts(p, e.Version) || s.backedOff(now, e.Name) {
			continue
		}
		group, rank := 0, 0
		if e.Name == p.avoid && now < p.avoidUntil || s.slow(e.Name) {
			group = 1
		}
		if e.speed() < from {
			rank = 1
		}
		if b := best[group][rank]; b == nil || e.cost() < b.cost() {
			best[group][rank] = e
		}
	}
	if e := earlier(best[0][0], best[0][1]); e != nil {
		return e, false
	}
	e = earlier(best[1][0], best[1][1])
	return e, e != nil
}

// newConnectionCost is added to the load of an endpoint without an idle connection.
// A busier endpoint is preferred up to this difference in load, as streams that
// share an endpoint with others are hardly slower.
const newConnectionCost = 0.3

// cost returns the endpoint's load, plus newConnectionCost if it has no idle
// connection. Endpoints with a lower cost are preferred.
func (e *Endpoint) cost() float64 {
	if e.IdleConnections > 0 {
		return e.Load
	}
	return e.Load + newConnectionCost
}

// accepts reports whether a sample's next event may be produced with a weight
// version.
func (s *Step) accepts(p *sample, version uint64) bool {
	if version < s.spec.MinVersion {
		return false
	}
	n := len(p.versions)
	return !s.spec.SingleVersion || n == 0 || p.versions[n-1] == version
}

// backOffEndpoint stops the use of an endpoint for new samples after a refusal: it
// is full or loading weights, and would refuse other samples too. Refusals of
// samples that were sent before the backoff started don't extend it.
func (s *Step) backOffEndpoint(now time.Duration, endpoint string) {
	b := s.backoffs[endpoint]
	if now < b.until {
		return
	}
	b.until = now + min(minEndpointBackoff<<min(b.refusals, 5), maxEndpointBackoff)
	b.refusals++
	s.backoffs[endpoint] = b
}

// backOffSample delays the next attempt of a sample by d, doubled for each stream
// that ended early since the last event, and avoids its last endpoint for
// avoidPeriod.
func (s *Step) backOffSample(now time.Duration, p *sample, d time.Duration) {
	p.notBefore = now + min(d<<min(p.earlyEnds, 5), maxBackoff)
	p.earlyEnds++
	p.avoid = p.endpoint
	p.avoidUntil = now + avoidPeriod
}
