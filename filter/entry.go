package filter

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/view"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
)

// Entry is where callers' requests enter a chain.
type Entry struct {
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// RequestTime bounds a request from its arrival to its last byte.
	RequestTime time.Duration
	// Elsewhere returns addresses of other instances, for callers that are
	// refused for this instance's sake.
	Elsewhere func() []string
	// Chain serves the request.
	Chain Handler
	// Arrive, if set, reads the request's ID and how long its caller waits.
	// An empty ID or a time of zero stands for this system's own.
	Arrive func(r *http.Request) (id string, wait time.Duration)
	// Age, if set, returns the age of the configuration. Requests that are served
	// are logged as well then.
	Age func(now time.Duration) (age time.Duration, known bool)
	// Refuse, if set, answers a request that failed in place of WriteError.
	Refuse func(w http.ResponseWriter, r *Request, err error)

	counters sync.Map // requestKind to tally.Counter
	teams    sync.Map // team's name to *teamCounters
}

// ServeHTTP gives the request an ID and a snapshot, runs the chain, and
// answers with a coded error if it fails. An error after the first byte of an
// answer aborts the connection.
func (e *Entry) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	now := e.Clock.Now()
	id, wait := e.arrive(hr)
	ctx, cancel := context.WithTimeout(hr.Context(), wait)
	defer cancel()
	r := &Request{
		Request:  hr.WithContext(ctx),
		ID:       id,
		View:     e.Views.Load(),
		Arrived:  now,
		Deadline: now + wait,
	}
	r.Log = e.Log
	tw := &trackingWriter{ResponseWriter: w}
	tw.Header().Set(engine.RequestIDHeader, r.ID)
	err := e.Chain.ServeHTTP(tw, r)
	e.record(r, err)
	if err == nil {
		return
	}
	if tw.started {
		panic(http.ErrAbortHandler)
	}
	if ownFault(err) {
		w.Header().Set(api.EntriesHeader, strings.Join(e.Elsewhere(), ", "))
	}
	if e.Refuse != nil {
		e.Refuse(w, r, err)
		return
	}
	WriteError(w, r.ID, err)
}

// arrive returns the request's ID and the time that it may take.
func (e *Entry) arrive(r *http.Request) (id string, wait time.Duration) {
	if e.Arrive != nil {
		id, wait = e.Arrive(r)
	}
	if id == "" {
		id = uuid.NewString()
	}
	if wait <= 0 || wait > e.RequestTime {
		wait = e.RequestTime
	}
	return id, wait
}

// ownFault reports whether another instance may well serve the request.
func ownFault(err error) bool {
	switch asCode(err).Number {
	case code.Draining, code.InstanceBusy, code.NotFresh:
		return true
	}
	return false
}

func (e *Entry) record(r *Request, err error) {
	n := code.OK
	if err != nil {
		n = asCode(err).Number
	}
	e.counter(requestKind{n, r.Route.Kind}).Inc(1)
	e.countTeam(r.Team, n)
	switch {
	case e.Age != nil:
		e.logTrail(r, n, err)
	case err != nil:
		r.Logger().Info("request failed", "service", r.Service.Name, "error", err)
	}
}

// logTrail logs what became of a request and what decided it.
func (e *Entry) logTrail(r *Request, n code.Number, err error) {
	now := e.Clock.Now()
	age, known := e.Age(now)
	if !known {
		age = -1
	}
	scope := e.Scope.Tagged(map[string]string{"kind": string(r.Route.Kind)})
	scope.Timer("request").Record(now - r.Arrived)
	scope.Timer("queue").Record(r.Trail.Waited)
	log := r.Logger().With("route", r.Route.Name, "service", r.Service.Name,
		"config", r.View.Config.Version, "config_age", age, "endpoint", r.Trail.Endpoint,
		"attempts", r.Trail.Attempts, "status", r.Trail.Status, "waited", r.Trail.Waited,
		"took", now-r.Arrived, "code", int(n))
	if err != nil {
		log.Info("request failed", "effect", asCode(err).Info().Effect, "error", err)
		return
	}
	log.Info("request served")
}

// requestKind is what requests are counted by.
type requestKind struct {
	code code.Number
	kind config.RouteKind
}

// counter returns the counter of the requests of one kind.
func (e *Entry) counter(k requestKind) tally.Counter {
	if c, ok := e.counters.Load(k); ok {
		return c.(tally.Counter)
	}
	c := e.Scope.Tagged(map[string]string{
		"code": strconv.Itoa(int(k.code)),
		"name": code.Lookup(k.code).Name,
		"kind": string(k.kind),
	}).Counter("requests")
	e.counters.Store(k, c)
	return c
}

type teamCounters struct{ all, failed tally.Counter }

// countTeam counts a request of a team. Teams' names are those of the
// configuration, so that their number is bounded.
func (e *Entry) countTeam(team string, n code.Number) {
	if team == "" {
		return
	}
	v, ok := e.teams.Load(team)
	if !ok {
		scope := e.Scope.Tagged(map[string]string{"team": team})
		v, _ = e.teams.LoadOrStore(team, &teamCounters{scope.Counter("team_requests"), scope.Counter("team_requests_failed")})
	}
	c := v.(*teamCounters)
	c.all.Inc(1)
	if n != code.OK {
		c.failed.Inc(1)
	}
}

// WriteError answers with a coded error.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	ce := asCode(err)
	info := ce.Info()
	body := api.Error{
		Code:             int(ce.Number),
		Name:             info.Name,
		Effect:           string(info.Effect),
		Message:          info.Help,
		RequestID:        requestID,
		RetryAfterMillis: info.RetryAfter.Milliseconds(),
		Diff:             ce.Diff,
	}
	if ce.Detail != "" {
		body.Message += " (" + ce.Detail + ")"
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.CodeHeader, strconv.Itoa(int(ce.Number)))
	h.Set(api.EffectHeader, string(info.Effect))
	if info.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(retrySeconds(info.RetryAfter), 10))
	}
	w.WriteHeader(info.HTTPStatus)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

// retrySeconds rounds up, since the header has whole seconds only.
func retrySeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func asCode(err error) *code.Error {
	var ce *code.Error
	if errors.As(err, &ce) {
		return ce
	}
	return code.Wrap(code.Internal, err, "")
}

// trackingWriter remembers whether any part of an answer was sent.
type trackingWriter struct {
	http.ResponseWriter
	started bool
}

func (t *trackingWriter) WriteHeader(status int) {
	t.started = true
	t.ResponseWriter.WriteHeader(status)
}

func (t *trackingWriter) Write(p []byte) (int, error) {
	t.started = true
	return t.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (t *trackingWriter) Unwrap() http.ResponseWriter {
	return t.ResponseWriter
}
