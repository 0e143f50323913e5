package ratelimit

import "time"

// retention is how long a Table remembers that a limit has ended, and the limit of an
// endpoint that is not listed. It must be longer than a request takes to be answered,
// and than endpoints are missing from the list while the platform's store is down.
const retention = time.Minute

// Limit is the limit that one incarnation of an endpoint names.
type Limit struct {
	// Incarnation identifies the start of the endpoint that named the limit. A
	// limit does not apply to other incarnations.
	Incarnation int64
	// Rate is in requests per second. Zero means that the endpoint names no limit.
	Rate float64
	// Cold indicates that the limit is that of a cold endpoint. It is never set in a
	// Table.
	Cold bool
}

// Answer is what an answer of an endpoint says about its limit.
type Answer struct {
	Endpoint    string
	Incarnation int64
	// Values are the values of the header that names the limit.
	Values []string
	// HandedOff is when the request was handed off to its connection.
	HandedOff time.Duration
}

// Table records the limits of endpoints. The zero value is an empty Table.
type Table struct {
	entries map[string]entry
}

type entry struct {
	limit Limit
	// changedAt is when this instance learned of the limit, or of its end.
	changedAt time.Duration
	// handedOff is when the newest request was handed off whose answer named the
	// limit, and heardAt when the last such answer was received.
	handedOff, heardAt time.Duration
	// listedAt is when the endpoint was last found listed by Sweep, or when the entry
	// was made.
	listedAt time.Duration
}

// Limit returns the limit of an endpoint. It returns false if there is none.
func (t *Table) Limit(endpoint string, incarnation int64) (rate float64, ok bool) {
	e := t.entries[endpoint]
	if e.limit.Incarnation != incarnation {
		return 0, false
	}
	return e.limit.Rate, e.limit.Rate > 0
}

// HeardAt returns when an answer last named the limit of an endpoint, or when
// this instance learned of the limit from another one.
func (t *Table) HeardAt(endpoint string) time.Duration { return t.entries[endpoint].heardAt }

// Known reports whether the Table remembers the endpoint.
func (t *Table) Known(endpoint string) bool {
	_, ok := t.entries[endpoint]
	return ok
}

// Len returns the number of endpoints with a limit.
func (t *Table) Len() int {
	n := 0
	for _, e := range t.entries {
		if e.limit.Rate > 0 {
			n++
		}
	}
	return n
}

// Endpoints returns the names of the endpoints with a limit, in no fixed order.
func (t *Table) Endpoints() []string {
	names := make([]string, 0, len(t.entries))
	for name, e := range t.entries {
		if e.limit.Rate > 0 {
			names = append(names, name)
		}
	}
	return names
}

// HandleAnswer records an answer that was received at now. It returns the
// endpoint's limit, and whether the answer changed it.
//
// Answers may overtake each other. An answer therefore begins or ends a limit only
// if its request was handed off after the last such change was learned.
func (t *Table) HandleAnswer(now time.Duration, a Answer) (l Limit, changed bool) {
	e, known := t.entries[a.Endpoint]
	if known && a.Incarnation < e.limit.Incarnation {
		return e.limit, false
	}
	if a.Incarnation != e.limit.Incarnation {
		e = entry{limit: Limit{Incarnation: a.Incarnation}, listedAt: now}
	}
	if len(a.Values) == 0 {
		return t.handleEnd(now, e, a)
	}
	rate, ok := ParseRate(a.Values)
	if !ok || a.HandedOff < e.handedOff || e.limit.Rate == 0 && a.HandedOff < e.changedAt {
		return e.limit, false
	}
	changed = rate != e.limit.Rate
	if e.limit.Rate == 0 {
		e.changedAt = now
	}
	e.limit.Rate, e.handedOff, e.heardAt = rate, a.HandedOff, now
	t.set(a.Endpoint, e)
	return e.limit, changed
}

func (t *Table) handleEnd(now time.Duration, e entry, a Answer) (l Limit, changed bool) {
	if e.limit.Rate == 0 || a.HandedOff < e.changedAt {
		return e.limit, false
	}
	e.limit.Rate, e.changedAt = 0, now
	t.set(a.Endpoint, e)
	return e.limit, true
}

// HandlePeer records a limit, or the end of one, that another instance learned. It
// reports whether this changed the Table.
func (t *Table) HandlePeer(now time.Duration, endpoint string, l Limit) bool {
	e, known := t.entries[endpoint]
	if l.Incarnation < e.limit.Incarnation || l == e.limit {
		return false
	}
	if !known {
		e.listedAt = now
	}
	if e.limit.Rate == 0 || l.Rate == 0 || l.Incarnation != e.limit.Incarnation {
		e.changedAt = now
	}
	e.limit, e.heardAt = l, now
	t.set(endpoint, e)
	return true
}

func (t *Table) set(endpoint string, e entry) {
	if t.entries == nil {
		t.entries = map[string]entry{}
	}
	t.entries[endpoint] = e
}

// Sweep forgets endpoints that were not listed for a time, and ends that are too old
// to matter.
func (t *Table) Sweep(now time.Duration, listed func(endpoint string) bool) {
	for name, e := range t.entries {
		if listed(name) {
			e.listedAt = now
			t.entries[name] = e
		}
		if now-e.listedAt > retention || e.limit.Rate == 0 && now-e.changedAt > retention {
			delete(t.entries, name)
		}
	}
}
