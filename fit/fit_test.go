package fit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fleet is a data centre with some large and some small instances.
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

// TestLargeInstancesGetTheWork: of hundreds of unequal instances the large ones are
// chosen; small ones where those are few or busy.
func TestLargeInstancesGetTheWork(t *testing.T) {
	crowded := fleet("a", 9, 30)
	for i := range crowded[:9] {
		crowded[i].InFlight = 90
	}
	for name, c := range map[string]struct {
		list []Instance
		want int
	}{
		"two data centres":           {append(fleet("a", 9, 30), fleet("b", 8, 27)...), 17},
		"few large ones":             {fleet("a", 2, 30), 32},
		"a data centre without any":  {append(fleet("a", 9, 30), fleet("b", 0, 27)...), 36},
		"all alike":                  {fleet("a", 0, 30), 30},
		"the large ones are crowded": {crowded, 39},
		"nobody":                     {nil, 0},
	} {
		if got := Choose(c.list); len(got) != c.want {
			t.Errorf("%s: %d chosen, want %d", name, len(got), c.want)
		}
	}
}

// TestChooseKeepsItsPromises: whatever the instances, each data centre is there,
// with as many as are asked for, and nobody larger than one that is chosen is left
// out.
func TestChooseKeepsItsPromises(t *testing.T) {
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
				t.Fatalf("%s is chosen twice", c.Name)
			}
			in[c.Name] = true
			if n := chosen[c.DataCentre]; n == 0 || c.size() < smallest[c.DataCentre] {
				smallest[c.DataCentre] = c.size()
			}
			chosen[c.DataCentre]++
		}
		for dc, n := range all {
			if chosen[dc] < min(n, least) {
				t.Fatalf("%d of %d chosen in %s", chosen[dc], n, dc)
			}
		}
		for _, c := range list {
			if !in[c.Name] && c.size() >= smallest[c.DataCentre] {
				t.Fatalf("%v is left out, and a smaller one is not", c)
			}
		}
	})
}
