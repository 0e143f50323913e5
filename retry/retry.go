// Package retry limits the retries of failed requests.
//
// A Budget gains a fraction of a token with each request and spends one token
// for each retry, so that retries remain a small fraction of all attempts
// during an outage. The package is pure: no goroutines, no clock, no I/O. A
// Budget needs a lock if several goroutines use it.
package retry

import "time"

const (
	// tokensPerRequest is the part of a token that a request adds to the budget.
	tokensPerRequest = 0.1
	// maxTokens is the capacity of a budget. It bounds the burst of retries after
	// a time without any.
	maxTokens = 10
)

// Budget limits the retries of one team. The zero Budget is full.
type Budget struct {
	// spent is the difference between a full budget and this one, in tokens.
	spent float64
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest() {
	b.spent = max(b.spent-tokensPerRequest, 0)
}

// Spend takes one token out of the budget, for one retry. It returns false, and
// takes nothing, if less than one token is left.
func (b *Budget) Spend() bool {
	if b.spent+1 > maxTokens {
		return false
	}
	b.spent++
	return true
}

const (
	// firstDelay is the upper bound of the wait before the first retry. The
	// bound doubles with each retry, up to maxDelay.
	firstDelay = 10 * time.Millisecond
	maxDelay   = time.Second
)

// Delay returns the time to wait before retry number attempt. The first retry
// has number one. random must be uniformly distributed in [0, 1).
func Delay(attempt int, random float64) time.Duration {
	d := firstDelay << min(max(attempt-1, 0), 10)
	return time.Duration(random * float64(min(d, maxDelay)))
}
