package filter

import (
	"net/http"
	"slices"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
)

// Authorise refuses requests of teams that may not call the service.
type Authorise struct{}

// ServeHTTP returns code.TeamNotAllowed, or calls next.
func (Authorise) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if !MayCall(r.Service, r.Team) {
		return code.New(code.TeamNotAllowed, "team %q, service %q", r.Team, r.Service.Name)
	}
	return next.ServeHTTP(w, r)
}

// MayCall reports whether a team may call a service. Every team may call an open
// service and a service without a list of teams.
func MayCall(s config.Service, team string) bool {
	if s.Open || len(s.Teams) == 0 {
		return true
	}
	return slices.Contains(s.Teams, team)
}
