package dispatch

import (
	"context"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/view"
)

const (
	// defaultMaxRunning is the assumed number of concurrent streams of an engine
	// that does not report it.
	defaultMaxRunning = 8
	// rolloutSharePercent is the part of an engine's streams that rollouts may
	// use. The rest stays free for interactive requests.
	rolloutSharePercent = 75
	// roomPollInterval is the time until all endpoints are checked for room again
	// after a check that found no further room.
	roomPollInterval = 50 * time.Millisecond
)

// RolloutRoom returns the number of further rollout streams that this instance
// may start at an endpoint whose room is shared by a number of instances. It is
// this instance's part of the room in the last report, less the streams that it
// has started since. The room is divided because a report lags and all instances
// find the same room in it.
func RolloutRoom(e *view.Endpoint, instances int) int {
	maxRunning := e.Load.MaxRunning
	if maxRunning == 0 {
		maxRunning = defaultMaxRunning
	}
	share := max(maxRunning*rolloutSharePercent/100, 1)
	startedSince := int(e.Stats.InFlight.Load()) - e.OwnInFlightAtLoad
	free := share - e.RemoteRequests() - e.OwnInFlightAtLoad
	if free > 0 {
		instances = max(instances, 1)
		free = (free + instances - 1) / instances
	}
	return free - startedSince
}

// RolloutPermit is the permit to start one rollout stream. It is not safe for
// concurrent use. A stream that needs no permit has a nil one.
type RolloutPermit struct {
	// Endpoint names the endpoint at which the stream must run; empty means any
	// endpoint with RolloutRoom.
	Endpoint string

	slot          *Slot
	streamStarted bool
}

// AcquireRollout waits for the permit to start a rollout stream. Interactive
// requests have priority, except for the minimum share of rollouts
// (fairqueue.Options.RolloutFloor), and teams share by weight. While no interactive
// request waits, a permit is for room at any endpoint. A permit that is granted
// because of the minimum share is for the slot that an interactive request would
// otherwise have got.
func (d *Dispatcher) AcquireRollout(ctx context.Context, w Work) (*RolloutPermit, error) {
	w.Class = fairqueue.Rollout
	slot, err := d.service(w.Service).wait(ctx, w)
	if err != nil {
		return nil, err
	}
	p := &RolloutPermit{slot: slot}
	if slot.Endpoint != nil {
		p.Endpoint = slot.Endpoint.Name
	}
	return p, nil
}

// Start records that the stream starts. The caller counts it in the endpoint's
// Stats.
func (p *RolloutPermit) Start() {
	if p == nil {
		return
	}
	s := p.slot.s
	s.mu.Lock()
	defer s.mu.Unlock()
	p.streamStarted = true
	p.slot.acquiredAt = s.d.opt.Clock.Now()
	p.slot.usageCounter = s.usage.addSlot(p.slot.work)
	p.releaseRoom()
}

// releaseRoom ends the reservation of room, which lasts from the grant of the
// permit to the start of the stream. The caller holds the lock.
func (p *RolloutPermit) releaseRoom() {
	if p.slot.st == nil {
		p.slot.s.pendingPermits--
	}
}

// Done ends the stream, or returns the permit if the stream has not started.
// Later calls do nothing.
func (p *RolloutPermit) Done() {
	if p == nil || p.slot.done {
		return
	}
	slot := p.slot
	slot.done = true
	s := slot.s
	now := s.d.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := 0.0
	if p.streamStarted {
		cost = float64(now-slot.acquiredAt) / float64(timePerToken)
		slot.usageCounter.slotsInUse.Add(-1)
		s.nextRoomPoll = 0
	} else {
		p.releaseRoom()
	}
	s.queue.Done(now, slot.item, cost)
	if slot.st != nil {
		slot.st.ownInFlight.Add(-1)
		s.dispatchAt(slot.Endpoint.Name)
	}
	s.grantPermits(now)
	s.scheduleRetry()
}

// grantPermits grants permits for rollout streams while there is room and no
// interactive request waits. The caller holds the lock.
func (s *service) grantPermits(now time.Duration) {
	if s.queue.ClassLen(fairqueue.Interactive) > 0 || s.queue.Len() == 0 || now < s.nextRoomPoll {
		return
	}
	room := s.rolloutRoom() - s.pendingPermits
	for ; room > 0; room-- {
		it := s.pop(now)
		if it == nil {
			return
		}
		wt := it.Data.(*waiter)
		s.pendingPermits++
		wt.slot <- &Slot{s: s, work: wt.work}
	}
	s.nextRoomPoll = now + roomPollInterval
}

// rolloutRoom returns the number of further streams that this instance may start
// at all endpoints together.
func (s *service) rolloutRoom() int {
	v := s.d.opt.Views.Load()
	idx := s.index(v)
	n := 0
	for _, list := range [][]*view.Endpoint{idx.local, idx.remote} {
		for _, e := range list {
			if !e.Load.Loading && !e.Stats.Reserved.Load() {
				n += max(RolloutRoom(e, v.RolloutSharers()), 0)
			}
		}
	}
	return n
}
