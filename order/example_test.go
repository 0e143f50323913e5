package order_test

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/order"
)

// An order whose response was lost is resolved by an observation.
func Example() {
	pool := order.Set{Service: "tags", Tier: "cheap"}
	m := order.New(order.Config{DataCentre: "dc1", Retry: time.Second, Settle: time.Minute})
	m.SetDesired(map[order.Set]int{pool: 3})
	m.Begin(7)

	now := time.Second
	m.Tick(now) // Load
	m.Step(now, order.Loaded{})
	w := m.Tick(now)[0].(order.Write)
	fmt.Println("write", w.Intent.ID, w.Intent.Count)
	m.Step(now, order.WriteDone{Outcome: effect.Done})
	fmt.Printf("%T\n", m.Tick(now)[0])
	m.Step(now, order.SendDone{Outcome: effect.Unknown})

	now += time.Second / 2
	m.Step(now, order.Observed{Started: now, Counts: map[order.Set]int{pool: 3}})
	w = m.Tick(now)[0].(order.Write)
	fmt.Println("done", w.Intent.ID, w.Intent.Done)
	// Output:
	// write dc1/tags/cheap/1 3
	// order.Send
	// done dc1/tags/cheap/1 true
}
