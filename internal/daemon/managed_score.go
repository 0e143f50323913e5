package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

// scoreTime bounds one call of a scoring service.
const scoreTime = 5 * time.Second

// scorer calls scoring services by their routes, as callers' requests go.
type scorer struct {
	views *view.Store
	clock clock.Clock
	log   *slog.Logger
	chain filter.Handler
	// stamp is the header that an answer's score is read from.
	stamp string
}

// scoreAnswer keeps the status and header of a scoring service's answer; its
// body tells nothing.
type scoreAnswer struct {
	header http.Header
	status int
}

func (a *scoreAnswer) Header() http.Header         { return a.header }
func (a *scoreAnswer) WriteHeader(status int)      { a.status = status }
func (a *scoreAnswer) Write(p []byte) (int, error) { return len(p), nil }

// score makes one call, and returns the stamp of an answer that tells of success.
func (sc scorer) score(ctx context.Context, s durable.Scorer) (string, durable.ScoreEnd) {
	ctx, cancel := context.WithTimeout(ctx, scoreTime)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Host+s.Path, nil)
	if err != nil {
		sc.log.Warn("scoring call is malformed", "call", s.ID, "error", err)
		return "", durable.ScoreFailed
	}
	now := sc.clock.Now()
	r := &filter.Request{
		Request: hr, ID: s.ID, View: sc.views.Load(), Body: bytes.Clone(s.Body),
		Arrived: now, Deadline: now + scoreTime, Log: sc.log,
	}
	w := &scoreAnswer{header: http.Header{}}
	err = sc.chain.ServeHTTP(w, r)
	switch {
	case err != nil:
		sc.log.Info("scoring call failed", "call", s.ID, "error", err)
		return "", durable.ScoreLost
	case w.status >= 200 && w.status < 300:
		return w.header.Get(sc.stamp), durable.ScoreDone
	case w.status == http.StatusInternalServerError:
		return "", durable.ScoreFailed
	}
	return "", durable.ScoreLost
}
