// Package fakehttp holds what all stand-ins share: handlers that speak JSON,
// faults that are counted down, and waiting.
package fakehttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/infra/httpapi"
)

// failures says how the platform's errors are answered, by engines too. Any
// other error is a bad request.
var failures = []struct {
	err    error
	status int
	name   string
}{
	{infra.ErrNotFound, http.StatusNotFound, httpapi.ErrorNotFound},
	{infra.ErrConflict, http.StatusConflict, httpapi.ErrorConflict},
	{infra.ErrStaleEpoch, http.StatusPreconditionFailed, httpapi.ErrorStaleEpoch},
	{infra.ErrUnavailable, http.StatusServiceUnavailable, httpapi.ErrorUnavailable},
}

// Handle returns a handler that answers with what f returns.
func Handle(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		msg, err := f(r)
		Answer(w, msg, err)
	}
}

// HandleBody returns a handler that decodes the body for f and answers with
// what f returns.
func HandleBody[M any](f func(*http.Request, M) (any, error)) http.HandlerFunc {
	return Handle(func(r *http.Request) (any, error) {
		var msg M
		if err := json.NewDecoder(r.Body).Decode(&msg); err != nil {
			return nil, err
		}
		return f(r, msg)
	})
}

// Control adds the paths by which the tests of separate processes reach a
// stand-in's faults and its record.
func Control[F, R any](mux *http.ServeMux, setFaults func(F), record func() R) {
	mux.HandleFunc("PUT /control/faults", HandleBody(func(_ *http.Request, f F) (any, error) {
		setFaults(f)
		return nil, nil
	}))
	mux.HandleFunc("GET /control/record", Handle(func(*http.Request) (any, error) {
		return record(), nil
	}))
}

// Answer writes msg, or err if it isn't nil; an empty object stands for no
// message. After infra.ErrUnknownOutcome the connection ends without an
// answer.
func Answer(w http.ResponseWriter, msg any, err error) {
	w.Header().Set("Content-Type", "application/json")
	switch {
	case errors.Is(err, infra.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case err != nil:
		msg = fail(w, err)
	case msg == nil:
		msg = struct{}{}
	}
	_ = json.NewEncoder(w).Encode(msg)
}

func fail(w http.ResponseWriter, err error) httpapi.ErrorBody {
	for _, f := range failures {
		if errors.Is(err, f.err) {
			w.WriteHeader(f.status)
			return httpapi.ErrorBody{Error: f.name, Detail: err.Error()}
		}
	}
	w.WriteHeader(http.StatusBadRequest)
	return httpapi.ErrorBody{Detail: err.Error()}
}

// Take uses up one of n; a negative n never runs out.
func Take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// Pause waits and reports whether the context goes on.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
