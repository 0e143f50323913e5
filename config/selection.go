package config

import (
	"maps"
	"slices"

	"github.com/cumincove/cumincove/label"
)

// TeamNames returns the sorted names of the teams.
func (s *State) TeamNames() []string { return slices.Sorted(maps.Keys(s.Teams)) }

// ServiceNames returns the sorted names of the services.
func (s *State) ServiceNames() []string { return slices.Sorted(maps.Keys(s.Services)) }

// Select returns the objects whose labels match, sorted by name. An empty kind
// selects objects of all kinds.
func (s *State) Select(kind Kind, sel label.Selector) Objects {
	var o Objects
	if kind == "" || kind == KindTeam {
		o.Teams = selectByLabels(s.Teams, sel, func(t Team) label.Set { return t.Labels })
	}
	if kind == "" || kind == KindKey {
		o.Keys = selectByLabels(s.Keys, sel, func(k Key) label.Set { return k.Labels })
	}
	if kind == "" || kind == KindService {
		o.Services = selectByLabels(s.Services, sel, func(v Service) label.Set { return v.Labels })
	}
	if kind == "" || kind == KindEndpoint {
		o.Endpoints = selectByLabels(s.Endpoints, sel, func(e Endpoint) label.Set { return e.Labels })
	}
	if kind == "" || kind == KindMember {
		o.Members = selectByLabels(s.Members, sel, func(m Member) label.Set { return m.Labels })
	}
	return o
}

func selectByLabels[T any](m map[string]T, sel label.Selector, labels func(T) label.Set) []T {
	var list []T
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if sel.Matches(labels(m[name])) {
			list = append(list, m[name])
		}
	}
	return list
}
