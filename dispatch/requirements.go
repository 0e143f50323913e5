package dispatch

import (
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/view"
)

// maxSelections bounds the selections that an index caches, because callers can
// request any number of different ones.
const maxSelections = 64

// Requirements holds the requirements that an endpoint's report must meet for the
// endpoint to get the work. Every endpoint meets the zero value.
type Requirements struct {
	// WeightVersion is the required weight version; zero means any.
	WeightVersion uint64
	// Role is the required role; empty means any.
	Role string
}

// matches reports whether the endpoint's last report meets r. An endpoint that is
// loading weights meets no required version, because its version is about to
// change.
func (r Requirements) matches(e *view.Endpoint) bool {
	versionMatches := r.WeightVersion == 0 || r.WeightVersion == e.Load.WeightVersion && !e.Load.Loading
	return versionMatches && (r.Role == "" || r.Role == e.Load.Role)
}

// matching returns the part of the index that meets the requirements r. Up to
// maxSelections results are cached for each snapshot.
func (i *index) matching(r Requirements) *index {
	if r == (Requirements{}) {
		return i
	}
	if part, ok := i.selected.Load(r); ok {
		return part.(*index)
	}
	part := &index{view: i.view, affinity: i.affinity, local: filterMatching(r, i.local), remote: filterMatching(r, i.remote)}
	part.indexPositions()
	if part.count() > 0 && i.selections.Add(1) <= maxSelections {
		i.selected.Store(r, part)
	}
	return part
}

func filterMatching(r Requirements, list []*view.Endpoint) (matching []*view.Endpoint) {
	for _, e := range list {
		if r.matches(e) {
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

// StillMatches reports whether the endpoint's report still meets the work's
// requirements.
func (s *Slot) StillMatches() bool {
	if s.work.Requirements == (Requirements{}) {
		return true
	}
	e, ok := s.s.d.opt.Views.Load().EndpointByName(s.Endpoint.Name)
	return ok && s.work.Requirements.matches(e)
}
