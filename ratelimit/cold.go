package ratelimit

import "time"

const (
	// coldLifetime is how long a permit for a cold endpoint is valid. The permits of
	// a second and of this time may all be used within one second.
	coldLifetime = 250 * time.Millisecond
	// turnDelay is how long the coordinator issues nothing after it learned that an
	// endpoint has become cold again. It exceeds the time between two reads of the
	// entries: instances that have not read the new entry send without permits.
	turnDelay = time.Second
)

// Cold is the state of an endpoint that tolerates only some requests per second
// for a time.
type Cold struct {
	// Incarnation is the start of the endpoint that is cold.
	Incarnation int64
	// Rate is in requests per second.
	Rate float64
	// Until is when the endpoint stops being cold.
	Until time.Duration
	// TurnedAt is when this instance learned that a known endpoint had become cold
	// again, or had started again under its name. It is zero if the endpoint is cold
	// since instances know of it.
	TurnedAt time.Duration
}

// SetCold records that an endpoint is cold, in place of what was recorded before. When
// it becomes cold, or is a later incarnation, the permits held until then lapse.
func (n *Node) SetCold(endpoint string, c Cold) {
	c.Rate = max(c.Rate, MinRate)
	old, known := n.cold[endpoint]
	if !known || c.TurnedAt != old.TurnedAt || c.Incarnation > max(old.Incarnation, n.entries[endpoint].limit.Incarnation) {
		n.holding(endpoint).permits = nil
	}
	n.cold[endpoint] = c
}

// ClearCold records that an endpoint is not cold any more.
func (n *Node) ClearCold(endpoint string) { delete(n.cold, endpoint) }

// outdated reports whether a grant must not be used: it was asked for before the
// endpoint became cold or started again.
func (n *Node) outdated(sent, now time.Duration, a Ask) bool {
	l := n.LimitAt(now, a.Endpoint)
	if a.Limit.Incarnation < l.Incarnation {
		return true
	}
	return l.Cold && (!a.Limit.Cold || sent < n.cold[a.Endpoint].TurnedAt)
}

// LimitAt returns the limit that applies to an endpoint at a time: the one that its
// answers name, the one of a cold endpoint, or the lower one of both. Its Rate is
// zero if there is none.
func (n *Node) LimitAt(now time.Duration, endpoint string) Limit {
	l := n.entries[endpoint].limit
	c, ok := n.cold[endpoint]
	if !ok || now >= c.Until || c.Incarnation < l.Incarnation {
		return l
	}
	cold := Limit{Incarnation: c.Incarnation, Rate: c.Rate, Cold: true}
	if l.Incarnation == c.Incarnation && l.Rate > 0 {
		cold.Rate = min(cold.Rate, l.Rate)
	}
	return cold
}

// LimitedEndpoints returns the names of the endpoints with a limit at a time, in no
// fixed order.
func (n *Node) LimitedEndpoints(now time.Duration) []string {
	names := n.Endpoints()
	for name, c := range n.cold {
		if now < c.Until && n.entries[name].limit.Rate == 0 {
			names = append(names, name)
		}
	}
	return names
}

// limitOf returns the limit that a coordinator applies to an ask. It returns false if
// the asking instance knows that the endpoint is cold and this one does not. It will
// soon: the entries are read often.
func (n *Node) limitOf(now time.Duration, a Ask) (l Limit, ok bool) {
	own := n.LimitAt(now, a.Endpoint)
	if own.Incarnation != a.Limit.Incarnation || own.Rate == 0 {
		return a.Limit, !a.Limit.Cold
	}
	return own, own.Cold || !a.Limit.Cold
}

// mayIssueAt returns the time from which on permits of an endpoint may be used.
func (n *Node) mayIssueAt(endpoint string, l Limit) time.Duration {
	c := n.cold[endpoint]
	if !l.Cold || c.TurnedAt == 0 {
		return 0
	}
	return c.TurnedAt + turnDelay
}

// lifetimeOf returns how long the permits for an ask are valid.
func (n *Node) lifetimeOf(now time.Duration, a Ask) time.Duration {
	switch {
	case a.Limit.Cold || n.LimitAt(now, a.Endpoint).Cold:
		return coldLifetime
	case a.Recheck:
		return recheckLifetime
	}
	return permitLifetime
}

// sweepCold forgets endpoints that are not cold any more.
func (n *Node) sweepCold(now time.Duration) {
	for name, c := range n.cold {
		if now >= c.Until {
			delete(n.cold, name)
		}
	}
}
