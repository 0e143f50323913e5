package filter

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/outcome"
)

// copyBufferBytes is the size of one read from an endpoint's answer.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// pass passes an answer on. One that came whole and that another endpoint may
// better is not passed on yet.
func (t *try) pass(slot *dispatch.Slot, answer *attempt.Answer) (again bool, err error) {
	if !answer.Whole() {
		if t.stream != nil && (answer.Status == http.StatusOK || t.rec.Committed()) {
			return t.goOn(slot, answer)
		}
		return t.copy(slot, answer)
	}
	place := placeOf(answer.Status)
	switch {
	case answer.Refused():
		if answer.Status == http.StatusMisdirectedRequest {
			place = dispatch.Absent
			t.ended(slot)
		}
		t.end(slot, outcome.Refused, place)
		return true, code.New(code.EndpointRefused, "endpoint %s: status %d, not run", slot.Endpoint.Name, answer.Status)
	case t.mendableElsewhere(answer.Status) && t.r.Service.Idempotent && t.mayTryAgain():
		t.end(slot, outcome.Failed, place)
		return true, code.New(code.EndpointLost, "endpoint %s: status %d", slot.Endpoint.Name, answer.Status)
	}
	t.end(slot, outcome.Answered, place)
	t.cleared()
	return false, t.write(answer)
}

// placeOf says what the status of a whole answer tells of the endpoint.
func placeOf(status int) dispatch.Result {
	switch {
	case busy(status):
		return dispatch.Overloaded
	case status >= http.StatusInternalServerError:
		return dispatch.Faulty
	}
	return dispatch.Answered
}

// mendableElsewhere reports whether another endpoint may do better than one that
// answered with the status.
func (t *try) mendableElsewhere(status int) bool {
	return busy(status) || t.a.RetryFaults && status == http.StatusInternalServerError
}

// busy reports whether a status says that the endpoint can't serve now.
func busy(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// mayTryAgain reports whether a retry is likely to be allowed, for a request
// whose answer would otherwise be passed on.
func (t *try) mayTryAgain() bool {
	return t.rec.Attempts() < t.r.maxAttempts() && t.ctx.Err() == nil &&
		t.a.Clock.Now()+minAttemptTime < t.r.Deadline
}

// write passes on an answer that came whole. The endpoint's place is free by
// now, so a slow reader holds nothing but its own connection.
func (t *try) write(answer *attempt.Answer) error {
	body := answer.Body()
	t.header(answer)
	t.w.WriteHeader(answer.Status)
	if len(body) == 0 {
		return nil
	}
	rc := http.NewResponseController(t.w)
	defer t.writeWithin(rc)()
	if _, err := t.w.Write(body); err != nil {
		return code.Wrap(code.CallerTimeout, err, "write answer")
	}
	return nil
}

// copy passes on an answer as it comes.
func (t *try) copy(slot *dispatch.Slot, answer *attempt.Answer) (again bool, err error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	rc := http.NewResponseController(t.w)
	started := false
	left := t.a.MaxAnswer
	for {
		n, err := answer.Read(*buf)
		left -= int64(n)
		if left < 0 || answer.Length > t.a.MaxAnswer {
			t.end(slot, outcome.Failed, dispatch.Unused)
			return false, code.New(code.AnswerTooLarge, "limit %d bytes", t.a.MaxAnswer)
		}
		if n > 0 {
			if !started {
				t.header(answer)
				t.w.WriteHeader(answer.Status)
				started = true
			}
			t.rec.Commit()
			answer.Pause()
			if werr := t.writePart(rc, (*buf)[:n]); werr != nil {
				t.end(slot, outcome.Failed, dispatch.Unused)
				return false, werr
			}
			answer.Resume()
		}
		if err == io.EOF {
			t.end(slot, outcome.Answered, placeOf(answer.Status))
			t.cleared()
			if !started {
				t.header(answer)
				t.w.WriteHeader(answer.Status)
			}
			return false, nil
		}
		if err != nil {
			t.suspect(slot, err, true)
			t.end(slot, outcome.Failed, t.resultOf(err))
			return t.mendable(err), err
		}
	}
}

func (t *try) header(answer *attempt.Answer) {
	h := t.w.Header()
	answer.CopyHeader(h)
	if answer.Length >= 0 && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
}

func (t *try) writePart(rc *http.ResponseController, p []byte) error {
	defer t.writeWithin(rc)()
	if _, err := t.w.Write(p); err != nil {
		return code.Wrap(code.CallerTimeout, err, "write answer")
	}
	_ = rc.Flush() // a writer that can't flush still gets all bytes
	return nil
}

// writeWithin bounds one write to the caller, and returns what ends the bound.
// Writers without deadlines go unbounded.
func (t *try) writeWithin(rc *http.ResponseController) func() {
	if rc.SetWriteDeadline(time.Now().Add(t.a.Idle)) != nil {
		return func() {}
	}
	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}
