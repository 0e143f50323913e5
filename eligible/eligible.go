// Package eligible chooses the eligible instances of a fleet with different
// sizes: the ones that are assigned work that any instance could do, such as
// callers, rollout steps and duties. It chooses the largest instances of each
// data centre, because a small one takes several times as long for the same
// work. It also chooses smaller instances if there are only a few larger ones
// or if these are busy.
//
// The choice is a pure function of the states that the instances report, so that
// all processes with the same reports make the same choice.
package eligible

import (
	"cmp"
	"slices"
)

const (
	// minInstances is the minimum number of instances chosen in a data centre.
	// If a data centre has fewer instances, all are chosen.
	minInstances = 3
	// minGroupSizeRatio is the minimum size of the instances that are chosen as
	// one group, as a fraction of the size of the largest instance in the
	// group.
	minGroupSizeRatio = 0.5
	// busyInFlight is the number of requests in flight per processor above
	// which the chosen instances are considered busy.
	busyInFlight = 100
)

// Instance is the state of an instance that Choose depends on.
type Instance struct {
	Name       string
	DataCentre string
	// Size is the number of processors that the instance has, which may be a
	// fraction. Zero means that it is not reported, and counts as one.
	Size float64
	// InFlight is the last reported number of requests in flight.
	InFlight int
}

func (in Instance) size() float64 {
	if in.Size <= 0 {
		return 1
	}
	return in.Size
}

// Choose returns the eligible instances of all data centres, sorted by name.
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

// largest returns the eligible instances of one data centre. It adds groups of
// instances of similar size, largest first, until there are enough of them and
// they are not busy.
func largest(list []Instance) []Instance {
	slices.SortFunc(list, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.size(), a.size()), cmp.Compare(a.Name, b.Name))
	})
	n, inFlight, size := 0, 0, 0.0
	for n < len(list) && (n < minInstances || float64(inFlight) > busyInFlight*size) {
		for floor := minGroupSizeRatio * list[n].size(); n < len(list) && list[n].size() >= floor; n++ {
			inFlight += list[n].InFlight
			size += list[n].size()
		}
	}
	return list[:n]
}
