package ratelimit

import "time"

const (
	// recheckAfter is the time without an answer from an endpoint with a limit after
	// which it gets a request although others have no limit, because only its
	// answers show that its limit has ended.
	recheckAfter = 3 * time.Second
	// recheckRetry is the time until an instance asks again for a recheck that the
	// coordinator denied.
	recheckRetry = 10 * time.Second
	// maxAskCount bounds the permits of one Ask.
	maxAskCount = 64
)

// Ask is a request to a coordinator for permits of one endpoint.
type Ask struct {
	Endpoint string
	Limit    Limit
	// Count is the number of permits.
	Count int
	// Unreported is the number of requests that were sent without permits.
	Unreported int
	// Recheck asks for one permit only if the endpoint got no request lately.
	Recheck bool
}

// Grant is the answer to an Ask.
type Grant struct {
	Endpoint string
	// Waits has an entry for each permit: how long to wait before it is used.
	Waits []time.Duration
	// FullFor is the time until further permits can be issued. It is zero if all
	// that were asked for were issued.
	FullFor time.Duration
	Recheck bool
}

// Node is one instance's part in keeping the limits.
type Node struct {
	Table
	office   office
	budgets  map[string]*budget
	holdings map[string]*holding
	cold     map[string]Cold
	asks     []Ask
	// random returns a uniform number in [0, n).
	random func(n int) int
}

// NewNode returns the Node of the named instance. Random must return a uniform
// number in [0, n).
func NewNode(self string, random func(n int) int) *Node {
	return &Node{
		office:  office{self: self},
		budgets: map[string]*budget{}, holdings: map[string]*holding{}, cold: map[string]Cold{}, random: random,
	}
}

// SetMembers records the members that were read at readAt. Instances that are
// leaving must be left out, and this instance too unless its own entry was read.
func (n *Node) SetMembers(readAt time.Duration, names []string) { n.office.setMembers(readAt, names) }

// Coordinator returns the instance to ask for permits of an endpoint, or an empty
// string if none is known.
func (n *Node) Coordinator(endpoint string) string { return n.office.coordinator(endpoint) }

func (n *Node) holding(endpoint string) *holding {
	h := n.holdings[endpoint]
	if h == nil {
		h = &holding{}
		n.holdings[endpoint] = h
	}
	return h
}

// Usable returns the number of requests that may be sent to an endpoint now.
func (n *Node) Usable(now time.Duration, endpoint string) int { return n.holding(endpoint).usable(now) }

// Take uses up a permit. The request must be sent no later than until. It returns
// false if there is no valid permit.
func (n *Node) Take(now time.Duration, endpoint string) (until time.Duration, ok bool) {
	return n.holding(endpoint).take(now)
}

// Charge accounts for a request that was sent without a permit.
func (n *Node) Charge(endpoint string) {
	n.holding(endpoint).unreported++
	n.ask(Ask{Endpoint: endpoint})
}

// Request asks for as many permits as count requests need at any of the endpoints,
// less those that are held or asked for. It reports whether it asked for any.
func (n *Node) Request(now time.Duration, count int, endpoints []string) bool {
	var free []string
	count -= n.Coming(now, endpoints)
	for _, name := range endpoints {
		h := n.holding(name)
		if h.asked == 0 && h.fullUntil <= now {
			free = append(free, name)
		}
	}
	if count <= 0 || len(free) == 0 {
		return false
	}
	each := min((count+len(free)-1)/len(free), maxAskCount)
	first := n.random(len(free))
	for i := 0; count > 0 && i < len(free); i++ {
		name := free[(first+i)%len(free)]
		n.holding(name).asked += min(each, count)
		n.ask(Ask{Endpoint: name, Count: min(each, count)})
		count -= each
	}
	return true
}

// Recheck returns an endpoint that must get the next request although others have
// no limit, or an empty string. Without a permit it asks for one.
func (n *Node) Recheck(now time.Duration, endpoints []string) (endpoint string, asked bool) {
	for _, name := range endpoints {
		h := n.holding(name)
		// A cold endpoint's entry shows how long it is cold.
		if l := n.LimitAt(now, name); l.Rate == 0 || l.Cold || now-n.HeardAt(name) < recheckAfter {
			continue
		}
		if h.usable(now) > 0 {
			return name, false
		}
		if h.asked == 0 && now >= h.recheckAt && !asked {
			h.recheckAt = now + recheckAfter
			h.asked++
			n.ask(Ask{Endpoint: name, Count: 1, Recheck: true})
			asked = true
		}
	}
	return "", asked
}

func (n *Node) ask(a Ask) {
	for i := range n.asks {
		if n.asks[i].Endpoint == a.Endpoint && n.asks[i].Recheck == a.Recheck {
			n.asks[i].Count += a.Count
			return
		}
	}
	n.asks = append(n.asks, a)
}

// Asks returns the asks to send, by coordinator, and forgets them. Each must be
// followed by HandleGrant or HandleFailure. Those for endpoints without a known
// coordinator fail at once.
func (n *Node) Asks(now time.Duration) map[string][]Ask {
	byCoordinator := map[string][]Ask{}
	for _, a := range n.asks {
		a.Limit = n.LimitAt(now, a.Endpoint)
		h := n.holding(a.Endpoint)
		a.Unreported, h.unreported = h.unreported, 0
		to := n.office.coordinator(a.Endpoint)
		if to == "" || a.Limit.Rate == 0 {
			n.HandleFailure(now, a)
			continue
		}
		byCoordinator[to] = append(byCoordinator[to], a)
	}
	n.asks = nil
	return byCoordinator
}

// HandleAsk issues permits to an instance that asked for them.
func (n *Node) HandleAsk(now time.Duration, a Ask) Grant {
	g := Grant{Endpoint: a.Endpoint, Recheck: a.Recheck}
	b := n.budget(now, a)
	limit, known := n.limitOf(now, a)
	if b == nil || !known {
		g.FullFor = retryDelay
		return g
	}
	b.charge(now, limit.Rate, min(a.Unreported, maxAskCount))
	if a.Recheck && b.issuedAt > 0 && now-b.issuedAt < recheckAfter {
		g.FullFor = recheckRetry
		return g
	}
	for range min(a.Count, maxAskCount) {
		wait, ok := b.reserve(now, n.mayIssueAt(a.Endpoint, limit), limit, maxWait)
		if !ok {
			g.FullFor = wait - maxWait
			break
		}
		g.Waits = append(g.Waits, wait)
	}
	return g
}

// budget returns the budget of the incarnation that an ask is for. It returns nil if
// this instance does not coordinate the endpoint, or knows a later incarnation.
func (n *Node) budget(now time.Duration, a Ask) *budget {
	incarnation := a.Limit.Incarnation
	if !n.office.holds(now, a.Endpoint) || incarnation < n.LimitAt(now, a.Endpoint).Incarnation {
		return nil
	}
	b := n.budgets[a.Endpoint]
	switch {
	case b == nil || incarnation > b.incarnation:
		b = &budget{incarnation: incarnation, next: now}
		n.budgets[a.Endpoint] = b
	case incarnation < b.incarnation:
		return nil
	}
	return b
}

// HandleGrant records the answer to an ask that was sent at the given time.
func (n *Node) HandleGrant(sent, now time.Duration, a Ask, g Grant) {
	h := n.holding(a.Endpoint)
	h.asked -= a.Count
	if n.outdated(sent, now, a) {
		return
	}
	lifetime := n.lifetimeOf(now, a)
	for _, wait := range g.Waits[:min(len(g.Waits), a.Count)] {
		h.permits = append(h.permits, permit{from: now + wait, until: sent + wait + lifetime})
	}
	switch {
	case g.FullFor <= 0:
	case a.Recheck:
		h.recheckAt = now + g.FullFor/2 + time.Duration(n.random(int(g.FullFor)))
	default:
		h.fullUntil = now + g.FullFor
	}
}

// HandleFailure records that an ask got no answer. Permits that were issued for it
// are not used by anyone.
func (n *Node) HandleFailure(now time.Duration, a Ask) {
	h := n.holding(a.Endpoint)
	h.asked -= a.Count
	h.unreported += a.Unreported
	h.fullUntil = max(h.fullUntil, now+retryDelay)
}

// Coming returns the number of permits for the endpoints that are valid, will be, or
// were asked for.
func (n *Node) Coming(now time.Duration, endpoints []string) int {
	coming := 0
	for _, name := range endpoints {
		h := n.holding(name)
		h.expire(now)
		coming += len(h.permits) + h.asked
	}
	return coming
}

// Wait returns the time until a further permit of any of the endpoints may be
// issued. It is zero as long as that is not known.
func (n *Node) Wait(now time.Duration, endpoints []string) time.Duration {
	if len(endpoints) == 0 {
		return 0
	}
	wait := n.holding(endpoints[0]).wait(now)
	for _, name := range endpoints[1:] {
		wait = min(wait, n.holding(name).wait(now))
	}
	return wait
}

// Sweep forgets endpoints that were not listed for a time, and the state of those
// without a limit.
func (n *Node) Sweep(now time.Duration, listed func(endpoint string) bool) {
	n.Table.Sweep(now, listed)
	n.sweepCold(now)
	for name, h := range n.holdings {
		if n.LimitAt(now, name).Rate == 0 && h.asked == 0 {
			delete(n.holdings, name)
		}
	}
	for name, b := range n.budgets {
		if now-max(b.issuedAt, b.next) > retention {
			delete(n.budgets, name)
		}
	}
}
