package dispatch

import (
	"slices"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/route"
	"github.com/cumincove/cumincove/view"
)

// Speeds provides the speeds of endpoints, and is given the measurements from which
// they are estimated.
type Speeds interface {
	// Any reports whether any endpoint's speed differs from that of its service's
	// median.
	Any() bool
	// Speed returns the endpoint's speed relative to the median of its service; zero
	// means unknown.
	Speed(e *view.Endpoint) float64
	// Observe records the duration of an amount of work, with other work beside it.
	Observe(e *view.Endpoint, kind string, work float64, took time.Duration, beside int)
	// CountPlacement counts work that starts at the endpoint.
	CountPlacement(e *view.Endpoint)
}

// noSpeeds are the Speeds of endpoints whose speeds are unknown.
type noSpeeds struct{}

func (noSpeeds) Any() bool                                                   { return false }
func (noSpeeds) Speed(*view.Endpoint) float64                                { return 0 }
func (noSpeeds) Observe(*view.Endpoint, string, float64, time.Duration, int) {}
func (noSpeeds) CountPlacement(*view.Endpoint)                               {}

const (
	// probeChoices is the mean number of choices of which one is made among all
	// endpoints, while some differ in speed, so that all speeds are measured again.
	probeChoices = 32
	// tiersPeriod is the shortest time between two computations of an index's tiers.
	tiersPeriod = 250 * time.Millisecond
)

// tiers are the lists of endpoints in which a slot is searched, in this order. Empty
// tiers mean that the endpoints differ little in speed.
type tiers struct {
	at    time.Duration
	lists [][]*view.Endpoint
}

// searchOrder returns the lists of endpoints in the order in which a slot is searched
// there. Endpoints of this data centre are preferred to others, unless endpoints are
// much slower than others: these come last. tiered reports that the lists are not
// those of the index.
func (s *service) searchOrder(idx *index, now time.Duration) (lists [][]*view.Endpoint, tiered bool) {
	lists = [][]*view.Endpoint{idx.local, idx.remote}
	if !s.d.opt.Speeds.Any() || idx.affinity > 0 {
		return lists, false
	}
	t := idx.tiers.Load()
	if t == nil || now-t.at >= tiersPeriod {
		t = &tiers{at: now, lists: s.tiersOf(idx)}
		idx.tiers.Store(t)
	}
	if len(t.lists) == 0 {
		return lists, false
	}
	if s.d.opt.Random(probeChoices) == 0 {
		return [][]*view.Endpoint{slices.Concat(idx.local, idx.remote)}, true
	}
	return t.lists, true
}

// tiersOf returns the fast endpoints of this data centre and those of others, followed
// by the slow ones of both. It returns nil if the endpoints differ little in speed.
func (s *service) tiersOf(idx *index) [][]*view.Endpoint {
	all := slices.Concat(idx.local, idx.remote)
	speeds := make([]float64, len(all))
	for i, e := range all {
		speeds[i] = s.d.opt.Speeds.Speed(e)
	}
	fast := route.Fast(speeds)
	if fast == nil {
		return nil
	}
	lists := make([][]*view.Endpoint, 4)
	for i, e := range all {
		tier := 0
		if i >= len(idx.local) {
			tier = 1
		}
		if !fast[i] {
			tier += 2
		}
		lists[tier] = append(lists[tier], e)
	}
	return lists
}

// full reports whether the endpoint has more requests than it can process
// concurrently, including one that was just counted.
func (st *endpoint) full(e *view.Endpoint) bool {
	slots := max(e.Slots, e.Load.MaxRunning)
	return slots > 0 && int(st.stats.InFlight.Load())+e.RemoteRequests() > slots
}

// observeSpeed records the duration of a request that was answered. Requests that may
// have waited at the endpoint show its load rather than its speed.
func (s *Slot) observeSpeed() {
	if s.work.Kind == "" || s.work.Isolated || s.work.Class != fairqueue.Interactive || s.full || s.firstByte <= 0 {
		return
	}
	s.s.d.opt.Speeds.Observe(s.Endpoint, s.work.Kind, 1, s.firstByte, 0)
}
