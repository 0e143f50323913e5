package lease_test

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/lease"
)

// A process that finds no row acquires the lease. Its term is counted from the
// time at which the write was requested, not from the write's response.
func Example() {
	m := lease.New(lease.Config{Holder: "a", Incarnation: 1, Duration: 5 * time.Second})
	m.SetCandidate(true, "")

	now := 10 * time.Second
	fmt.Printf("%T\n", m.Tick(now)[0])
	m.Step(now, lease.ReadDone{}) // no row

	w := m.Tick(now)[0].(lease.Write)
	fmt.Println("write epoch", w.Row.Epoch, "if version", w.IfVersion)

	now += 2 * time.Second // the response is delayed
	m.Step(now, lease.WriteDone{Outcome: effect.Done})
	fmt.Println("valid until", m.Term().Until)
	// Output:
	// lease.Read
	// write epoch 1 if version 0
	// valid until 15s
}
