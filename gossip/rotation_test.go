package gossip

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestUnresponsivePeerTakesNoOthersTurns checks that an instance that does not respond
// and is not down yet doesn't keep a Node from exchanges with the others: freshness
// depends on them.
func TestUnresponsivePeerTakesNoOthersTurns(t *testing.T) {
	const maxRounds = 6
	for name, prepare := range map[string]func(*Node){
		"any peer":   func(*Node) {},
		"neighbours": func(n *Node) { n.SetNeighbours([]string{"b", "dead"}) },
		"members": func(n *Node) {
			n.Prefer([]string{"a", "b", "dead"})
			n.SetNeighbours([]string{"b", "dead"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := NewNode(Record{Name: "a", Incarnation: 1}, Options{SuspectTimeout: time.Hour}, rand.New(rand.NewPCG(1, 1)))
			n.Seed(0, []Seed{{Name: "b"}, {Name: "dead"}})
			prepare(n)
			rounds, longest := 0, 0
			for now := time.Duration(0); now < 10_000*DefaultPeriod; now += DefaultPeriod / 4 {
				for _, p := range n.Tick(now) {
					rounds++
					if p.Name == "b" {
						longest, rounds = max(longest, rounds), 0
					}
				}
			}
			if longest == 0 || longest > maxRounds {
				t.Errorf("an exchange with the instance that responds came only in round %d, want one within %d", longest, maxRounds)
			}
		})
	}
}
