package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

type list []Candidate

func (l list) Len() int           { return len(l) }
func (l list) At(i int) Candidate { return l[i] }

func TestChooseAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := list(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{
				Usable:   rapid.Bool().Draw(t, "usable"),
				Load:     float64(rapid.IntRange(0, 9).Draw(t, "load")),
				InFlight: rapid.IntRange(0, 3).Draw(t, "in flight"),
				Limit:    rapid.IntRange(1, 3).Draw(t, "limit"),
			}
		}), 0, 12).Draw(t, "list"))
		seed := rapid.Uint64().Draw(t, "seed")
		i := Choose(l, rand.New(rand.NewPCG(seed, 0)).IntN)
		hasRoom := false
		for _, c := range l {
			hasRoom = hasRoom || c.Usable && c.InFlight < c.Limit
		}
		if (i >= 0) != hasRoom {
			t.Fatalf("Choose returned %d, but whether an endpoint has room is %v", i, hasRoom)
		}
		if i >= 0 && (!l[i].Usable || l[i].InFlight >= l[i].Limit) {
			t.Fatal("Choose returned an endpoint without room")
		}
	})
}

func TestNeverAllEjected(t *testing.T) {
	for total := range 100 {
		ejected := 0
		for MayEject(ejected, total) {
			ejected++
		}
		if ejected > total/2 || total > 0 && ejected == total {
			t.Fatalf("MayEject allows %d of %d endpoints to be ejected", ejected, total)
		}
	}
}

func ExampleHealth() {
	var h Health
	fmt.Println(h.Failed(0), h.Failed(0), h.Failed(0))
	until := h.Eject(0)
	fmt.Println(until, h.Ejected(until-1), h.Ejected(until))
	// Output:
	// false false true
	// 2s true false
}
