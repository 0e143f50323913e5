package filter

import (
	"net/http"
	"strings"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/outcome"
)

// credentials lists the headers that must not reach an endpoint.
var credentials = []string{"Authorization", "Proxy-Authorization", "Cookie"}

// maxLeavingTime is how long an endpoint may still receive requests after this
// instance has observed that the endpoint is leaving.
const maxLeavingTime = 3 * time.Second

// assertHandOff checks the invariants of an attempt immediately before bytes can
// reach the endpoint. A broken invariant ends the attempt.
func (t *task) assertHandOff(slot *dispatch.Slot, h http.Header) error {
	r := t.r
	atMostOnce := r.Service.Idempotent || t.rec.Outcome() == outcome.NotRun || t.policy().Resume
	ok := invariant.Check(invariant.AtMostOnce, atMostOnce, "request %s: attempt after %v", r.ID, t.rec.Outcome())
	ok = invariant.Check(invariant.KeyNeverLeaves, !containsCredential(r, h), "request %s", r.ID) && ok
	ok = invariant.Check(invariant.OwnTeamOnly, teamMatchesKey(r), "request %s, team %s", r.ID, r.Team) && ok
	leavingFor := slot.LeavingFor()
	ok = invariant.Check(invariant.LeavingGetsNothing, leavingFor < maxLeavingTime, "endpoint %s, leaving for %v", slot.Endpoint.Name, leavingFor) && ok
	if !ok {
		return code.New(code.Internal, "")
	}
	return nil
}

// containsCredential reports whether a header, path or query to be sent contains
// the key that the caller presented.
func containsCredential(r *Request, h http.Header) bool {
	for _, name := range credentials {
		if _, ok := h[name]; ok {
			return true
		}
	}
	presented := bearerKey(r)
	if containsKey(r.Path, presented) || containsKey(r.URL.RawQuery, presented) {
		return true
	}
	for _, values := range h {
		if containsKey(strings.Join(values, " "), presented) {
			return true
		}
	}
	return false
}

// teamMatchesKey reports whether the team of the request is the team of the key
// that the caller presented.
func teamMatchesKey(r *Request) bool {
	if r.Service.Open {
		return r.Team == ""
	}
	k, ok := r.View.KeyByDigest(r.KeyDigest)
	return ok && k.Team == r.Team
}

// assertEffect checks that the effect reported to the caller agrees with the
// record of the request's attempts.
func assertEffect(r *Request, e *code.Error, rec *outcome.Record) {
	reported := e.Info().Effect
	invariant.Check(invariant.NotRunIsTrue, reported != code.NotRun || rec.CertainlyNotRun(),
		"request %s: reports %s, record %v", r.ID, reported, rec.Outcome())
}
