package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/view"
)

// retryDispatch is how soon a queue looks again for room that came without a
// place being given back, for example by a new endpoint.
const retryDispatch = 10 * time.Millisecond

// tokenTime is the time in a place that counts as the cost of one token.
const tokenTime = 20 * time.Millisecond

// service is the queue of one service and the index of its endpoints.
type service struct {
	d    *Dispatcher
	name string
	idx  atomic.Pointer[index]
	// waiting is the number of interactive requests in the queue, readable
	// without the lock.
	waiting atomic.Int64
	// meanCost is the running mean cost, in thousandths of a token.
	meanCost atomic.Int64

	// aloneOut is the number of places alone that are given out.
	aloneOut atomic.Int64

	// uses is what teams use here and elsewhere.
	uses uses
	// waitedAt is when work was last seen to wait, in boot time; zero is never.
	waitedAt atomic.Int64

	mu    sync.Mutex
	queue *fairqueue.Queue
	armed bool
	// turnsOut is the number of rollout streams whose turn it is and that have
	// not begun, and roomAt when room for more is looked for again.
	turnsOut int
	roomAt   time.Duration
}

// index splits a service's endpoints by data centre. It is immutable but for the
// parts of it that are kept when first asked for.
type index struct {
	view   *view.View
	local  []*view.Endpoint
	remote []*view.Endpoint
	// places holds each endpoint's position in its list by its name, for
	// services with prefix affinity, and affinity is theirs.
	places   map[string]int
	affinity float64
	// selected holds the part of the index that meets a Want, by it, and
	// selections is their number.
	selected   sync.Map
	selections atomic.Int64
}

// index returns the index for a snapshot, made when the snapshot is new.
func (s *service) index(v *view.View) *index {
	if idx := s.idx.Load(); idx != nil && idx.view == v {
		return idx
	}
	idx := &index{view: v, affinity: v.Config.Services[s.name].PrefixAffinity}
	now := s.d.opt.Clock.Now()
	for _, e := range v.Endpoints[s.name] {
		s.d.endpoint(e).seen(e, now)
		if leaving(e) {
			continue
		}
		if e.DataCentre == s.d.opt.DataCentre {
			idx.local = append(idx.local, e)
		} else {
			idx.remote = append(idx.remote, e)
		}
	}
	idx.notePlaces()
	s.idx.Store(idx)
	return idx
}

func (i *index) count() int { return len(i.local) + len(i.remote) }

func leaving(e *view.Endpoint) bool { return e.Leaving || e.Load.Draining }

// reserve takes a place at an endpoint with room, or returns nil.
func (s *service) reserve(w Work) *Slot {
	idx := s.index(s.d.opt.Views.Load()).meeting(w.Want)
	peers := len(idx.view.Members)
	now := s.d.opt.Clock.Now()
	for _, list := range [][]*view.Endpoint{idx.local, idx.remote} {
		c := &candidates{d: s.d, list: list, work: w, now: now, peers: peers, held: s.meanHeld()}
		idx.prefer(c)
		c.preferWarm()
		if slot := s.take(c); slot != nil {
			return slot
		}
	}
	if w.Avoid != "" {
		w.Avoid = ""
		return s.reserve(w)
	}
	return nil
}

// take chooses among candidates until a place is taken, which others may do
// first.
func (s *service) take(c *candidates) *Slot {
	for range len(c.list) {
		i := c.choose()
		if i < 0 {
			return nil
		}
		e := c.list[i]
		st := s.d.endpoint(e)
		if st.take() {
			return &Slot{Endpoint: e, s: s, st: st, work: c.work, at: c.now}
		}
	}
	return nil
}

// wait queues the work and waits for its place.
func (s *service) wait(ctx context.Context, w Work) (*Slot, error) {
	wt := &waiter{work: w, slot: make(chan *Slot, 1)}
	it := s.item(w, wt)
	s.mu.Lock()
	now := s.d.opt.Clock.Now()
	err := s.queue.Push(now, it)
	if err == nil {
		s.giveTurns(now)
		s.arm()
	}
	s.mu.Unlock()
	if err != nil {
		return nil, refusal(w, err)
	}
	select {
	case slot, ok := <-wt.slot:
		if !ok {
			return nil, gaveUp(ctx)
		}
		slot.item = it
		return slot, nil
	case <-ctx.Done():
		s.cancel(it, wt)
		return nil, gaveUp(ctx)
	}
}

// cancel takes work out of the queue, or gives back the place that it was
// given meanwhile.
func (s *service) cancel(it *fairqueue.Item, wt *waiter) {
	s.mu.Lock()
	cancelled := s.queue.Cancel(s.d.opt.Clock.Now(), it)
	s.waiting.Store(int64(s.queue.ClassLen(fairqueue.Interactive)))
	s.mu.Unlock()
	if cancelled {
		return
	}
	slot := <-wt.slot
	if slot == nil {
		return
	}
	slot.item = it
	if it.Class == fairqueue.Rollout {
		(&Turn{slot: slot}).Done()
		return
	}
	slot.Done(Unused)
}

// dispatch hands places to waiting work while there are any. It may look at
// every endpoint, so it runs by the clock only. The caller holds the lock.
func (s *service) dispatch() {
	for s.queue.ClassLen(fairqueue.Interactive) > 0 {
		slot := s.reserve(Work{Service: s.name})
		if slot == nil || !s.give(slot) {
			break
		}
	}
	s.giveTurns(s.d.opt.Clock.Now())
	s.arm()
}

// dispatchAt hands a place that was given back to waiting work. The caller
// holds the lock.
func (s *service) dispatchAt(name string) {
	v := s.d.opt.Views.Load()
	e, ok := v.EndpointByName(name) // with its newest report
	if ok && !leaving(e) && s.queue.ClassLen(fairqueue.Interactive) > 0 {
		slot := s.take(&candidates{
			d: s.d, list: []*view.Endpoint{e}, now: s.d.opt.Clock.Now(),
			peers: len(v.Members), held: s.meanHeld(),
		})
		if slot != nil {
			s.give(slot)
		}
	}
	s.arm()
}

// give hands a place to the work whose turn it is, and reports whether there
// was any.
func (s *service) give(slot *Slot) bool {
	it := s.pop(s.d.opt.Clock.Now())
	if it == nil {
		slot.st.release()
		return false
	}
	wt := it.Data.(*waiter)
	slot.work = wt.work
	if it.Class == fairqueue.Rollout {
		slot.st.uncount() // the stream counts when it begins
	} else {
		slot.held = s.uses.take(wt.work)
	}
	wt.slot <- slot
	return true
}

// pop takes the work whose turn it is, and ends the wait of what expired.
func (s *service) pop(now time.Duration) *fairqueue.Item {
	it, expired := s.queue.Pop(now)
	for _, e := range expired {
		close(e.Data.(*waiter).slot)
	}
	return it
}

// arm lets the queue be looked at again soon while anything waits.
func (s *service) arm() {
	s.waiting.Store(int64(s.queue.ClassLen(fairqueue.Interactive)))
	if s.queue.Len() > 0 && !s.armed {
		s.armed = true
		time.AfterFunc(retryDispatch, s.tick)
	}
}

func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = false
	s.dispatch()
}

// estimate returns the cost to charge before the true one is known.
func (s *service) estimate(w Work) float64 {
	if w.Tokens > 0 {
		return float64(w.Tokens)
	}
	return float64(s.meanCost.Load()) / 1000
}

// done notes the cost of work that left its place.
func (s *service) done(slot *Slot, now time.Duration) {
	cost := float64(now-slot.at) / float64(tokenTime)
	mean := s.meanCost.Load()
	s.meanCost.Store(mean + (int64(cost*1000)-mean)/meanSamples)
	if slot.item == nil && s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.item != nil {
		s.queue.Done(now, slot.item, cost)
	} else {
		s.queue.Bypassed(now, s.item(slot.work, nil), cost)
	}
	s.dispatchAt(slot.Endpoint.Name)
}

// meanHeld is the mean time that work spends in its place.
func (s *service) meanHeld() time.Duration {
	return tokenTime * time.Duration(s.meanCost.Load()) / 1000
}

// meanSamples is the length of the running mean of costs.
const meanSamples = 64

// item describes work to the queue.
func (s *service) item(w Work, wt *waiter) *fairqueue.Item {
	return &fairqueue.Item{
		Team: w.Team, Weight: w.Weight, Class: w.Class, Deadline: w.Deadline,
		Cost: s.estimate(w), Data: wt,
	}
}
