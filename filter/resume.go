package filter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/outcome"
	"github.com/cumincove/cumincove/resume"
)

const (
	// maxResumes bounds how often one stream is resumed at another endpoint.
	maxResumes = 8
	// moveWait bounds the wait for a slot at another endpoint, during which the
	// present endpoint keeps streaming. movePeriod is the time between two tries.
	moveWait   = 200 * time.Millisecond
	movePeriod = 5 * time.Second
)

// errMoved is the error of an attempt whose stream moves to another endpoint.
var errMoved = code.New(code.EndpointLost, "the endpoint leaves")

// resumable returns the stream of a request that can be resumed at another
// endpoint, and nil for other requests.
func resumable(r *Request) *resume.Stream {
	if r.Service.Resume == config.ResumeNever || r.Path != generatePath || r.Method != http.MethodPost {
		return nil
	}
	s, ok := resume.New(r.Body, r.Service.Resume == config.ResumeSameVersion)
	if !ok {
		return nil
	}
	return s
}

// forwardResumable forwards the complete lines of an endpoint's part of a stream.
func (t *task) forwardResumable(slot *dispatch.Slot, resp *attempt.Response) (again bool, err error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	defer t.stream.EndSegment()
	if resp.Status != http.StatusOK {
		t.end(slot, outcome.Failed, dispatch.Overloaded)
		return true, code.New(code.EndpointLost, "endpoint %s: status %d", slot.Endpoint.Name, resp.Status)
	}
	rc := http.NewResponseController(t.w)
	for {
		n, err := resp.Read(*buf)
		resp.PauseIdleTimer()
		if werr := t.writeLines(rc, resp, (*buf)[:n]); werr != nil {
			return t.endInterrupted(slot, werr)
		}
		resp.ResumeIdleTimer()
		switch {
		case err == io.EOF && t.stream.Done():
			t.end(slot, outcome.Answered, dispatch.Answered)
			t.recordSuccess()
			return false, nil
		case err == io.EOF:
			err = code.New(code.AnswerTruncated, "endpoint %s ended the stream early", slot.Endpoint.Name)
			return t.endInterrupted(slot, err)
		case err != nil:
			return t.endInterrupted(slot, err)
		case t.reserveNextSlot(slot):
			t.end(slot, outcome.Failed, dispatch.Unused)
			return true, errMoved
		}
	}
}

// writeLines feeds p to the stream and forwards the lines that p completes.
func (t *task) writeLines(rc *http.ResponseController, resp *attempt.Response, p []byte) error {
	lines, lineErr := t.stream.Feed(p)
	if len(lines) > 0 {
		if !t.rec.Committed() {
			resp.CopyHeader(t.w.Header())
			t.w.WriteHeader(resp.Status)
		}
		t.rec.Commit()
		t.streamedBytes += int64(len(lines))
		if t.streamedBytes > t.a.MaxResponseBytes {
			return code.New(code.AnswerTooLarge, "limit %d bytes", t.a.MaxResponseBytes)
		}
		if err := t.writeAndFlush(rc, lines); err != nil {
			return err
		}
	}
	if lineErr == nil {
		return nil
	}
	n := code.AnswerTruncated
	if errors.Is(lineErr, resume.ErrGap) {
		n = code.AnswerMismatch
	}
	return code.Wrap(n, lineErr, "%v", lineErr)
}

// endInterrupted ends an attempt whose stream was interrupted, and reports whether
// the stream may be resumed at another endpoint.
func (t *task) endInterrupted(slot *dispatch.Slot, err error) (again bool, _ error) {
	slotResult := t.resultOf(err)
	if errors.Is(err, resume.ErrVersion) || errors.Is(err, resume.ErrCancelled) {
		slotResult = dispatch.Unused // not the endpoint's fault
	}
	again = t.retryable(err)
	t.handleLoss(slot, err, true)
	t.end(slot, outcome.Failed, slotResult)
	return again, err
}

// reserveNextSlot reserves a slot at another endpoint if the present one is
// leaving, and reports whether it succeeded. Until it does, the stream
// continues at the present endpoint.
func (t *task) reserveNextSlot(slot *dispatch.Slot) bool {
	now := t.a.Clock.Now()
	if !slot.Leaving() || now < t.nextMoveCheck || !t.stream.Started() {
		return false
	}
	t.nextMoveCheck = now + movePeriod
	if t.rec.Attempts() >= t.r.maxAttempts()+maxResumes || now+moveWait+minAttemptTime >= t.r.Deadline {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, moveWait)
	defer cancel()
	work := t.work()
	work.Avoid = slot.Endpoint.Name
	next, err := t.a.Dispatcher.Acquire(ctx, work)
	if err != nil {
		return false
	}
	if next.Leaving() || !t.budget.spend(true) {
		next.Done(dispatch.Unused)
		return false
	}
	t.nextSlot = next
	return true
}

// releaseNextSlot releases a reserved slot that the stream did not move to.
func (t *task) releaseNextSlot() {
	if t.nextSlot != nil {
		t.nextSlot.Done(dispatch.Unused)
		t.nextSlot = nil
	}
}
