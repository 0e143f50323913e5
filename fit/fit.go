// Package fit tells which instances of a fleet of unequal ones are given work that
// any of them could do: callers, rollout steps and duties. The largest of each data
// centre come first, since a small one takes several times as long for the same
// work; smaller ones are used too while the larger ones are few or busy.
//
// It is a pure function of what the instances say of themselves, so that all who
// see the same instances choose alike.
package fit

import (
	"cmp"
	"slices"
)

const (
	// least is how many instances of a data centre are chosen at least, if it has
	// as many.
	least = 3
	// alike is the part of the largest one's size that instances chosen together
	// with it have at least.
	alike = 0.5
	// busy is the number of requests in flight for each processor from which the
	// chosen ones count as busy.
	busy = 100
)

// Instance is an instance as Choose sees it.
type Instance struct {
	Name       string
	DataCentre string
	// Size is the part of a processor that it has; above one are several. One that
	// does not say (zero) counts as a whole one.
	Size float64
	// InFlight is its last word on its requests in flight.
	InFlight int
}

func (in Instance) size() float64 {
	if in.Size <= 0 {
		return 1
	}
	return in.Size
}

// Choose returns the instances of each data centre that are given work, in order of
// name.
func Choose(list []Instance) []Instance {
	byDataCentre := map[string][]Instance{}
	for _, in := range list {
		byDataCentre[in.DataCentre] = append(byDataCentre[in.DataCentre], in)
	}
	var chosen []Instance
	for _, in := range byDataCentre {
		chosen = append(chosen, largest(in)...)
	}
	slices.SortFunc(chosen, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// largest chooses among the instances of one data centre.
func largest(list []Instance) []Instance {
	slices.SortFunc(list, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.size(), a.size()), cmp.Compare(a.Name, b.Name))
	})
	n, inFlight, size := 0, 0, 0.0
	for n < len(list) && (n < least || float64(inFlight) > busy*size) {
		for floor := alike * list[n].size(); n < len(list) && list[n].size() >= floor; n++ {
			inFlight += list[n].InFlight
			size += list[n].size()
		}
	}
	return list[:n]
}
