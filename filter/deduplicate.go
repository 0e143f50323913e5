package filter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/engine"
)

const (
	// idempotencyHeader contains the ID that the caller assigned to a request.
	idempotencyHeader = "Idempotency-Key"
	// maxCallerID bounds such an ID, in bytes.
	maxCallerID = 256
	// maxStoredBytes bounds the body of an answer that is stored.
	maxStoredBytes = 4 << 10
)

// Claims decides whether a request may run, across all instances.
type Claims interface {
	// Claim returns the decision. If the verdict is dedup.Acquired, it also returns
	// a function that must be called once with the outcome of the request.
	Claim(ctx context.Context, r dedup.Request) (dedup.Decision, func(dedup.State, *dedup.Answer))
}

// Deduplicate runs a request once per ID that its caller assigned, for services
// that enable it.
type Deduplicate struct {
	Claims Claims
	Clock  clock.Clock
}

// ServeHTTP calls next if the request is the first with its ID. Otherwise it
// writes the stored answer to the first request, or returns an error that
// states what is known of the first request.
func (f Deduplicate) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	ids := r.Header[idempotencyHeader]
	if !r.Service.Deduplicate || len(ids) == 0 {
		return next.ServeHTTP(w, r)
	}
	if len(ids) > 1 || ids[0] == "" || len(ids[0]) > maxCallerID {
		return code.New(code.BadRequest, "%s must be one ID of at most %d bytes", idempotencyHeader, maxCallerID)
	}
	d, finish := f.Claims.Claim(r.Context(), dedup.Request{
		Team:    r.Team,
		Service: r.Service.Name,
		ID:      ids[0],
		Digest:  contentDigest(r),
		Until:   time.Now().Add(r.Deadline - f.Clock.Now()),
	})
	if d.Verdict != dedup.Acquired {
		return handleDuplicate(w, d)
	}
	r.SendBy = d.SendBy
	return runOnce(w, r, next, finish)
}

// runOnce runs a request whose ID has been claimed, and records the outcome.
func runOnce(w http.ResponseWriter, r *Request, next Handler, finish func(dedup.State, *dedup.Answer)) (err error) {
	rw := &recordingWriter{ResponseWriter: w}
	state := dedup.MayHaveRun // in case next panics
	defer func() { finish(state, rw.storedAnswer(state)) }()
	err = next.ServeHTTP(rw, r)
	state = stateOf(err)
	return err
}

// stateOf returns the outcome of a request for its error.
func stateOf(err error) dedup.State {
	if err == nil {
		return dedup.Ran
	}
	switch asCode(err).Info().Effect {
	case code.NotRun:
		return dedup.Released
	case code.Ran:
		return dedup.Ran
	}
	return dedup.MayHaveRun
}

// handleDuplicate writes the stored answer to a request that is not run, or returns
// the error for it.
func handleDuplicate(w http.ResponseWriter, d dedup.Decision) error {
	switch {
	case d.Verdict == dedup.Unavailable:
		return code.New(code.DedupDown, "")
	case d.Verdict == dedup.OtherContent:
		return code.New(code.DuplicateWithContent, "")
	case d.Row.State == dedup.Claimed:
		return code.New(code.DuplicateUnderWay, "")
	case d.Row.State == dedup.MayHaveRun:
		return code.New(code.DuplicateMayHaveRun, "")
	case d.Row.Answer == nil || !attempt.FinalStatus(d.Row.Answer.Status):
		return code.New(code.DuplicateRan, "")
	}
	return replay(w, d.Row.Answer)
}

// replay writes a stored answer.
func replay(w http.ResponseWriter, a *dedup.Answer) error {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(api.CodeHeader, strconv.Itoa(int(code.DuplicateRan)))
	h.Set(api.EffectHeader, string(code.Ran))
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return &code.Error{Number: code.CallerTimeout, Effect: code.Ran, Cause: err, Detail: "write kept answer"}
	}
	return nil
}

// contentDigest returns the digest of everything in a request that can affect
// what an endpoint does.
func contentDigest(r *Request) string {
	h := sha256.New()
	for _, part := range []string{
		r.Method, r.Path, rawPath(r), r.URL.RawQuery,
		r.Header.Get("Content-Type"), r.Header.Get("Content-Encoding"), string(r.Body),
	} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// recordingWriter keeps a copy of a response whose body is at most maxStoredBytes.
type recordingWriter struct {
	http.ResponseWriter
	answer   dedup.Answer
	body     bytes.Buffer
	tooLarge bool
}

func (rw *recordingWriter) WriteHeader(status int) {
	rw.answer.Status = status
	rw.answer.Header = rw.Header().Clone()
	delete(rw.answer.Header, engine.RequestIDHeader)
	delete(rw.answer.Header, "Connection")
	rw.ResponseWriter.WriteHeader(status)
}

func (rw *recordingWriter) Write(p []byte) (int, error) {
	rw.tooLarge = rw.tooLarge || rw.body.Len()+len(p) > maxStoredBytes
	if !rw.tooLarge {
		rw.body.Write(p)
	}
	return rw.ResponseWriter.Write(p)
}

// Unwrap allows http.ResponseController to reach the connection.
func (rw *recordingWriter) Unwrap() http.ResponseWriter { return rw.ResponseWriter }

// storedAnswer returns the answer to store for a request that ran. It returns
// nil if the copy is not complete.
func (rw *recordingWriter) storedAnswer(state dedup.State) *dedup.Answer {
	length := rw.answer.Header["Content-Length"]
	complete := len(length) == 0 || length[0] == strconv.Itoa(rw.body.Len())
	if state != dedup.Ran || rw.answer.Status == 0 || rw.tooLarge || !complete {
		return nil
	}
	rw.answer.Body = rw.body.Bytes()
	return &rw.answer
}
