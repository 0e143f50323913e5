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

// copyBufferBytes is the size of one read from an endpoint's response.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// forward forwards a response to the caller. It withholds a complete response that
// reports a refusal or a retryable fault, so that another endpoint can be tried.
func (t *task) forward(slot *dispatch.Slot, resp *attempt.Response) (again bool, err error) {
	if !resp.Complete() {
		if t.stream != nil && (resp.Status == http.StatusOK || t.rec.Committed()) {
			return t.forwardResumable(slot, resp)
		}
		return t.forwardStream(slot, resp)
	}
	slotResult := resultOfStatus(resp.Status)
	switch {
	case resp.Refused():
		if resp.Status == http.StatusMisdirectedRequest {
			slotResult = dispatch.Absent
			t.endpointEnded(slot)
		}
		t.end(slot, outcome.Refused, slotResult)
		return true, code.New(code.EndpointRefused, "endpoint %s: status %d, not run", slot.Endpoint.Name, resp.Status)
	case t.retryableStatus(resp.Status) && t.r.Service.Idempotent && t.mayRetry():
		t.end(slot, outcome.Failed, slotResult)
		return true, code.New(code.EndpointLost, "endpoint %s: status %d", slot.Endpoint.Name, resp.Status)
	}
	t.end(slot, outcome.Answered, slotResult)
	t.recordSuccess()
	return false, t.writeComplete(resp)
}

// resultOfStatus returns the slot's result for the status of a complete response.
func resultOfStatus(status int) dispatch.Result {
	switch {
	case unavailableStatus(status):
		return dispatch.Overloaded
	case status >= http.StatusInternalServerError:
		return dispatch.Faulty
	}
	return dispatch.Answered
}

// retryableStatus reports whether another endpoint may succeed after a response
// with the status.
func (t *task) retryableStatus(status int) bool {
	return unavailableStatus(status) || t.a.RetryInternalErrors && status == http.StatusInternalServerError
}

// unavailableStatus reports whether a status means that the endpoint can't serve
// requests at present.
func unavailableStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// mayRetry reports whether a retry is likely to be allowed. If it is not, the
// present response is forwarded.
func (t *task) mayRetry() bool {
	return t.rec.Attempts() < t.r.maxAttempts() && t.ctx.Err() == nil &&
		t.a.Clock.Now()+minAttemptTime < t.r.Deadline
}

// writeComplete forwards a complete response. The slot has already been
// released, so a slow reader occupies only its own connection.
func (t *task) writeComplete(resp *attempt.Response) error {
	body := resp.Body()
	t.copyHeader(resp)
	t.w.WriteHeader(resp.Status)
	if len(body) == 0 {
		return nil
	}
	rc := http.NewResponseController(t.w)
	defer t.setWriteDeadline(rc)()
	if _, err := t.w.Write(body); err != nil {
		return code.Wrap(code.CallerTimeout, err, "write answer")
	}
	return nil
}

// forwardStream forwards a response while it is being received.
func (t *task) forwardStream(slot *dispatch.Slot, resp *attempt.Response) (again bool, err error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	rc := http.NewResponseController(t.w)
	started := false
	remaining := t.a.MaxResponseBytes
	for {
		n, err := resp.Read(*buf)
		remaining -= int64(n)
		if remaining < 0 || resp.Length > t.a.MaxResponseBytes {
			t.end(slot, outcome.Failed, dispatch.Unused)
			return false, code.New(code.AnswerTooLarge, "limit %d bytes", t.a.MaxResponseBytes)
		}
		if n > 0 {
			if !started {
				t.answerStarted.Store(true)
				t.copyHeader(resp)
				t.w.WriteHeader(resp.Status)
				started = true
			}
			t.rec.Commit()
			resp.PauseIdleTimer()
			if werr := t.writeAndFlush(rc, (*buf)[:n]); werr != nil {
				t.end(slot, outcome.Failed, dispatch.Unused)
				return false, werr
			}
			resp.ResumeIdleTimer()
		}
		if err == io.EOF {
			t.end(slot, outcome.Answered, resultOfStatus(resp.Status))
			t.recordSuccess()
			if !started {
				t.copyHeader(resp)
				t.w.WriteHeader(resp.Status)
			}
			return false, nil
		}
		if err != nil {
			t.handleLoss(slot, err, true)
			t.end(slot, outcome.Failed, t.resultOf(err))
			return t.retryable(err), err
		}
	}
}

func (t *task) copyHeader(resp *attempt.Response) {
	h := t.w.Header()
	resp.CopyHeader(h)
	if resp.Length >= 0 && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
}

// writeAndFlush forwards a part of an answer, unless the key has become invalid. After a
// pause of the process, an answer can arrive before Revocations has stopped the request.
func (t *task) writeAndFlush(rc *http.ResponseController, p []byte) error {
	if err := t.keyStillValid(); err != nil {
		return err
	}
	defer t.setWriteDeadline(rc)()
	if _, err := t.w.Write(p); err != nil {
		return code.Wrap(code.CallerTimeout, err, "write answer")
	}
	_ = rc.Flush() // a writer that can't flush still receives all bytes
	return nil
}

// setWriteDeadline bounds one write to the caller, and returns a function that
// clears the deadline. Writes are unbounded if the writer does not support
// deadlines.
func (t *task) setWriteDeadline(rc *http.ResponseController) func() {
	if rc.SetWriteDeadline(time.Now().Add(t.a.IdleTimeout)) != nil {
		return func() {}
	}
	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}
