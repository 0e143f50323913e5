package config

import (
	"maps"
	"slices"
)

// State is the complete configuration at one version. A State returned by Apply
// must not be modified.
type State struct {
	Version   uint64              `json:"version"`
	Teams     map[string]Team     `json:"teams"`
	Keys      map[string]Key      `json:"keys"`
	Services  map[string]Service  `json:"services"`
	Endpoints map[string]Endpoint `json:"endpoints"`
	Members   map[string]Member   `json:"members"`
	// Routes assigns requests to services by host and path, on platforms whose
	// operators define routes.
	Routes []Route `json:"routes,omitempty"`
	// Limits bounds the requests of callers on such platforms.
	Limits RequestLimits `json:"limits,omitzero"`
	// MembersChangedAt is the version that last changed the set of members.
	MembersChangedAt uint64 `json:"members_changed_at"`
}

// Objects is a set of objects of all kinds: a deployment written by operators,
// or the new values in a Change.
type Objects struct {
	Teams     []Team     `json:"teams,omitempty"`
	Keys      []Key      `json:"keys,omitempty"`
	Services  []Service  `json:"services,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	Members   []Member   `json:"members,omitempty"`
}

// Ref identifies an object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Change transforms the State of version Version-1 into the State of Version.
type Change struct {
	Version uint64  `json:"version"`
	Put     Objects `json:"put"`
	Delete  []Ref   `json:"delete,omitempty"`
}

// NewState returns the empty State of version zero.
func NewState() *State {
	return &State{
		Teams:     map[string]Team{},
		Keys:      map[string]Key{},
		Services:  map[string]Service{},
		Endpoints: map[string]Endpoint{},
		Members:   map[string]Member{},
	}
}

// Clone returns a copy that shares no map with s.
func (s *State) Clone() *State {
	return &State{
		Version:   s.Version,
		Teams:     maps.Clone(s.Teams),
		Keys:      maps.Clone(s.Keys),
		Services:  maps.Clone(s.Services),
		Endpoints: maps.Clone(s.Endpoints),
		Members:   maps.Clone(s.Members),
		Routes:    s.Routes,
		Limits:    s.Limits,

		MembersChangedAt: s.MembersChangedAt,
	}
}

// MemberNames returns the sorted names in the member list.
func (s *State) MemberNames() []string {
	return slices.Sorted(maps.Keys(s.Members))
}

// Apply returns the State after c. It returns ErrVersionGap if c does not
// directly follow s, and a *ValidationError if the result would be invalid. It
// does not modify s.
func (s *State) Apply(c Change) (*State, error) {
	if c.Version != s.Version+1 {
		return nil, ErrVersionGap
	}
	next := s.Clone()
	next.Version = c.Version
	next.delete(c.Delete)
	next.put(c.Put)
	if !slices.Equal(s.MemberNames(), next.MemberNames()) {
		next.MembersChangedAt = c.Version
	}
	if err := next.validate(); err != nil {
		return nil, err
	}
	return next, nil
}

func (s *State) put(o Objects) {
	for _, t := range o.Teams {
		s.Teams[t.Name] = t
	}
	for _, k := range o.Keys {
		s.putKey(k)
	}
	for _, v := range o.Services {
		s.Services[v.Name] = v
	}
	for _, e := range o.Endpoints {
		s.Endpoints[e.Name] = e
	}
	for _, m := range o.Members {
		s.Members[m.Name] = m
	}
}

// putKey stores a key. A key that was withdrawn stays withdrawn.
func (s *State) putKey(k Key) {
	old, ok := s.Keys[k.Name]
	if ok && old.Withdrawn && old.Digest == k.Digest {
		k.Withdrawn = true
	}
	s.Keys[k.Name] = k
}

func (s *State) delete(refs []Ref) {
	for _, r := range refs {
		switch r.Kind {
		case KindTeam:
			delete(s.Teams, r.Name)
		case KindKey:
			delete(s.Keys, r.Name)
		case KindService:
			delete(s.Services, r.Name)
		case KindEndpoint:
			delete(s.Endpoints, r.Name)
		case KindMember:
			delete(s.Members, r.Name)
		}
	}
}
