package dispatch

import (
	"math"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/prefix"
	"github.com/cumincove/cumincove/route"
	"github.com/cumincove/cumincove/view"
)

// Result says what became of the work in a Slot.
type Result int

// The results.
const (
	// Unused: nothing was sent, or it was cancelled from here.
	Unused Result = iota
	// Answered: a whole answer came.
	Answered
	// Faulty: a whole answer came, which tells of a fault inside the endpoint.
	Faulty
	// Overloaded: the endpoint refused for lack of room.
	Overloaded
	// Failed: no whole answer came.
	Failed
	// Absent: nothing listens at its address, or another endpoint does.
	Absent
)

// absentTime is how long an endpoint gets nothing that was not at its address.
// The snapshot shows in about that time what is there.
const absentTime = time.Second

// Slot is a place at an endpoint. It belongs to one goroutine.
type Slot struct {
	Endpoint *view.Endpoint

	s         *service
	st        *endpoint
	work      Work
	item      *fairqueue.Item
	held      *held
	at        time.Duration
	firstByte time.Duration
	done      bool
	// match is what was believed of the endpoint's prefix cache.
	match prefix.Match
}

// FirstByte notes that the answer began. Latency is measured up to here.
func (s *Slot) FirstByte() {
	s.firstByte = s.s.d.opt.Clock.Now() - s.at
}

// Share lets other work go to the endpoint of a Slot from AcquireAlone.
func (s *Slot) Share() {
	if !s.work.Alone {
		return
	}
	s.work.Alone = false
	s.st.stats.Reserved.Store(false)
	s.s.aloneOut.Add(-1)
}

// Leaving reports whether the endpoint may get nothing new by now.
func (s *Slot) Leaving() bool {
	e, ok := s.s.d.opt.Views.Load().EndpointByName(s.Endpoint.Name)
	return !ok || leaving(e) || e.Stats != s.Endpoint.Stats
}

// LeavingFor returns for how long the endpoint has been known to leave.
func (s *Slot) LeavingFor() time.Duration {
	since := s.st.leavingSince.Load()
	if since == 0 {
		return 0
	}
	return s.s.d.opt.Clock.Now() - time.Duration(since)
}

// Done gives the place back. Later calls do nothing.
func (s *Slot) Done(r Result) {
	if s.done {
		return
	}
	s.done = true
	now := s.s.d.opt.Clock.Now()
	s.learn(r, now)
	s.st.release()
	s.held.places.Add(-1)
	s.Share()
	s.s.done(s, now)
}

// learn feeds the endpoint's limit and health.
func (s *Slot) learn(r Result, now time.Duration) {
	if r == Unused {
		return
	}
	st := s.st
	inFlight := int(st.own.Load())
	st.mu.Lock()
	defer st.mu.Unlock()
	switch r {
	case Answered:
		st.health.Answered()
		st.limiter.Done(s.firstByte, inFlight)
	case Faulty:
		st.health.Faulty()
		s.ejectWorst(now)
	case Overloaded:
		st.limiter.Dropped(now)
	case Failed:
		st.stats.Failed.Add(1)
		st.limiter.Dropped(now)
		s.eject(now)
	case Absent:
		st.stats.Failed.Add(1)
		st.ejectedUntil.Store(max(st.ejectedUntil.Load(), int64(now+absentTime)))
	}
	st.limit.Store(int64(st.limiter.Limit()))
	st.faultRate.Store(math.Float64bits(st.health.FaultRate()))
}

// ejectWorst keeps an endpoint out whose answers are much worse than those of
// the others. An answer that comes at once looks like little load otherwise, and
// draws requests. The caller holds the endpoint's lock.
func (s *Slot) ejectWorst(now time.Duration) {
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
	if n > 0 && s.st.health.Worse(sum/float64(n)) {
		s.keepOut(now)
	}
}

// comparePeriod is the least time between two comparisons of an endpoint with
// all others.
const comparePeriod = 100 * time.Millisecond

// eject keeps an endpoint out that fails again and again. The caller holds the endpoint's lock.
func (s *Slot) eject(now time.Duration) {
	if s.st.health.Failed(now) {
		s.keepOut(now)
	}
}

// keepOut ejects the endpoint unless too many are out already.
func (s *Slot) keepOut(now time.Duration) {
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
