package load

import (
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/view"
)

// maxOwnSamples is the maximum number of stored changes of this instance's own
// requests at an engine.
const maxOwnSamples = 32

// engineState is the state of an engine as this instance observed or received it.
type engineState struct {
	hash       uint32
	remote     bool          // in another data centre
	observedAt time.Duration // when this instance first observed it
	polledAt   time.Duration // when this instance last polled it; initially observedAt
	load       engine.Load
	reportedAt time.Duration // when load was requested from the engine; zero without a report
	ownSamples []sample      // changes of this instance's own requests, the newest last

	forwards   int  // how many more times to send the report to peers
	duplicates int  // how often peers sent the same report
	changed    bool // whether load changed since the snapshot was updated
}

// sample is the number of requests that this instance had in flight at an engine
// from the time at on.
type sample struct {
	at       time.Duration
	inFlight int
}

// observe returns the engines of this data centre and of the other ones. It
// updates the states and records this instance's own requests in flight at each
// engine. The caller must hold mu.
func (c *Controller) observe(now time.Duration, v *view.View) (local, remote []*view.Endpoint) {
	found := map[string]*view.Endpoint{}
	for name, s := range v.Config.Services {
		if s.Type != config.ServiceEngine {
			continue
		}
		for _, e := range v.Endpoints[name] {
			found[e.Name] = e
		}
	}
	c.updateEngines(now, found)
	for name, e := range found {
		s := c.engines[name]
		s.recordOwn(now, int(e.Stats.InFlight.Load()))
		s.remote = e.DataCentre != c.o.DataCentre
		if !s.remote {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	return local, remote
}

// updateEngines deletes the states of removed engines and adds new ones. If the
// names of two engines have the same hash, reports of neither are accepted from
// peers.
func (c *Controller) updateEngines(now time.Duration, found map[string]*view.Endpoint) {
	for name, s := range c.engines {
		if found[name] == nil {
			delete(c.engines, name)
			delete(c.byHash, s.hash)
		}
	}
	for name := range found {
		if c.engines[name] != nil {
			continue
		}
		h := nameHash(name)
		c.engines[name] = &engineState{hash: h, observedAt: now, polledAt: now}
		if _, taken := c.byHash[h]; taken {
			name = ""
		}
		c.byHash[h] = name
	}
}

// recordOwn stores the number of this instance's own requests if it changed.
func (s *engineState) recordOwn(now time.Duration, inFlight int) {
	if n := len(s.ownSamples); n > 0 && s.ownSamples[n-1].inFlight == inFlight {
		return
	}
	if len(s.ownSamples) == maxOwnSamples {
		s.ownSamples = append(s.ownSamples[:0], s.ownSamples[1:]...)
	}
	s.ownSamples = append(s.ownSamples, sample{now, inFlight})
}

// ownAt returns the number of requests that this instance had in flight at the
// engine at a given time.
func (s *engineState) ownAt(at time.Duration) int {
	for i := len(s.ownSamples) - 1; i >= 0; i-- {
		if s.ownSamples[i].at <= at {
			return s.ownSamples[i].inFlight
		}
	}
	if len(s.ownSamples) > 0 {
		return s.ownSamples[0].inFlight
	}
	return 0
}

// update stores a report if it is newer than the stored one, and reports whether
// it did.
func (s *engineState) update(l engine.Load, at time.Duration, forwards int) bool {
	if s.reportedAt > 0 && at <= s.reportedAt+reportTolerance {
		return false
	}
	s.load = l
	s.reportedAt = at
	s.forwards = forwards
	s.duplicates = 0
	s.changed = true
	return true
}
