package dispatch

import (
	"errors"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/route"
	"github.com/cumincove/cumincove/view"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of callers that an
	// endpoint's rate limit refuses.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// returnDivisor is the part of its time left that a refused caller is asked to
	// wait at most, so that there is time for the work after it returns.
	returnDivisor = 3
	// jitterSteps is the number of different return times in a spread.
	jitterSteps = 1 << 16
)

// severalPriorities reports whether work differs in priority. Scoring calls have the
// priority of their step, so the routes to other services count too.
func severalPriorities(c *config.State) bool {
	first, found := 0, false
	differs := func(priority int) bool {
		if !found {
			first, found = priority, true
		}
		return priority != first
	}
	for _, r := range c.Routes {
		if differs(r.Priority) {
			return true
		}
	}
	for _, t := range c.Teams {
		if t.Priority != nil && differs(*t.Priority) {
			return true
		}
	}
	return false
}

// ranking holds whether a snapshot's configuration has several priorities.
type ranking struct {
	view   *view.View
	ranked bool
}

// ranked reports whether work is ordered by rank, which it is if the configuration has
// several priorities. It is determined once for each snapshot.
func (d *Dispatcher) ranked(v *view.View) bool {
	if r := d.ranking.Load(); r != nil && r.view == v {
		return r.ranked
	}
	r := &ranking{view: v, ranked: severalPriorities(v.Config)}
	d.ranking.Store(r)
	return r.ranked
}

// normalized returns work without the fields that have no effect if the service's
// work is not ranked.
func (w Work) normalized(ranked bool) Work {
	if !ranked {
		w.Priority, w.Due, w.Yields = 0, 0, false
	}
	return w
}

// routeNames returns the names of the configured routes. Work without a route has an
// empty one.
func routeNames(c *config.State) map[string]bool {
	names := map[string]bool{"": true}
	for _, r := range c.Routes {
		names[r.Name] = true
	}
	return names
}

// item returns the queue item for work.
func (s *service) item(w Work, now time.Duration, wt *waiter) *fairqueue.Item {
	ranked := s.index(s.d.opt.Views.Load()).ranked
	var needs time.Duration
	if ranked {
		needs = s.times.Estimate(now, w.Route, w.Size)
	}
	it := &fairqueue.Item{
		Team: w.Team, Weight: w.Weight, Class: w.Class, Deadline: w.Deadline,
		Cost: s.estimate(w, needs), Data: wt,
	}
	if w.Class == fairqueue.Interactive && ranked {
		it.Ranked, it.Priority, it.Due, it.Needs, it.Yields = true, w.Priority, w.Due, needs, w.Yields
	}
	return it
}

// mustQueue reports whether work has to wait behind other work.
func (s *service) mustQueue(w Work) bool {
	return s.waiting.Load() > 0 || w.Yields && s.yielding.Load() > 0
}

// updateWaiting updates the counts of waiting interactive requests. Those that yield
// keep others from no slot. The caller holds the lock.
func (s *service) updateWaiting(now time.Duration) {
	yielding := s.queue.Yielding(now, fairqueue.Interactive)
	s.yielding.Store(int64(yielding))
	s.waiting.Store(int64(s.queue.ClassLen(fairqueue.Interactive) - yielding))
}

// spareSharePercent is the part of an endpoint's capacity above which work that
// yields gets no slot there. The rest stays free for other requests.
const spareSharePercent = 75

// hasSpare reports whether an endpoint has room for work that yields, according to
// its last report and the requests of this instance since.
func hasSpare(e *view.Endpoint, r route.Report) bool {
	used := r.Requests + max(r.InFlight-r.InFlightAtReport, 0)
	return e.Load.MaxRunning == 0 || used < max(e.Load.MaxRunning*spareSharePercent/100, 1)
}

// push queues work, or returns the *code.Error with which it is refused.
func (s *service) push(wt *waiter) (*fairqueue.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.opt.Clock.Now()
	it := s.item(wt.work, now, wt)
	if err := s.queue.Push(now, it); err != nil {
		return nil, s.refuse(now, it, s.queue.Refused(), resultRefused)
	}
	for _, e := range s.queue.Evicted() {
		evicted := e.Item.Data.(*waiter)
		evicted.err = s.refuse(now, e.Item, e.Decision, resultEvicted)
		close(evicted.slot)
	}
	s.grantPermits(now)
	s.scheduleRetry()
	return it, nil
}

// refuse counts a refusal and returns its error. The caller holds the lock.
func (s *service) refuse(now time.Duration, it *fairqueue.Item, d fairqueue.Decision, r queueResult) error {
	err := s.refusal(now, it, d)
	s.refusals.add(now, it, d, err)
	s.count(it.Priority, r)
	return err
}

// refusal converts a Decision to refuse into a *code.Error.
func (s *service) refusal(now time.Duration, it *fairqueue.Item, d fairqueue.Decision) *code.Error {
	n, wait := code.QueueFull, new(fairqueue.WaitError)
	if errors.As(d.Err, &wait) {
		n = code.DeadlineTooNear
	}
	e := code.Wrap(n, d.Err, "team %q: %v", it.Team, d.Err)
	e.RetryAfter = returnAfter(d, s.d.random())
	return e
}

// random returns a random number in [0, 1).
func (d *Dispatcher) random() float64 { return float64(d.opt.Random(jitterSteps)) / jitterSteps }

// returnAfter returns when a refused caller may come back: after the work that goes
// before it and a random part of the work of callers that were refused before. Random
// is in [0, 1).
func returnAfter(d fairqueue.Decision, random float64) time.Duration {
	return max(d.Wait+time.Duration(random*float64(d.Spread)), queueRetryInterval)
}

// boundReturn returns an error whose retry delay is at most a part of the time that
// the caller has left, if it has any.
func boundReturn(err error, left time.Duration, random float64) error {
	var coded *code.Error
	if left <= 0 || !errors.As(err, &coded) {
		return err
	}
	bounded := *coded
	if after := coded.Info().RetryAfter; after > 0 {
		bounded.RetryAfter = returnWithin(after, left, random)
	}
	return &bounded
}

// returnWithin bounds the time after which a refused caller may come back by a part of
// the time that it has left, and then takes a random part of this, so that callers do
// not return all at once. Random is in [0, 1).
func returnWithin(after, left time.Duration, random float64) time.Duration {
	limit := min(left/returnDivisor, maxRetryAfter)
	if after <= limit {
		return after
	}
	return max(limit-time.Duration(random*float64(limit)/2), time.Millisecond)
}
