package configuration

import "github.com/cumincove/cumincove/config"

// recentChanges bounds the changes kept for peers that are a few versions
// behind.
const recentChanges = 64

// recent buffers the newest changes. Their versions are consecutive.
type recent struct {
	changes []config.Change
}

// add appends a change. A change that is already buffered is ignored. If there
// is a gap in the versions, the changes before the gap are dropped.
func (r *recent) add(c config.Change) {
	if n := len(r.changes); n > 0 {
		last := r.changes[n-1].Version
		if c.Version <= last {
			return
		}
		if c.Version > last+1 {
			r.changes = nil
		}
	}
	r.changes = append(r.changes, c)
	if extra := len(r.changes) - recentChanges; extra > 0 {
		r.changes = r.changes[extra:]
	}
}

// between returns the changes that lead from one version to another. It returns
// false unless all of them are buffered.
func (r *recent) between(from, to uint64) ([]config.Change, bool) {
	if len(r.changes) == 0 || r.changes[0].Version > from+1 {
		return nil, false
	}
	first := r.changes[0].Version
	if last := first + uint64(len(r.changes)) - 1; last < to || from >= to {
		return nil, false
	}
	return r.changes[from+1-first : to+1-first], true
}
