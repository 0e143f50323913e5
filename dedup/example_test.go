package dedup_test

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/effect"
)

// A request claims its row. The response to the write is lost, and a read shows
// that the row was written by this claim.
func Example() {
	newest := dedup.Generation{Number: 1, Retention: dedup.Retention{Keep: time.Minute}}
	row := dedup.Row{State: dedup.Claimed, Nonce: "n1", Owner: "instance-1"}
	c := dedup.NewClaim(row, newest)
	now := time.Duration(0)
	for {
		switch next := c.Next(now).(type) {
		case dedup.Write:
			fmt.Println("write, answer lost")
			c.Step(dedup.WriteResult{Outcome: effect.Unknown})
		case dedup.Read:
			fmt.Println("read")
			c.Step(dedup.ReadResult{Newest: newest, Current: dedup.Versioned{Row: row, Version: 1}})
		case dedup.Decision:
			fmt.Println("won:", next.Verdict == dedup.Acquired)
			return
		}
	}
	// Output:
	// write, answer lost
	// read
	// won: true
}
