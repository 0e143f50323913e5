package ratelimit

import "time"

const (
	// permitLifetime is how long a permit is valid.
	permitLifetime = 500 * time.Millisecond
	// recheckLifetime is how long a permit for a recheck is valid, see Node.Recheck.
	recheckLifetime = 2 * time.Second
	// maxWait is how far ahead permits are scheduled. A request for which there is
	// none in that time need not wait for its deadline to be refused.
	maxWait = time.Second
	// retryDelay is the time until the coordinator is asked again after it did not
	// answer, or was not the coordinator.
	retryDelay = 250 * time.Millisecond
)

// permit allows one request between two times.
type permit struct {
	from, until time.Duration
}

// holding is what an instance has of one endpoint's rate.
type holding struct {
	permits []permit
	// asked is the number of permits that were asked for and not answered yet.
	asked int
	// fullUntil is the time before which the coordinator has no permit left.
	fullUntil time.Duration
	// unreported is the number of requests sent without permits that the
	// coordinator does not know of yet.
	unreported int
	recheckAt  time.Duration // when a recheck may be asked for again
}

// expire drops the permits that are no longer valid.
func (h *holding) expire(now time.Duration) {
	kept := h.permits[:0]
	for _, p := range h.permits {
		if now <= p.until {
			kept = append(kept, p)
		}
	}
	h.permits = kept
}

// usable returns the number of permits that are valid now.
func (h *holding) usable(now time.Duration) int {
	n := 0
	for _, p := range h.permits {
		if p.from <= now && now <= p.until {
			n++
		}
	}
	return n
}

// take uses up the valid permit that expires first, and returns its expiry.
func (h *holding) take(now time.Duration) (until time.Duration, ok bool) {
	best := -1
	for i, p := range h.permits {
		if p.from <= now && now <= p.until && (best < 0 || p.until < h.permits[best].until) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	until = h.permits[best].until
	h.permits = append(h.permits[:best], h.permits[best+1:]...)
	return until, true
}

// wait returns the time until the instance may be issued a further permit.
func (h *holding) wait(now time.Duration) time.Duration { return max(h.fullUntil-now, 0) }
