package ledger_test

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/ledger"
)

// A step of one group with two samples. They are generated, stored, pulled, and
// pulled again after the response was lost.
func Example() {
	l := ledger.New(ledger.Config{
		Groups: 1, GroupSize: 2, MaxStaleness: 1, MaxGroups: 1,
		BatchSamples: 2, Linger: time.Second, Grace: time.Minute,
	})
	l.SetNewestVersion(7)
	for i := range 2 {
		slot := ledger.Slot{Group: 0, Index: i}
		if err := l.Reserve(slot.Group); err != nil {
			fmt.Println(err)
		}
		attempt, _ := l.PendingAttempt(slot)
		err := l.Fill(0, ledger.Sample{
			Slot: slot, Attempt: attempt, Tokens: []int32{1, 2},
			Spans: []ledger.Span{{From: 0, To: 2, Version: 7}},
		})
		fmt.Println("fill:", err)
	}

	b := l.Batch(0)
	fmt.Println("write", len(b.Samples), "samples")
	l.BatchStored(0, b.Seq)

	var cur ledger.Cursor
	d, _ := l.Pull(0, cur, 8)
	again, _ := l.Pull(0, cur, 8)
	fmt.Println(len(d.Samples), len(again.Samples), d.Next)

	rest, _ := l.Pull(0, d.Next, 8)
	fmt.Println(len(rest.Samples), l.Complete())
	// Output:
	// fill: <nil>
	// fill: <nil>
	// write 2 samples
	// 2 2 AQ
	// 0 true
}
