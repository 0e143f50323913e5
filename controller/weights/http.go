package weights

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/infra"
)

// PublishRequest is the body of POST /v1/services/{service}/weights.
type PublishRequest struct {
	// Version must be higher than every one published before.
	Version uint64 `json:"version"`
}

// PublishResponse is the response body. It contains the desired version.
type PublishResponse struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// ServePublish handles POST /v1/services/{service}/weights. The body filter must
// have run before.
func (t Targets) ServePublish(w http.ResponseWriter, r *filter.Request) error {
	service := r.PathValue("service")
	var m PublishRequest
	if err := json.Unmarshal(r.Body, &m); err != nil || m.Version == 0 {
		return code.New(code.BadRequest, `want {"version": N} with N from 1`)
	}
	s, ok := r.View.Config.Services[service]
	if !ok || s.Type != config.ServiceEngine {
		return code.New(code.NoSuchRoute, "no engine service %q", service)
	}
	if len(s.Teams) > 0 && !slices.Contains(s.Teams, r.Team) {
		return code.New(code.TeamNotAllowed, "service %q", service)
	}
	err := t.Publish(r.Context(), service, r.Team, m.Version)
	switch {
	case errors.Is(err, ErrOldVersion):
		return code.Wrap(code.VersionConflict, err, "")
	case errors.Is(err, infra.ErrUnknownOutcome):
		return code.Wrap(code.CommitUnknown, err, "")
	case err != nil:
		return code.Wrap(code.StoreDown, err, "")
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(PublishResponse{Service: service, Version: m.Version})
}
