package ratelimit

import "time"

const (
	// savedTime is the idle time for which a budget issues permits later on, at
	// once. It is longer at low rates: the time of savedPermits permits.
	savedTime    = time.Second
	savedPermits = 3
)

// budget schedules the permits of one endpoint at the endpoint's rate. A new
// coordinator starts with nothing saved.
type budget struct {
	incarnation int64
	// next is the earliest time of the next permit.
	next time.Duration
	// issuedAt is the time of the last permit, or of the last request that was
	// sent without one.
	issuedAt time.Duration
}

// reserve schedules a permit, for no earlier than notBefore. It returns how long the
// receiver must wait before it uses the permit. If that is longer than maxWait, no
// permit is issued, and ok is false. Cold endpoints have nothing saved up.
func (b *budget) reserve(now, notBefore time.Duration, l Limit, maxWait time.Duration) (wait time.Duration, ok bool) {
	saved := max(savedTime, savedPermits*interval(l.Rate))
	if l.Cold {
		saved = 0
	}
	at := max(b.next, now-saved, notBefore)
	wait = max(at-now, 0)
	if wait > maxWait {
		return wait, false
	}
	b.next = at + interval(l.Rate)
	b.issuedAt = now + wait
	return wait, true
}

// charge accounts for requests that were sent without permits.
func (b *budget) charge(now time.Duration, rate float64, requests int) {
	if requests <= 0 {
		return
	}
	b.next = min(max(b.next, now)+time.Duration(requests)*interval(rate), now+maxDebt)
	b.issuedAt = max(b.issuedAt, now)
}

// maxDebt bounds the time for which requests that were sent without permits delay
// the next permit.
const maxDebt = 10 * time.Second

// interval returns the time between two permits.
func interval(rate float64) time.Duration {
	if !(rate >= MinRate) { // also if it is not a number
		rate = MinRate
	}
	return time.Duration(float64(time.Second) / rate)
}
