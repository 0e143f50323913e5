package freshness_test

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/freshness"
)

// Reports from a majority make an instance fresh without the store.
func Example() {
	r := freshness.NewReader("a", 2*time.Second)
	_ = r.Install(7, []string{"a", "b", "c"})
	fmt.Println(r.Fresh(time.Second))

	// b replied to an exchange started at 2.5 s and forwarded a report of c.
	reports := []freshness.Report{{Member: "b"}, {Member: "c", Age: 500 * time.Millisecond}}
	r.HandleReply(2500*time.Millisecond, "b", 7, reports)
	fmt.Println(r.Fresh(3*time.Second), r.Fresh(4500*time.Millisecond))
	// Output:
	// false
	// true false
}
