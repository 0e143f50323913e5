package eligible

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fleet returns the instances of a data centre with some large and some small
// ones.
func fleet(dataCentre string, large, small int) []Instance {
	var list []Instance
	for i := range large + small {
		in := Instance{Name: fmt.Sprintf("%s-%03d", dataCentre, i), DataCentre: dataCentre, Size: 0.2}
		if i < large {
			in.Size = 0.8
		}
		list = append(list, in)
	}
	return list
}

// TestLargeInstancesGetTheWork checks that the large instances of a fleet are
// chosen, and small ones only where there are few large ones or these are busy.
func TestLargeInstancesGetTheWork(t *testing.T) {
	busyFleet := fleet("a", 9, 30)
	for i := range busyFleet[:9] {
		busyFleet[i].InFlight = 90
	}
	for name, c := range map[string]struct {
		list []Instance
		want int
	}{
		"two data centres":                      {append(fleet("a", 9, 30), fleet("b", 8, 27)...), 17},
		"few large instances":                   {fleet("a", 2, 30), 32},
		"a data centre without large instances": {append(fleet("a", 9, 30), fleet("b", 0, 27)...), 36},
		"all of the same size":                  {fleet("a", 0, 30), 30},
		"busy large instances":                  {busyFleet, 39},
		"nobody":                                {nil, 0},
	} {
		if got := Choose(c.list); len(got) != c.want {
			t.Errorf("%s: %d instances chosen, want %d", name, len(got), c.want)
		}
	}
}

// TestChooseInvariants checks the invariants of Choose for random instances: it
// chooses at least the minimum number in each data centre, no instance twice,
// and every instance that is at least as large as a chosen one of the same data
// centre.
func TestChooseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Instance {
			return Instance{
				DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"),
				Size:       rapid.SampledFrom([]float64{0, 0.1, 0.2, 0.8, 4}).Draw(t, "size"),
				InFlight:   rapid.IntRange(0, 200).Draw(t, "in flight"),
			}
		}), 0, 20).Draw(t, "list")
		all, chosen := map[string]int{}, map[string]int{}
		for i := range list {
			list[i].Name = fmt.Sprintf("%02d", i)
			all[list[i].DataCentre]++
		}
		smallest, in := map[string]float64{}, map[string]bool{}
		for _, c := range Choose(list) {
			if in[c.Name] {
				t.Fatalf("instance %s is chosen twice", c.Name)
			}
			in[c.Name] = true
			if n := chosen[c.DataCentre]; n == 0 || c.size() < smallest[c.DataCentre] {
				smallest[c.DataCentre] = c.size()
			}
			chosen[c.DataCentre]++
		}
		for dc, n := range all {
			if chosen[dc] < min(n, minInstances) {
				t.Fatalf("%d of %d instances chosen in data centre %s", chosen[dc], n, dc)
			}
		}
		for _, c := range list {
			if !in[c.Name] && c.size() >= smallest[c.DataCentre] {
				t.Fatalf("%v is not chosen, but one that is not larger is", c)
			}
		}
	})
}
