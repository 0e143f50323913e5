package window_test

import (
	"fmt"

	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/window"
)

// Usage that is written after its window was closed is counted in the next window
// and marked late.
func Example() {
	t := window.NewTally(60)
	t.Add("pressing", window.Usage{Requests: 1, Tokens: 100})

	t.Flush(60)
	fmt.Println(t.Next().(window.Upsert).Totals)
	t.Step(window.Upserted{Outcome: effect.Conflict}) // window 60 was closed

	t.Next() // ReadPart
	t.Step(window.PartRead{Closed: window.Closed{UpTo: 120}, ClosedVersion: 1})

	up := t.Next().(window.Upsert)
	fmt.Println(up.Window, up.Totals)
	// Output:
	// map[pressing:{1 100 0}]
	// 120 map[pressing:{1 100 100}]
}
