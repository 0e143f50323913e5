package fairqueue

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// levelKey identifies a level of a class and orders the levels.
type levelKey struct {
	// late is set for the requests that can't meet their deadline any more.
	late bool
	// yields is set for requests that wait for others while their slack allows.
	yields   bool
	priority int
}

func (k levelKey) compare(o levelKey) int {
	return cmp.Or(boolCompare(k.late, o.late), boolCompare(k.yields, o.yields), cmp.Compare(k.priority, o.priority))
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// level implements start-time fair queueing over the teams of one priority level.
// The start tag of a request is the virtual time, or the finish tag of its
// team's previous request if that is larger. Its finish tag is the start tag
// plus its cost divided by its weight. The request with the lowest start tag is
// dequeued first.
type level struct {
	key   levelKey
	flows map[string]*flow
	// waiting contains the flows with waiting requests, ordered by start tag.
	waiting flowHeap
	// virtual is the virtual time: the start tag of the last dequeued request.
	virtual float64
	// cost is the total cost of the waiting requests, and weights the total
	// weight of the flows with waiting requests.
	cost    float64
	weights float64
	// len is the number of waiting requests. rate measures the rate at which
	// cost is served while any request waits.
	len  int
	rate meter
	// offered is the cost of the requests that came lately, admitted or not.
	offered decaying
	// needs and needsSquared are the sums of the needed times, in seconds, and of their
	// squares over the requests that came lately.
	needs, needsSquared decaying
	// credit is the cost by which the dequeued requests are behind the level's
	// minimum share.
	credit float64
	// returnsUntil is the time until which the callers that were refused keep the
	// service busy if all of them come back.
	returnsUntil time.Duration
	// sweepIn is the number of new flows until the next sweep.
	sweepIn int
}

// flow is the list of one team at one level. Ranked requests are ordered by the
// time by which they must start, others first-in first-out.
type flow struct {
	level       *level
	name        string
	first, last *Item
	len         int
	cost        float64
	weight      float64
	// start is the start tag of the first waiting request, and finish the
	// finish tag of the last dequeued one.
	start, finish float64
	// index is the position in the heap, or -1 if the flow is not in it.
	index int
}

func (l *level) empty() bool { return l.len == 0 }

func (l *level) head() *Item { return l.waiting[0].first }

func (l *level) flow(name string) *flow {
	f, ok := l.flows[name]
	if !ok {
		l.sweep()
		f = &flow{level: l, name: name, index: -1}
		l.flows[name] = f
	}
	return f
}

// sweep removes the flows that have no waiting requests and no debt. To keep
// the amortized cost constant, a sweep runs only after as many flows were added
// as remained after the previous one.
func (l *level) sweep() {
	l.sweepIn--
	if l.sweepIn > 0 {
		return
	}
	for name, f := range l.flows {
		if f.len == 0 && f.finish <= l.virtual {
			delete(l.flows, name)
		}
	}
	l.sweepIn = len(l.flows) + 1
}

// position returns the request of the flow after which a new one is queued, nil
// for the first place, and the cost of the requests behind it.
func (f *flow) position(it *Item) (after *Item, behind float64) {
	after = f.last
	for it.Ranked && after != nil && after.Ranked && after.latestStart() > it.latestStart() {
		behind += after.Cost
		after = after.prev
	}
	return after, behind
}

func (l *level) push(f *flow, it *Item) {
	it.flow = f
	it.prev, _ = f.position(it)
	if it.prev != nil {
		it.next, it.prev.next = it.prev.next, it
	} else {
		it.next, f.first = f.first, it
	}
	if it.next != nil {
		it.next.prev = it
	} else {
		f.last = it
	}
	f.len++
	l.len++
	f.cost += it.Cost
	l.cost += it.Cost
	if f.len == 1 {
		f.weight = it.Weight
		l.weights += f.weight
		f.start = max(l.virtual, f.finish)
		heap.Push(&l.waiting, f)
	}
}

// remove removes a request from its flow.
func (l *level) remove(it *Item) {
	f := it.flow
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.last = it.prev
	}
	it.flow, it.prev, it.next = nil, nil, nil
	f.len--
	l.len--
	f.cost -= it.Cost
	l.cost -= it.Cost
	if f.len > 0 {
		return
	}
	l.weights -= f.weight
	heap.Remove(&l.waiting, f.index)
	if l.empty() {
		l.cost, l.weights = 0, 0 // discard accumulated rounding errors
	}
}

// charge advances the virtual time and the team's tags for a dequeued request.
func (l *level) charge(it *Item) {
	f := l.flow(it.Team)
	l.virtual = max(l.virtual, f.start)
	f.finish = f.start + it.Cost/it.Weight
	l.fix(f)
}

// settle moves the team's finish tag by a correction. A correction does not
// move the tag further than limit ahead of the virtual time.
func (l *level) settle(name string, correction, limit float64) {
	f := l.flow(name)
	f.finish = min(f.finish+correction, max(f.finish, l.virtual+limit))
	l.fix(f)
}

// fix recomputes the start tag of a waiting flow from its finish tag, and
// restores the heap order.
func (l *level) fix(f *flow) {
	if f.index < 0 {
		return
	}
	f.start = max(l.virtual, f.finish)
	heap.Fix(&l.waiting, f.index)
}

// largeNeeds returns the needed time of large requests: the mean over the time that
// all requests need, not over the requests.
func (l *level) largeNeeds(now time.Duration) time.Duration {
	sum := l.needs.value(now)
	if sum <= 0 {
		return 0
	}
	return time.Duration(l.needsSquared.value(now) / sum * float64(time.Second))
}

// offer records a request that came.
func (l *level) offer(now time.Duration, it *Item) {
	l.offered.add(now, it.Cost)
	seconds := it.Needs.Seconds()
	l.needs.add(now, seconds)
	l.needsSquared.add(now, seconds*seconds)
}

// servedLast returns the flow whose last request will be dequeued after those of
// all others. At least one request must be waiting.
func (l *level) servedLast() *flow {
	last := l.waiting[0]
	for _, f := range l.waiting[1:] {
		if f.end() > last.end() {
			last = f
		}
	}
	return last
}

// end returns the finish tag of the flow's last waiting request.
func (f *flow) end() float64 { return f.start + f.cost/max(f.weight, math.SmallestNonzeroFloat64) }

// decayPeriod is the time in which a decaying sum falls to 1/e.
const decayPeriod = 5 * time.Second

// decaying is a sum in which older amounts count less.
type decaying struct {
	at  time.Duration
	sum float64
}

func (d *decaying) add(now time.Duration, x float64) {
	d.sum = d.value(now) + x
	d.at = max(d.at, now)
}

func (d *decaying) value(now time.Duration) float64 {
	if now <= d.at {
		return d.sum
	}
	return d.sum * math.Exp(-(now-d.at).Seconds()/decayPeriod.Seconds())
}

// flowHeap is a heap of flows ordered by start tag, then by team.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	*h = old[:n]
	f.index = -1
	return f
}
