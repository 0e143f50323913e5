package dispatch

import (
	"math"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/prefix"
	"github.com/cumincove/cumincove/route"
	"github.com/cumincove/cumincove/view"
)

// Result is the outcome of the work in a Slot.
type Result int

const (
	// Unused means that nothing was sent, or that this instance cancelled the
	// work.
	Unused Result = iota
	// Answered means that a complete response was received.
	Answered
	// Faulty means that a complete response was received which reports a fault
	// inside the endpoint.
	Faulty
	// Overloaded means that the endpoint refused the work for lack of room.
	Overloaded
	// Failed means that no complete response was received.
	Failed
	// Absent means that nothing, or another endpoint, listens at the endpoint's
	// address.
	Absent
)

// absentCooldown is how long an endpoint gets no work after it was not found at
// its address. The snapshot shows within about that time what runs there.
const absentCooldown = time.Second

// Slot is the right to run one unit of work at an endpoint. It is not safe for
// concurrent use.
type Slot struct {
	Endpoint *view.Endpoint

	s            *service
	st           *endpoint
	work         Work
	item         *fairqueue.Item
	usageCounter *usageCounter
	acquiredAt   time.Duration
	firstByte    time.Duration
	// full reports that the endpoint had no free capacity when the slot was
	// acquired, so that the work may have waited there.
	full bool
	done bool
	// match is the part of the prompt that was estimated to be in the endpoint's
	// prefix cache.
	match prefix.Match
	// permitUntil is when the permit for an endpoint with a rate limit expires; zero
	// without a permit.
	permitUntil time.Duration
}

// RecordFirstByte records that the response has started. Latency is measured up to
// this call.
func (s *Slot) RecordFirstByte() {
	s.firstByte = s.s.d.opt.Clock.Now() - s.acquiredAt
}

// Share allows other work at the endpoint of a Slot from AcquireIsolated.
func (s *Slot) Share() {
	if !s.work.Isolated {
		return
	}
	s.work.Isolated = false
	s.st.stats.Reserved.Store(false)
	s.s.isolatedSlots.Add(-1)
}

// Leaving reports whether the endpoint must not get new work any longer.
func (s *Slot) Leaving() bool {
	e, ok := s.s.d.opt.Views.Load().EndpointByName(s.Endpoint.Name)
	return !ok || leaving(e) || e.Stats != s.Endpoint.Stats
}

// LeavingFor returns the time since the endpoint was first observed to be leaving,
// or zero if it is not leaving.
func (s *Slot) LeavingFor() time.Duration {
	since := s.st.leavingSince.Load()
	if since == 0 {
		return 0
	}
	return s.s.d.opt.Clock.Now() - time.Duration(since)
}

// Done releases the slot. Later calls do nothing.
func (s *Slot) Done(r Result) {
	if s.done {
		return
	}
	s.done = true
	now := s.s.d.opt.Clock.Now()
	s.recordResult(r, now)
	s.st.release()
	s.usageCounter.slotsInUse.Add(-1)
	s.Share()
	s.s.recordCost(s, now)
}

// recordResult updates the endpoint's limit and health.
func (s *Slot) recordResult(r Result, now time.Duration) {
	if r == Unused {
		return
	}
	st := s.st
	inFlight := int(st.ownInFlight.Load())
	st.mu.Lock()
	defer st.mu.Unlock()
	switch r {
	case Answered:
		st.health.Answered()
		st.limiter.Done(s.firstByte, inFlight)
		s.s.times.Observe(now, s.work.Route, s.work.Size, now-s.acquiredAt)
		s.observeSpeed()
	case Faulty:
		st.health.Faulty()
		s.ejectIfWorse(now)
	case Overloaded:
		st.limiter.Dropped(now)
	case Failed:
		st.stats.Failed.Add(1)
		st.limiter.Dropped(now)
		s.ejectIfFailing(now)
	case Absent:
		st.stats.Failed.Add(1)
		st.ejectedUntil.Store(max(st.ejectedUntil.Load(), int64(now+absentCooldown)))
	}
	st.limit.Store(int64(st.limiter.Limit()))
	st.faultRate.Store(math.Float64bits(st.health.FaultRate()))
}

// ejectIfWorse ejects the endpoint if its fault rate is much worse than that of
// the others. Without this, an endpoint that fails at once would look lightly
// loaded and attract requests. The caller holds the endpoint's lock.
func (s *Slot) ejectIfWorse(now time.Duration) {
	if !s.st.health.Suspicious(now) || now < s.st.comparedAt+comparePeriod {
		return
	}
	s.st.comparedAt = now
	sum, n := 0.0, 0
	for _, e := range s.s.d.opt.Views.Load().Endpoints[s.s.name] {
		if st := s.s.d.endpoint(e); st != s.st {
			sum += math.Float64frombits(st.faultRate.Load())
			n++
		}
	}
	if n > 0 && s.st.health.MuchWorseThan(sum/float64(n)) {
		s.ejectIfAllowed(now)
	}
}

// comparePeriod is the minimum time between two comparisons of an endpoint with
// all others.
const comparePeriod = 100 * time.Millisecond

// ejectIfFailing records a failure and ejects the endpoint if it fails
// repeatedly. The caller holds the endpoint's lock.
func (s *Slot) ejectIfFailing(now time.Duration) {
	if s.st.health.Failed(now) {
		s.ejectIfAllowed(now)
	}
}

// ejectIfAllowed ejects the endpoint unless too many are ejected already. The
// caller holds the endpoint's lock.
func (s *Slot) ejectIfAllowed(now time.Duration) {
	d := s.s.d
	ejected, total := 0, 0
	for _, e := range d.opt.Views.Load().Endpoints[s.s.name] {
		total++
		if int64(now) < d.endpoint(e).ejectedUntil.Load() {
			ejected++
		}
	}
	if !route.MayEject(ejected, total) {
		return
	}
	until := s.st.health.Eject(now)
	s.st.ejectedUntil.Store(int64(until))
	d.opt.Scope.Counter("ejections").Inc(1)
	d.opt.Log.Warn("endpoint ejected", "endpoint", s.Endpoint.Name, "service", s.s.name, "for", until-now)
}
