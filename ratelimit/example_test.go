package ratelimit_test

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/ratelimit"
)

func ExampleNode() {
	const self, endpoint = "instance-a", "endpoint-1"
	n := ratelimit.NewNode(self, func(int) int { return 0 })
	for at := time.Duration(0); at <= 5*time.Second; at += time.Second {
		n.SetMembers(at, []string{self})
	}
	now := 5 * time.Second
	n.HandleAnswer(now, ratelimit.Answer{Endpoint: endpoint, Incarnation: 1, Values: []string{"2"}, HandedOff: now})

	n.Request(now, 10, []string{endpoint})
	for _, asks := range n.Asks(now) {
		for _, a := range asks { // sent to the coordinator, which is this instance itself
			n.HandleGrant(now, now, a, n.HandleAsk(now, a))
		}
	}
	for _, at := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		_, ok := n.Take(now+at, endpoint)
		fmt.Println(at, ok)
	}
	fmt.Println("further permits in", n.Wait(now, []string{endpoint}))
	// Output:
	// 0s true
	// 500ms true
	// 1s true
	// further permits in 500ms
}
