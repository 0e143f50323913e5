package steps

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cumincove/cumincove/retry"
)

const (
	// leastPause and mostPause bound the time between two tries of a call of
	// the store. A trainer waits for what is not stored yet.
	leastPause = 50 * time.Millisecond
	mostPause  = 250 * time.Millisecond
	// firstTries lets the pauses begin at a tenth of a second.
	firstTries = 3
)

// backoff spaces the tries of one call of the store, the more so the more of them
// failed.
type backoff struct{ tries int }

// wait pauses before the next try. Its error is that of ctx.
func (b *backoff) wait(ctx context.Context) error {
	b.tries++
	return sleep(ctx, min(leastPause+retry.Delay(b.tries+firstTries, rand.Float64()), mostPause))
}
