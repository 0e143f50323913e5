package config

import "strings"

// RouteFor returns the route for a request: the route of the host whose path is
// the longest prefix of the request's path.
func (s *State) RouteFor(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range s.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.Path) {
			continue
		}
		if !found || len(r.Path) > len(best.Path) {
			best, found = r, true
		}
	}
	return best, found
}

// RouteNamed returns the route of a host with the given name.
func (s *State) RouteNamed(host, name string) (Route, bool) {
	for _, r := range s.Routes {
		if r.Host == host && r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Services returns the services that the route leads to.
func (r Route) Services() []string {
	var names []string
	for _, t := range r.Targets {
		if t.Weight > 0 {
			names = append(names, t.Service)
		}
	}
	return names
}

// PickService returns the service that a draw selects. If draw is a random number
// uniformly distributed in [0, 1), each target is chosen with a probability
// proportional to its weight. PickService returns "" if no target has a positive
// weight.
func (r Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(max(t.Weight, 0))
		if remaining < 0 {
			return t.Service
		}
	}
	return ""
}

// Priority returns the priority of a team's requests on a route: that of the team or,
// without one, that of the route. 0 is the highest.
func (s *State) Priority(r Route, team string) int {
	if p := s.Teams[team].Priority; p != nil {
		return *p
	}
	return r.Priority
}
