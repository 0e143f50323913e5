package dispatch

import (
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/view"
)

// maxSelections bounds the selections that an index caches, because callers can
// request any number of different ones.
const maxSelections = 64

// Requirements holds the requirements that an endpoint's report must meet for the endpoint
// to get the work. Every endpoint meets the zero value.
type Requirements struct {
	// WeightVersion is the required weight version; zero means any.
	WeightVersion uint64
	// Role is the required role; empty means any.
	Role string
}

// matches reports whether the endpoint's last report meets w. An endpoint that is
// loading weights meets no required version, because its version is about to
// change.
func (w Requirements) matches(e *view.Endpoint) bool {
	version := w.WeightVersion == 0 || w.WeightVersion == e.Load.WeightVersion && !e.Load.Loading
	return version && (w.Role == "" || w.Role == e.Load.Role)
}

// matching returns the part of the index that meets the requirements w. Up to
// maxSelections results are cached for each snapshot.
func (i *index) matching(w Requirements) *index {
	if w == (Requirements{}) {
		return i
	}
	if part, ok := i.selected.Load(w); ok {
		return part.(*index)
	}
	part := &index{view: i.view, affinity: i.affinity, local: filterMatching(w, i.local), remote: filterMatching(w, i.remote)}
	part.indexPositions()
	if part.count() > 0 && i.selections.Add(1) <= maxSelections {
		i.selected.Store(w, part)
	}
	return part
}

func filterMatching(w Requirements, list []*view.Endpoint) (matching []*view.Endpoint) {
	for _, e := range list {
		if w.matches(e) {
			matching = append(matching, e)
		}
	}
	return matching
}

// noMatch returns the error for requirements that no endpoint meets. It does not
// repeat the role, which may be any text from the caller.
func noMatch(w Work) error {
	return code.New(code.NoMatchingEndpoint, "service %q", w.Service)
}

// StillMatches reports whether the endpoint's report still meets the work's requirements.
func (s *Slot) StillMatches() bool {
	if s.work.Requirements == (Requirements{}) {
		return true
	}
	e, ok := s.s.d.opt.Views.Load().EndpointByName(s.Endpoint.Name)
	return ok && s.work.Requirements.matches(e)
}
