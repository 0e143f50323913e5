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

// Entry is the http.Handler that passes callers' requests to a chain.
type Entry struct {
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// RequestTime bounds a request from its arrival to its last byte.
	RequestTime time.Duration
	// OtherInstances returns addresses of other instances. They are sent to callers
	// whose requests are refused because of the state of this instance.
	OtherInstances func() []string
	// Chain serves the request.
	Chain Handler
	// IDAndTimeout, if set, returns the ID that the request contains and how long its
	// caller waits. For an empty ID this system assigns one, and for a time of zero
	// RequestTime applies.
	IDAndTimeout func(r *http.Request) (id string, wait time.Duration)
	// ConfigAge, if set, returns the time since the configuration was last read,
	// and false before the first read. It also enables the request log.
	ConfigAge func(now time.Duration) (age time.Duration, ok bool)
	// HandleError, if set, is called instead of WriteError to answer a failed request.
	HandleError func(w http.ResponseWriter, r *Request, err error)

	counters sync.Map // requestKind to tally.Counter
	teams    sync.Map // team's name to *teamCounters
}

// ServeHTTP assigns an ID and a snapshot to the request, runs the chain, and
// responds with a coded error if it fails. An error after the first byte of the
// response aborts the connection.
func (e *Entry) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	now := e.Clock.Now()
	id, wait := e.idAndTimeout(hr)
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
	if retryableAtPeer(err) {
		w.Header().Set(api.EntriesHeader, strings.Join(e.OtherInstances(), ", "))
	}
	if e.HandleError != nil {
		e.HandleError(w, r, err)
		return
	}
	WriteError(w, r.ID, err)
}

// idAndTimeout returns the request's ID and the time that the request may take.
func (e *Entry) idAndTimeout(r *http.Request) (id string, wait time.Duration) {
	if e.IDAndTimeout != nil {
		id, wait = e.IDAndTimeout(r)
	}
	if id == "" {
		id = uuid.NewString()
	}
	if wait <= 0 || wait > e.RequestTime {
		wait = e.RequestTime
	}
	return id, wait
}

// retryableAtPeer reports whether the request failed because of the state of this
// instance, so that another instance is likely to serve it.
func retryableAtPeer(err error) bool {
	switch asCode(err).Number {
	case code.Draining, code.InstanceBusy, code.MemoryFull, code.NotFresh:
		return true
	}
	return false
}

// record counts and logs a request.
func (e *Entry) record(r *Request, err error) {
	n := code.OK
	if err != nil {
		n = asCode(err).Number
	}
	e.counter(requestKind{n, r.Route.Kind}).Inc(1)
	e.countTeam(r.Team, n)
	switch {
	case e.ConfigAge != nil:
		e.logRequest(r, n, err)
	case err != nil:
		r.Logger().Info("request failed", "service", r.Service.Name, "error", err)
	}
}

// logRequest logs the outcome of a request and the data that it was based on, and
// records the latency metrics.
func (e *Entry) logRequest(r *Request, n code.Number, err error) {
	now := e.Clock.Now()
	age, ok := e.ConfigAge(now)
	if !ok {
		age = -1
	}
	scope := e.Scope.Tagged(map[string]string{"kind": string(r.Route.Kind)})
	scope.Timer("request").Record(now - r.Arrived)
	scope.Timer("queue").Record(r.RequestLog.Waited)
	log := r.Logger().With("route", r.Route.Name, "service", r.Service.Name,
		"config", r.View.Config.Version, "config_age", age, "endpoint", r.RequestLog.Endpoint,
		"attempts", r.RequestLog.Attempts, "status", r.RequestLog.Status, "waited", r.RequestLog.Waited,
		"took", now-r.Arrived, "code", int(n))
	if err != nil {
		log.Info("request failed", "effect", asCode(err).Info().Effect, "error", err)
		return
	}
	log.Info("request served")
}

// requestKind is the key by which requests are counted.
type requestKind struct {
	code code.Number
	kind config.RouteKind
}

// counter returns the counter for one kind of requests.
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

// countTeam counts a request of a team. Team names come from the configuration, so
// the number of counters is bounded.
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

// WriteError writes the response for a coded error.
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
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// retrySeconds rounds up, since the Retry-After header is in whole seconds.
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

// trackingWriter records whether any part of a response has been sent.
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

// Unwrap allows http.ResponseController to reach the connection.
func (t *trackingWriter) Unwrap() http.ResponseWriter {
	return t.ResponseWriter
}
