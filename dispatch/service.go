package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/view"
	"github.com/cumincove/cumincove/worktime"
)

// queueRetryInterval is the time until a queue checks again for room that appears
// without the release of a slot, for example at a new endpoint.
const queueRetryInterval = 10 * time.Millisecond

// service is the queue of one service and the index of its endpoints.
type service struct {
	d    *Dispatcher
	name string
	idx  atomic.Pointer[index]
	// waiting is the number of interactive requests in the queue that keep others
	// waiting, and yielding the number of those that do not. Both are readable
	// without the lock.
	waiting, yielding atomic.Int64
	// meanCost is the running mean cost, in thousandths of a token.
	meanCost atomic.Int64

	// times estimates the time that work needs.
	times worktime.Table

	// isolatedSlots is the number of isolated slots in use.
	isolatedSlots atomic.Int64

	// usage is the teams' usage at this instance and at others.
	usage teamUsage
	// lastWaitAt is the boot time at which an interactive request was last
	// observed to wait; zero means never.
	lastWaitAt atomic.Int64

	mu             sync.Mutex
	queue          *fairqueue.Queue
	retryScheduled bool
	// pendingPermits is the number of granted permits for room at any endpoint
	// whose streams have not started. nextRoomPoll is the earliest time of the
	// next check of all endpoints for further room.
	pendingPermits int
	nextRoomPoll   time.Duration
	// refusals summarizes the refusals since the last log line.
	refusals refusals
	// counters holds the counters of results by priority.
	counters sync.Map
}

// index splits a service's endpoints by data centre. It is immutable except for
// the cached selections.
type index struct {
	view   *view.View
	local  []*view.Endpoint
	remote []*view.Endpoint
	// positions maps the name of an endpoint to its position in its list. It is
	// set for services with prefix affinity. affinity is the service's setting.
	positions map[string]int
	affinity  float64
	// ranked is set if the configuration has several priorities.
	ranked bool
	// selected maps requirements to the part of the index that meets them, and
	// selections is the number of entries.
	selected   sync.Map
	selections atomic.Int64
	// tiers are the endpoints by speed, as last computed.
	tiers atomic.Pointer[tiers]
}

// index returns the index for a snapshot. It is built once for each snapshot.
func (s *service) index(v *view.View) *index {
	if idx := s.idx.Load(); idx != nil && idx.view == v {
		return idx
	}
	idx := &index{view: v, affinity: v.Config.Services[s.name].PrefixAffinity, ranked: s.d.ranked(v)}
	now := s.d.opt.Clock.Now()
	for _, e := range v.Endpoints[s.name] {
		s.d.endpoint(e).observeSnapshot(e, now)
		if leaving(e) {
			continue
		}
		if e.DataCentre == s.d.opt.DataCentre {
			idx.local = append(idx.local, e)
		} else {
			idx.remote = append(idx.remote, e)
		}
	}
	idx.indexPositions()
	s.idx.Store(idx)
	return idx
}

func (i *index) count() int { return len(i.local) + len(i.remote) }

func leaving(e *view.Endpoint) bool { return e.Leaving || e.Load.Draining }

// reserve takes a slot at an endpoint with room. It returns nil if there is none.
func (s *service) reserve(w Work) *Slot {
	idx := s.index(s.d.opt.Views.Load()).matching(w.Requirements)
	var slot *Slot
	if s.d.opt.RateLimits.Any() {
		slot = s.reserveWithLimits(idx, w)
	} else {
		slot = s.reserveFrom(idx, w, anyEndpoint)
	}
	if slot == nil && w.Avoid != "" {
		w.Avoid = ""
		return s.reserve(w)
	}
	return slot
}

// reserveFrom takes a slot at an endpoint that the filter allows, preferably in
// this data centre.
func (s *service) reserveFrom(idx *index, w Work, f limitFilter) *Slot {
	peers := len(idx.view.Members)
	now := s.d.opt.Clock.Now()
	lists, tiered := s.searchOrder(idx, now)
	for _, list := range lists {
		c := &candidates{d: s.d, list: list, work: w, now: now, peers: peers, meanWork: s.meanWorkTime(), limits: f}
		if !tiered {
			idx.preferCached(c)
		}
		c.preferWarm()
		if slot := s.acquireFrom(c); slot != nil {
			return slot
		}
	}
	return nil
}

// acquireFrom chooses among the candidates until it has taken a slot. It retries
// because concurrent requests may take the last slot of a chosen endpoint.
func (s *service) acquireFrom(c *candidates) *Slot {
	for range len(c.list) {
		i := c.choose()
		if i < 0 {
			return nil
		}
		e := c.list[i]
		st := s.d.endpoint(e)
		if !st.acquireSlot() {
			continue
		}
		until, ok := s.takePermit(e)
		if ok {
			s.d.opt.Speeds.CountPlacement(e)
			return &Slot{Endpoint: e, s: s, st: st, work: c.work, acquiredAt: c.now, permitUntil: until, full: st.full(e)}
		}
		st.ownInFlight.Add(-1)
		st.uncountStarted()
	}
	return nil
}

// wait queues the work and waits for its slot.
func (s *service) wait(ctx context.Context, w Work) (*Slot, error) {
	wt := &waiter{work: w, slot: make(chan *Slot, 1)}
	it, err := s.push(wt)
	if err != nil {
		return nil, err
	}
	queuedAt := s.d.opt.Clock.Now()
	check, stop := s.permitChecks()
	defer stop()
	covered := false
	stopping := s.d.stopping
	for {
		select {
		case <-stopping:
			stopping = nil
			if w.Deadline > s.d.stopsAt && s.cancelWaiting(it) {
				s.countWait(it, queuedAt, resultCancelled)
				return nil, code.New(code.Draining, "the request may outlast this instance")
			}
		case slot, ok := <-wt.slot:
			if !ok {
				if wt.err != nil {
					return nil, wt.err
				}
				s.countWait(it, queuedAt, resultExpired)
				return nil, waitError(ctx)
			}
			s.countWait(it, queuedAt, resultServed)
			slot.item = it
			return slot, nil
		case <-check:
			waiting := int(s.waiting.Load())
			if covered {
				waiting = 1 // what came later is refused before this request
			}
			ok, err := s.refuseByLimits(w, waiting)
			if err != nil && s.cancelWaiting(it) {
				s.countWait(it, queuedAt, resultLimited)
				return nil, err
			}
			covered = covered || ok
		case <-ctx.Done():
			s.cancel(it, wt)
			if wt.err != nil {
				return nil, wt.err
			}
			s.countWait(it, queuedAt, resultCancelled)
			return nil, waitError(ctx)
		}
	}
}

// cancelWaiting removes work from the queue. It returns false if the work is not
// waiting any more.
func (s *service) cancelWaiting(it *fairqueue.Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.opt.Clock.Now()
	cancelled := s.queue.Cancel(now, it)
	s.updateWaiting(now)
	return cancelled
}

// cancel removes work from the queue, or releases the slot that it was assigned
// in the meantime.
func (s *service) cancel(it *fairqueue.Item, wt *waiter) {
	if s.cancelWaiting(it) {
		return
	}
	slot := <-wt.slot
	if slot == nil {
		return
	}
	slot.item = it
	if it.Class == fairqueue.Rollout {
		(&RolloutPermit{slot: slot}).Done()
		return
	}
	slot.Done(Unused)
}

// dispatch assigns slots to waiting work while there are free ones. It may check
// every endpoint, so only the timer runs it. The caller holds the lock.
func (s *service) dispatch() {
	for s.queue.ClassLen(fairqueue.Interactive) > 0 {
		slot := s.reserve(Work{Service: s.name, Yields: s.queue.NextYields(s.d.opt.Clock.Now())})
		if slot == nil || !s.assignSlot(slot) {
			break
		}
	}
	s.grantPermits(s.d.opt.Clock.Now())
	s.scheduleRetry()
}

// dispatchAt assigns a slot that was released at the named endpoint to waiting
// work. The caller holds the lock.
func (s *service) dispatchAt(name string) {
	v := s.d.opt.Views.Load()
	e, ok := v.EndpointByName(name) // with its newest report
	if ok && !leaving(e) && s.queue.ClassLen(fairqueue.Interactive) > 0 {
		now := s.d.opt.Clock.Now()
		slot := s.acquireFrom(&candidates{
			d: s.d, list: []*view.Endpoint{e}, now: now, work: Work{Yields: s.queue.NextYields(now)},
			peers: len(v.Members), meanWork: s.meanWorkTime(),
		})
		if slot != nil {
			s.assignSlot(slot)
		}
	}
	s.scheduleRetry()
}

// assignSlot assigns a slot to the next work in the queue and reports whether
// there was any. The caller holds the lock.
func (s *service) assignSlot(slot *Slot) bool {
	it := s.pop(s.d.opt.Clock.Now())
	if it == nil {
		slot.st.release()
		return false
	}
	wt := it.Data.(*waiter)
	slot.work = wt.work
	if it.Class == fairqueue.Rollout {
		slot.st.uncountStarted() // the stream is counted when it starts
	} else {
		slot.usageCounter = s.usage.addSlot(wt.work)
	}
	wt.slot <- slot
	return true
}

// pop removes the next work from the queue and ends the wait of expired work. The
// caller holds the lock.
func (s *service) pop(now time.Duration) *fairqueue.Item {
	it, expired := s.queue.Pop(now)
	for _, e := range expired {
		close(e.Data.(*waiter).slot)
	}
	return it
}

// scheduleRetry updates waiting, and schedules another run of dispatch while any
// work waits. The caller holds the lock.
func (s *service) scheduleRetry() {
	s.updateWaiting(s.d.opt.Clock.Now())
	if s.queue.Len() > 0 && !s.retryScheduled {
		s.retryScheduled = true
		time.AfterFunc(queueRetryInterval, s.tick)
	}
}

func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryScheduled = false
	s.dispatch()
}
