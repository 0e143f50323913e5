package dispatch

import (
	"errors"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/view"
)

// Explanation is what would happen to work now, and why.
type Explanation struct {
	// AtOnce reports whether the work would get a slot at once.
	AtOnce bool
	// Endpoints is the number of endpoints that can do the work.
	Endpoints int
	// Ranked reports whether the service's work is ordered by rank, which it is if the
	// configuration has several priorities.
	Ranked bool
	// Needs is the estimated time that the work needs.
	Needs time.Duration
	// Queue is the decision of the queue, if the work has to wait.
	Queue fairqueue.Decision
	// Refused is the error with which the work would be refused; nil means that it
	// would not be. Its RetryAfter is the earliest one of those that are drawn.
	Refused *code.Error
}

// Explain returns what Acquire would do with work now. It changes nothing, and asks
// for no permits of endpoints with a rate limit.
func (d *Dispatcher) Explain(w Work) Explanation {
	e := d.explain(w)
	var refused *code.Error
	if e.Refused != nil && errors.As(boundReturn(e.Refused, w.Deadline-d.opt.Clock.Now(), 0), &refused) {
		e.Refused = refused
	}
	return e
}

func (d *Dispatcher) explain(w Work) Explanation {
	s := d.service(w.Service)
	all := s.index(d.opt.Views.Load())
	eligible := all.matching(w.Requirements)
	e := Explanation{Endpoints: eligible.count(), Ranked: all.ranked}
	switch {
	case all.count() == 0:
		e.Refused = code.New(code.NoEndpoint, "service %q", w.Service)
		return e
	case e.Endpoints == 0:
		e.Refused = code.New(code.NoMatchingEndpoint, "service %q", w.Service)
		return e
	}
	w = w.normalized(all.ranked)
	now := d.opt.Clock.Now()
	it := s.item(w, now, nil)
	e.Needs = it.Needs
	if e.AtOnce = !s.mustQueue(w) && s.hasRoom(eligible, w, now); e.AtOnce {
		return e
	}
	if e.Endpoints < all.count() {
		e.Refused = code.New(code.SelectionBusy, "service %q", w.Service)
		return e
	}
	var refused *code.Error
	if _, err := s.refuseByLimits(w, int(s.waiting.Load())+1); errors.As(err, &refused) {
		refused.RetryAfter = minRetryAfter
		e.Refused = refused
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Queue = s.queue.Preview(now, *it)
	if e.Queue.Err != nil {
		e.Refused = s.refusal(now, it, e.Queue)
		e.Refused.RetryAfter = returnAfter(e.Queue, 0)
	}
	return e
}

// hasRoom reports whether an endpoint has room for work.
func (s *service) hasRoom(idx *index, w Work, now time.Duration) bool {
	for _, list := range [][]*view.Endpoint{idx.local, idx.remote} {
		c := &candidates{
			d: s.d, list: list, work: w, now: now, peers: len(idx.view.Members),
			meanWork: s.meanWorkTime(), limits: anyEndpoint,
		}
		if c.choose() >= 0 {
			return true
		}
	}
	return false
}
