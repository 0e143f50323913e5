package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/view"
)

// RateLimits issues permits for endpoints that limit their requests per second.
// Its methods return at once.
type RateLimits interface {
	// Any reports whether any endpoint has a limit.
	Any() bool
	// Usable returns the number of requests that may be sent to an endpoint now.
	Usable(endpoint string) int
	// Take uses up a permit. The request must be sent no later than until.
	Take(endpoint string) (until time.Duration, ok bool)
	// Request asks in the background for as many permits as count requests need at
	// any of the endpoints.
	Request(count int, endpoints []string)
	// Recheck returns one of the endpoints that must get the next request although
	// others have no limit, or an empty string.
	Recheck(endpoints []string) string
	// Coming returns the number of permits for the endpoints that are valid, will
	// be, or were asked for.
	Coming(endpoints []string) int
	// Wait returns the time until a further permit of any of the endpoints may be
	// issued. It is zero as long as that is not known.
	Wait(endpoints []string) time.Duration
}

// noRateLimits is the RateLimits of endpoints without limits.
type noRateLimits struct{}

func (noRateLimits) Any() bool                         { return false }
func (noRateLimits) Usable(string) int                 { return 0 }
func (noRateLimits) Take(string) (time.Duration, bool) { return 0, false }
func (noRateLimits) Request(int, []string)             {}
func (noRateLimits) Coming([]string) int               { return 0 }
func (noRateLimits) Recheck([]string) string           { return "" }
func (noRateLimits) Wait([]string) time.Duration       { return 0 }

// limitFilter selects candidates by whether they have a rate limit.
type limitFilter int

const (
	// anyEndpoint selects endpoints without a limit and those with a permit.
	anyEndpoint limitFilter = iota
	withoutLimit
	withPermit
)

// allows reports whether an endpoint may be chosen.
func (f limitFilter) allows(e *view.Endpoint, limits RateLimits) bool {
	if !e.Stats.RateLimited.Load() {
		return f != withPermit
	}
	return f != withoutLimit && limits.Usable(e.Name) > 0
}

// limitedNames returns the names of the endpoints with a rate limit.
func (i *index) limitedNames() []string {
	var names []string
	for _, list := range [][]*view.Endpoint{i.local, i.remote} {
		for _, e := range list {
			if e.Stats.RateLimited.Load() {
				names = append(names, e.Name)
			}
		}
	}
	return names
}

// reserveWithLimits takes a slot at an endpoint without a rate limit, or else at
// one for which there is a permit. If it finds none, it asks for permits.
func (s *service) reserveWithLimits(idx *index, w Work) *Slot {
	limits := s.d.opt.RateLimits
	limited := idx.limitedNames()
	if len(limited) == 0 {
		return s.reserveFrom(idx, w, anyEndpoint)
	}
	if slot := s.reserveRecheck(limited, w); slot != nil {
		return slot
	}
	if slot := s.reserveFrom(idx, w, withoutLimit); slot != nil {
		return slot
	}
	if slot := s.reserveFrom(idx, w, withPermit); slot != nil {
		return slot
	}
	limits.Request(int(s.waiting.Load())+1, limited)
	return nil
}

// reserveRecheck takes a slot at an endpoint that must get a request to show
// whether its limit has ended.
func (s *service) reserveRecheck(limited []string, w Work) *Slot {
	name := s.d.opt.RateLimits.Recheck(limited)
	if name == "" || name == w.Avoid {
		return nil
	}
	v := s.d.opt.Views.Load()
	e, ok := v.EndpointByName(name)
	if !ok || leaving(e) {
		return nil
	}
	return s.acquireFrom(&candidates{
		d: s.d, list: []*view.Endpoint{e}, work: w, now: s.d.opt.Clock.Now(),
		peers: len(v.Members), meanWork: s.meanWorkTime(),
	})
}

// takePermit uses up a permit if the endpoint has a rate limit. It returns when the
// permit expires, or zero without a limit.
func (s *service) takePermit(e *view.Endpoint) (until time.Duration, ok bool) {
	if !e.Stats.RateLimited.Load() {
		return 0, true
	}
	return s.d.opt.RateLimits.Take(e.Name)
}

// permitCheckPeriod is the time between two checks whether there are permits for all
// waiting requests. An ask for a permit is answered within it.
const permitCheckPeriod = 50 * time.Millisecond

// permitChecks returns a channel that receives a value each permitCheckPeriod if any
// endpoint has a rate limit, and never otherwise.
func (s *service) permitChecks() (c <-chan time.Time, stop func()) {
	if !s.d.opt.RateLimits.Any() {
		return nil, func() {}
	}
	t := time.NewTicker(permitCheckPeriod)
	return t.C, t.Stop
}

// refuseByLimits returns an error if all endpoints of the service have rate limits
// and there is no permit for one more of the waiting requests. Waiting is their
// number, this one included. If there are permits for all of them, covered is true.
func (s *service) refuseByLimits(w Work, waiting int) (covered bool, err error) {
	limits := s.d.opt.RateLimits
	if !limits.Any() {
		return false, nil
	}
	idx := s.index(s.d.opt.Views.Load()).matching(w.Requirements)
	limited := idx.limitedNames()
	if len(limited) == 0 || len(limited) < idx.count() {
		return false, nil
	}
	if limits.Coming(limited) >= waiting {
		return true, nil
	}
	wait := limits.Wait(limited)
	if wait == 0 {
		return false, nil
	}
	refusal := code.New(code.EndpointLimits, "service %q: next permit in %v", s.name, wait.Round(time.Millisecond))
	refusal.RetryAfter = min(minRetryAfter+rand.N(minRetryAfter+wait), maxRetryAfter) // spreads the callers
	return false, refusal
}

// MaySend reports whether the request may be sent now: the endpoint has no rate
// limit, or the slot's permit is valid.
func (s *Slot) MaySend() bool {
	if !s.st.stats.RateLimited.Load() {
		return true
	}
	if s.permitUntil > 0 {
		return s.s.d.opt.Clock.Now() <= s.permitUntil
	}
	_, ok := s.s.d.opt.RateLimits.Take(s.Endpoint.Name)
	return ok
}
