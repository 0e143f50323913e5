package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

// scoreTime bounds one call to a scoring service.
const scoreTime = 5 * time.Second

// scorer calls scoring services over their routes, as callers do.
type scorer struct {
	views *view.Store
	clock clock.Clock
	log   *slog.Logger
	chain filter.Handler
	// stampHeader names the response header from which the score is read.
	stampHeader string
}

// stepPriority returns the priority of the step that a call belongs to. If its route
// does not exist any more, that is the priority of its team or else the highest.
func stepPriority(v *view.View, s steps.ScoreCall) int {
	for _, r := range v.Config.Routes {
		if r.Name == s.Route {
			return v.Config.Priority(r, s.Team)
		}
	}
	return v.Config.Priority(config.Route{}, s.Team)
}

// scoreResponse stores the status and header of a scoring service's response. It
// discards the body, which has no meaning.
type scoreResponse struct {
	header http.Header
	status int
}

func (r *scoreResponse) Header() http.Header         { return r.header }
func (r *scoreResponse) WriteHeader(status int)      { r.status = status }
func (r *scoreResponse) Write(p []byte) (int, error) { return len(p), nil }

// score makes one call. If the response has a status of success, it returns the
// value of the stamp header.
func (sc scorer) score(ctx context.Context, s steps.ScoreCall) (string, durable.ScoreEnd) {
	ctx, cancel := context.WithTimeout(ctx, scoreTime)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Host+s.Path, nil)
	if err != nil {
		sc.log.Warn("scoring call is malformed", "call", s.ID, "error", err)
		return "", durable.ScoreFailed
	}
	now := sc.clock.Now()
	v := sc.views.Load()
	r := &filter.Request{
		Request: hr, ID: s.ID, View: v, Body: bytes.Clone(s.Body),
		Arrived: now, Deadline: now + scoreTime, Log: sc.log,
		Step: &filter.StepRank{Priority: stepPriority(v, s), Due: s.Due},
	}
	w := &scoreResponse{header: http.Header{}}
	err = sc.chain.ServeHTTP(w, r)
	switch {
	case err != nil:
		sc.log.Info("scoring call failed", "call", s.ID, "error", err)
		return "", durable.ScoreUnavailable
	case w.status >= 200 && w.status < 300:
		return w.header.Get(sc.stampHeader), durable.ScoreDone
	case w.status == http.StatusInternalServerError:
		return "", durable.ScoreFailed
	}
	return "", durable.ScoreUnavailable
}
