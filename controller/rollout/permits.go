package rollout

import (
	"slices"
	"time"

	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/rollout"
)

const (
	// maxPermits bounds the permits that all steps of a team at a service
	// together request at a time. It holds once the owners have read each
	// other's need rows; until then it bounds each step on its own.
	maxPermits = 128
	// permitTimeout is how long a request for a permit waits in the queue
	// before the step requests again.
	permitTimeout = 24 * time.Hour
	// bytesPerToken estimates the tokens of a prompt from its bytes.
	bytesPerToken = 4
)

// permits are a step's permits to start streams. The worker's lock guards them.
type permits struct {
	// available lists the permits that the step has and has not used.
	available []*dispatch.RolloutPermit
	// pending is the number of permits that the step waits for.
	pending int
	closed  bool
	// nextRequestAt is the earliest time of the next request. It is set when
	// the step could not use its permits, and when a request has failed.
	nextRequestAt time.Duration
	// streamStarted is set if a stream started since the last call of
	// requestPermits.
	streamStarted bool
}

// addRoom adds, to the free capacity of the endpoints, the slots that permits
// reserve there.
func (p *permits) addRoom(list []rollout.Endpoint) {
	for _, permit := range p.available {
		for i := range list {
			if list[i].Name == permit.Endpoint {
				list[i].Free = max(list[i].Free, 0) + 1
			}
		}
	}
}

// take removes and returns the permit for a stream at an endpoint. It prefers
// one with a slot at that endpoint, then one for any endpoint, then the first
// one. It returns nil if there is none.
func (p *permits) take(endpoint string) *dispatch.RolloutPermit {
	if len(p.available) == 0 {
		return nil
	}
	i := slices.IndexFunc(p.available, func(permit *dispatch.RolloutPermit) bool { return permit.Endpoint == endpoint })
	if i < 0 {
		i = slices.IndexFunc(p.available, func(permit *dispatch.RolloutPermit) bool { return permit.Endpoint == "" })
	}
	i = max(i, 0)
	permit := p.available[i]
	p.streamStarted = true
	p.available = slices.Delete(p.available, i, i+1)
	return permit
}

// requestPermits releases the permits that the step could not use, and requests
// one for each stream to start, up to the step's share of maxPermits. It
// requests permits even if no endpoint has free capacity, because only the
// queue determines which work is next. The caller must hold mu.
func (w *worker) requestPermits(now time.Duration, steps int) {
	p := &w.permits
	if len(p.available) > 0 && !p.streamStarted {
		p.nextRequestAt = now + tickPeriod
	}
	p.streamStarted = false
	w.releasePermits()
	if now < p.nextRequestAt || w.step.Expired(now) {
		return
	}
	for ; p.pending < min(w.step.Pending(), max(maxPermits/steps, 1)); p.pending++ {
		w.c.wg.Go(w.acquirePermit)
	}
}

// releasePermits returns the available permits to the queue. The caller must
// hold mu.
func (w *worker) releasePermits() {
	for _, permit := range w.permits.available {
		permit.Done()
	}
	w.permits.available = nil
}

// closePermits releases all permits, including those that are granted later.
func (w *worker) closePermits() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.permits.closed = true
	w.releasePermits()
}

// acquirePermit waits for one permit, in the same queue as the requests of
// callers.
func (w *worker) acquirePermit() {
	weight := w.c.o.Views.Load().Config.Teams[w.key.team].Weight
	permit, err := w.c.o.Dispatcher.AcquireRollout(w.ctx, dispatch.Work{
		Service:  w.spec.Service,
		Team:     w.key.team,
		Weight:   weight,
		Tokens:   w.spec.MaxTokens + len(w.spec.Prompts[0])/bytesPerToken,
		Deadline: w.c.o.Clock.Now() + permitTimeout,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.permits.pending--
	switch {
	case err != nil:
		w.permits.nextRequestAt = w.c.o.Clock.Now() + tickPeriod
	case w.permits.closed:
		permit.Done()
	default:
		w.permits.available = append(w.permits.available, permit)
		w.signal()
	}
}
