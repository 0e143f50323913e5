package fairqueue

import "container/heap"

// classQueue implements start-time fair queueing over the teams of one class.
// The start tag of a request is the virtual time, or the finish tag of its
// team's previous request if that is larger. Its finish tag is the start tag
// plus its cost divided by its weight. The request with the lowest start tag is
// dequeued first.
type classQueue struct {
	teams map[string]*team
	// waiting contains the teams with waiting requests, ordered by start tag.
	waiting teamHeap
	// virtual is the virtual time: the start tag of the last dequeued request.
	virtual float64
	// cost is the total cost of the waiting requests, and weights the total
	// weight of the teams with waiting requests.
	cost    float64
	weights float64
	// len is the number of waiting requests. rate measures the rate at which
	// cost is served while any request waits.
	len  int
	rate meter
	// sweepIn is the number of new teams until the next sweep.
	sweepIn int
}

// team is the first-in first-out list of one team.
type team struct {
	name        string
	first, last *Item
	len         int
	cost        float64
	weight      float64
	// start is the start tag of the first waiting request, and finish the
	// finish tag of the last dequeued one.
	start, finish float64
	// index is the position in the heap, or -1 if the team is not in it.
	index int
}

func (c *classQueue) empty() bool { return len(c.waiting) == 0 }

func (c *classQueue) head() *Item { return c.waiting[0].first }

func (c *classQueue) team(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		c.sweep()
		t = &team{name: name, index: -1}
		c.teams[name] = t
	}
	return t
}

// sweep removes the teams that have no waiting requests and no debt. To keep
// the amortized cost constant, a sweep runs only after as many teams were added
// as remained after the previous one.
func (c *classQueue) sweep() {
	c.sweepIn--
	if c.sweepIn > 0 {
		return
	}
	for name, t := range c.teams {
		if t.len == 0 && t.finish <= c.virtual {
			delete(c.teams, name)
		}
	}
	c.sweepIn = len(c.teams) + 1
}

func (c *classQueue) push(t *team, it *Item) {
	it.team = t
	it.prev = t.last
	if t.last != nil {
		t.last.next = it
	} else {
		t.first = it
	}
	t.last = it
	t.len++
	c.len++
	t.cost += it.Cost
	c.cost += it.Cost
	if t.len == 1 {
		t.weight = it.Weight
		c.weights += t.weight
		t.start = max(c.virtual, t.finish)
		heap.Push(&c.waiting, t)
	}
}

// remove removes a request from its team's list.
func (c *classQueue) remove(it *Item) {
	t := it.team
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		t.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		t.last = it.prev
	}
	it.team, it.prev, it.next = nil, nil, nil
	t.len--
	c.len--
	t.cost -= it.Cost
	c.cost -= it.Cost
	if t.len > 0 {
		return
	}
	c.weights -= t.weight
	heap.Remove(&c.waiting, t.index)
	if c.empty() {
		c.cost, c.weights = 0, 0 // discard accumulated rounding errors
	}
}

// charge advances the virtual time and the team's tags for a dequeued request.
func (c *classQueue) charge(it *Item) {
	t := c.team(it.Team)
	c.virtual = max(c.virtual, t.start)
	t.finish = t.start + it.Cost/it.Weight
	c.fix(t)
}

// settle moves the team's finish tag by a correction. A correction does not
// move the tag further than limit ahead of the virtual time.
func (c *classQueue) settle(t *team, correction, limit float64) {
	t.finish = min(t.finish+correction, max(t.finish, c.virtual+limit))
	c.fix(t)
}

// fix recomputes the start tag of a waiting team from its finish tag, and
// restores the heap order.
func (c *classQueue) fix(t *team) {
	if t.index < 0 {
		return
	}
	t.start = max(c.virtual, t.finish)
	heap.Fix(&c.waiting, t.index)
}

// teamHeap is a heap of teams ordered by start tag, then by name.
type teamHeap []*team

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *teamHeap) Pop() any {
	old := *h
	n := len(old) - 1
	t := old[n]
	old[n] = nil
	*h = old[:n]
	t.index = -1
	return t
}
