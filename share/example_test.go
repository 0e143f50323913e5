package share_test

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/share"
)

// Three steps share 20 streams. The first one is large, and the last one is near
// its deadline.
func Example() {
	needs := []share.Need{
		{Samples: 800, Tokens: 500, Remaining: 10 * time.Minute},
		{Samples: 100, Tokens: 500, Remaining: 10 * time.Minute},
		{Samples: 100, Tokens: 500, Remaining: 2 * time.Minute},
	}
	fmt.Println(share.Divide(20, needs))
	// Output: [12 1 7]
}
