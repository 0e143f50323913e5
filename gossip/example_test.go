package gossip_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/cumincove/cumincove/gossip"
)

// Two nodes receive each other's records in one exchange.
func Example() {
	rnd := rand.New(rand.NewPCG(1, 1))
	a := gossip.NewNode(gossip.Record{Name: "a", Incarnation: 1, Addr: "10.0.0.1:7000"}, gossip.Options{}, rnd)
	b := gossip.NewNode(gossip.Record{Name: "b", Incarnation: 1, Addr: "10.0.0.2:7000"}, gossip.Options{}, rnd)
	b.SetState([]byte("ready"))

	a.Seed(0, []gossip.Seed{{Name: "b", Addr: "10.0.0.2:7000"}})
	for _, peer := range a.Tick(0) {
		reply := b.HandleRequest(0, a.Request(peer.Name))
		a.HandleReply(0, reply)
	}
	for _, m := range a.Members() {
		fmt.Printf("%s %s %q\n", m.Name, m.Status, m.State)
	}
	// Output:
	// a alive ""
	// b alive "ready"
}
