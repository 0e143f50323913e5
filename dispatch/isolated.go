package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cumincove/cumincove/code"
)

const (
	// isolationPollInterval is the time between two checks for a permit, or for
	// an endpoint that has become idle.
	isolationPollInterval = 5 * time.Millisecond
	// isolationTimeout bounds the wait for an isolated slot.
	// rolloutDrainTimeout bounds the part of it that is spent waiting for rollout
	// streams to end.
	isolationTimeout    = 10 * time.Second
	rolloutDrainTimeout = 5 * time.Second
)

// isolationShareDivisor limits isolated work to 1/isolationShareDivisor of a
// service's endpoints at a time.
const isolationShareDivisor = 4

// AcquireIsolated returns a slot at an endpoint that has no other work from this
// instance and gets none until the Slot is released or shared. At most a quarter
// of the endpoints, but at least one, are isolated at a time. Rollout streams
// that outlast rolloutDrainTimeout may still run at the endpoint.
func (d *Dispatcher) AcquireIsolated(ctx context.Context, w Work) (*Slot, error) {
	w.Isolated = true
	s := d.service(w.Service)
	ctx, cancel := context.WithTimeout(ctx, isolationTimeout)
	defer cancel()
	if err := s.acquireIsolationPermit(ctx); err != nil {
		return nil, err
	}
	slot, err := s.reserveIsolated(ctx, w)
	if err != nil {
		s.isolatedSlots.Add(-1)
		return nil, err
	}
	slot.usageCounter = s.usage.addSlot(w)
	return slot, nil
}

// acquireIsolationPermit waits until the service may isolate one more endpoint.
func (s *service) acquireIsolationPermit(ctx context.Context) error {
	for {
		maxIsolated := max(s.index(s.d.opt.Views.Load()).count()/isolationShareDivisor, 1)
		if s.isolatedSlots.Add(1) <= int64(maxIsolated) {
			return nil
		}
		s.isolatedSlots.Add(-1)
		if err := waitPollInterval(ctx); err != nil {
			return err
		}
	}
}

// waitPollInterval waits for isolationPollInterval or until ctx ends.
func waitPollInterval(ctx context.Context) error {
	select {
	case <-time.After(isolationPollInterval):
		return nil
	case <-ctx.Done():
		return waitError(ctx)
	}
}

// reserveIsolated reserves the endpoint with the least work and waits until it
// is idle.
func (s *service) reserveIsolated(ctx context.Context, w Work) (*Slot, error) {
	slot := s.reserveLeastLoaded(w)
	for slot == nil {
		all := s.index(s.d.opt.Views.Load())
		if all.count() == 0 {
			return nil, code.New(code.NoEndpoint, "service %q", s.name)
		}
		if all.matching(w.Requirements).count() == 0 {
			return nil, noMatch(w)
		}
		if err := waitPollInterval(ctx); err != nil {
			return nil, err
		}
		slot = s.reserveLeastLoaded(w)
	}
	if err := slot.st.acquireWhenIdle(ctx); err != nil {
		slot.st.stats.Reserved.Store(false)
		return nil, err
	}
	slot.acquiredAt = s.d.opt.Clock.Now()
	return slot, nil
}

// acquireWhenIdle waits until the endpoint has no other work and takes a slot.
// It waits for rollout streams, which may be long, only up to
// rolloutDrainTimeout.
func (st *endpoint) acquireWhenIdle(ctx context.Context) error {
	waited := time.Duration(0)
	for {
		idle := st.stats.InFlight.Load() == 0 || waited >= rolloutDrainTimeout
		if idle && st.ownInFlight.CompareAndSwap(0, 1) {
			st.countStarted()
			return nil
		}
		if err := waitPollInterval(ctx); err != nil {
			return err
		}
		waited += isolationPollInterval
	}
}

// reserveLeastLoaded reserves the endpoint with the least work for isolated
// work. It takes an ejected endpoint or the one named by Work.Avoid only as a
// last resort. It returns nil if no endpoint can be reserved.
func (s *service) reserveLeastLoaded(w Work) *Slot {
	idx := s.index(s.d.opt.Views.Load()).matching(w.Requirements)
	now := int64(s.d.opt.Clock.Now())
	var best *Slot
	bestScore := int64(math.MaxInt64)
	if limited := idx.limitedNames(); len(limited) > 0 {
		s.d.opt.RateLimits.Request(1, limited)
	}
	for _, e := range slices.Concat(idx.local, idx.remote) {
		st := s.d.endpoint(e)
		if !anyEndpoint.allows(e, s.d.opt.RateLimits) {
			continue
		}
		score := st.stats.InFlight.Load()
		if e.Name == w.Avoid || now < st.ejectedUntil.Load() {
			score += lastResortPenalty
		}
		if score < bestScore && !st.stats.Reserved.Load() {
			best, bestScore = &Slot{Endpoint: e, s: s, st: st, work: w}, score
		}
	}
	if best == nil || !best.st.stats.Reserved.CompareAndSwap(false, true) {
		return nil
	}
	return best
}

// lastResortPenalty ranks an endpoint after all endpoints that have fewer
// requests in flight than this.
const lastResortPenalty = 1 << 20
