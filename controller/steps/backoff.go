package steps

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cumincove/cumincove/retry"
)

const (
	// minBackoff and maxBackoff bound the time between two attempts of a store
	// call. They are short because a trainer waits for results that are not stored
	// yet.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// initialAttempts is added to the number of attempts, so that the first wait is
	// about a tenth of a second.
	initialAttempts = 3
)

// backoff computes the growing wait between attempts of one store call.
type backoff struct{ attempts int }

// wait waits before the next attempt. It returns the error of ctx if ctx ends
// first.
func (b *backoff) wait(ctx context.Context) error {
	b.attempts++
	return sleep(ctx, min(minBackoff+retry.Delay(b.attempts+initialAttempts, rand.Float64()), maxBackoff))
}
