package weights

import (
	"maps"
	"slices"
)

// budget returns the number of replicas that may be unavailable at once: half of
// them, or one if there is only one.
func budget(replicas int) int {
	return max(replicas/2, min(replicas, 1))
}

// localBudget returns the part of the budget that the local data centre may
// use. The budget is split among the data centres in proportion to their
// replicas that are behind the desired version. The remainder is assigned one
// by one to the data centres in order of name. A data centre whose share is
// zero waits until others have finished.
func (m *Machine) localBudget(responsive []Replica) int {
	behind := map[string]int{}
	total := 0
	for _, r := range responsive {
		if r.Version < m.desiredVersion {
			behind[r.DataCentre]++
			total++
		}
	}
	if behind[m.cfg.LocalDataCentre] == 0 {
		return 0
	}
	left := budget(len(responsive))
	shares := map[string]int{}
	names := slices.Sorted(maps.Keys(behind))
	fullBudget := left
	for _, dc := range names {
		shares[dc] = min(fullBudget*behind[dc]/total, behind[dc])
		left -= shares[dc]
	}
	for _, dc := range names {
		if left == 0 {
			break
		}
		if shares[dc] < behind[dc] {
			shares[dc]++
			left--
		}
	}
	return shares[m.cfg.LocalDataCentre]
}
