package freshness

import (
	"errors"
	"slices"
)

var (
	// ErrListPending is returned when the previous change of the member list
	// is not in force everywhere yet.
	ErrListPending = errors.New("freshness: the last change of the member list is not in force yet")
	// ErrListChangeTooLarge is returned when a change of the member list adds or
	// removes more than one member, or removes the last one.
	ErrListChangeTooLarge = errors.New("freshness: the member list may change by one member at a time and not become empty")
)

// CheckListChange checks whether the member list may change from before to
// after. An empty list may change to any list, because no instance depends on
// it. changedAt is the version that changed the list last, and inForce is the
// version in force everywhere.
func CheckListChange(before, after []string, changedAt, inForce uint64) error {
	step := difference(before, after) + difference(after, before)
	if step == 0 || len(before) == 0 {
		return nil
	}
	if step > 1 || len(after) == 0 {
		return ErrListChangeTooLarge
	}
	if changedAt > inForce {
		return ErrListPending
	}
	return nil
}

// difference returns the number of members of a that are not in b.
func difference(a, b []string) int {
	n := 0
	for _, m := range a {
		if !slices.Contains(b, m) {
			n++
		}
	}
	return n
}
