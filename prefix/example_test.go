package prefix_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/cumincove/cumincove/prefix"
)

// Two prompts have a common prefix, so the second one is best sent to the
// endpoint that got the first. A batch of events that follows a gap then
// invalidates all holders of the endpoint.
func Example() {
	table := prefix.NewTable(prefix.DefaultEntries, prefix.DefaultLifetime)
	a := &prefix.Endpoint{Name: "a"}
	system := strings.Repeat("You are a helpful assistant. ", 40)

	table.Sent(time.Second, a, prefix.Hashes("chat", system+"What is a lease?"))
	question := prefix.Hashes("chat", system+strings.Repeat("What is a quorum? ", 40))
	matches := table.Lookup(2*time.Second, question)
	for _, m := range matches.All() {
		fmt.Println(m.Endpoint.Name, m.Blocks, "of", len(question), "blocks")
	}

	table.Apply(3*time.Second, a, prefix.Batch{First: 7})
	matches = table.Lookup(4*time.Second, question)
	fmt.Println(len(matches.All()))
	// Output:
	// a 4 of 7 blocks
	// 0
}
