// Package fakehttp implements the common part of all fakes: JSON handlers,
// counters of the faults still to inject, and delays.
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

// errorResponses maps errors to HTTP statuses and error names, for the platform
// and for engines. Any other error is a bad request.
var errorResponses = []struct {
	err    error
	status int
	name   string
}{
	{infra.ErrNotFound, http.StatusNotFound, httpapi.ErrorNotFound},
	{infra.ErrConflict, http.StatusConflict, httpapi.ErrorConflict},
	{infra.ErrStaleEpoch, http.StatusPreconditionFailed, httpapi.ErrorStaleEpoch},
	{infra.ErrUnavailable, http.StatusServiceUnavailable, httpapi.ErrorUnavailable},
}

// Handle returns a handler that responds with the message or error that f
// returns.
func Handle(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		msg, err := f(r)
		WriteResponse(w, msg, err)
	}
}

// HandleBody returns a handler that decodes the body for f and responds with the
// message or error that f returns.
func HandleBody[M any](f func(*http.Request, M) (any, error)) http.HandlerFunc {
	return Handle(func(r *http.Request) (any, error) {
		var msg M
		if err := json.NewDecoder(r.Body).Decode(&msg); err != nil {
			return nil, err
		}
		return f(r, msg)
	})
}

// HandleControl adds the control paths to mux: tests that run separate processes
// use them to set a fake's faults and to read its record.
func HandleControl[F, R any](mux *http.ServeMux, setFaults func(F), record func() R) {
	mux.HandleFunc("PUT /control/faults", HandleBody(func(_ *http.Request, f F) (any, error) {
		setFaults(f)
		return nil, nil
	}))
	mux.HandleFunc("GET /control/record", Handle(func(*http.Request) (any, error) {
		return record(), nil
	}))
}

// WriteResponse writes err as the response if it isn't nil, and otherwise msg, or
// an empty object if msg is nil. If err is infra.ErrUnknownOutcome, it aborts the
// connection without a response.
func WriteResponse(w http.ResponseWriter, msg any, err error) {
	w.Header().Set("Content-Type", "application/json")
	switch {
	case errors.Is(err, infra.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case err != nil:
		msg = writeError(w, err)
	case msg == nil:
		msg = struct{}{}
	}
	_ = json.NewEncoder(w).Encode(msg)
}

// writeError writes the HTTP status for err and returns the body to write.
func writeError(w http.ResponseWriter, err error) httpapi.ErrorBody {
	for _, f := range errorResponses {
		if errors.Is(err, f.err) {
			w.WriteHeader(f.status)
			return httpapi.ErrorBody{Error: f.name, Detail: err.Error()}
		}
	}
	w.WriteHeader(http.StatusBadRequest)
	return httpapi.ErrorBody{Detail: err.Error()}
}

// ConsumeFault reports whether a fault is to be injected, that is, whether the
// count n is not zero. It decrements a positive n. A negative n is unlimited.
func ConsumeFault(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// Sleep waits for d or until ctx is done. It reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
