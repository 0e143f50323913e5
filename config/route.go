package config

import "strings"

// RouteFor returns the route of a request: of those of its host, the one with
// the longest path that begins the request's.
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

// Pick returns the service for a number drawn uniformly from [0, 1), by the
// targets' weights. It returns "" if there is none.
func (r Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		at -= float64(max(t.Weight, 0))
		if at < 0 {
			return t.Service
		}
	}
	return ""
}
