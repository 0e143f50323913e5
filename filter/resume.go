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
	// maxResumes bounds the endpoints at which one stream goes on.
	maxResumes = 8
	// moveWait bounds the wait for a place to move to, while the present
	// endpoint goes on, and movePeriod is the time between two tries.
	moveWait   = 200 * time.Millisecond
	movePeriod = 5 * time.Second
)

// errMoved ends an attempt whose stream moves to another endpoint.
var errMoved = code.New(code.EndpointLost, "the endpoint leaves")

// resumable returns the stream of a request if it may go on elsewhere.
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

// goOn passes on an endpoint's part of a stream, whole lines only.
func (t *try) goOn(slot *dispatch.Slot, answer *attempt.Answer) (again bool, err error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	defer t.stream.Cut()
	if answer.Status != http.StatusOK {
		t.end(slot, outcome.Failed, dispatch.Overloaded)
		return true, code.New(code.EndpointLost, "endpoint %s: status %d", slot.Endpoint.Name, answer.Status)
	}
	rc := http.NewResponseController(t.w)
	for {
		n, err := answer.Read(*buf)
		answer.Pause()
		if werr := t.writeLines(rc, answer, (*buf)[:n]); werr != nil {
			return t.cutStream(slot, werr)
		}
		answer.Resume()
		switch {
		case err == io.EOF && t.stream.Done():
			t.end(slot, outcome.Answered, dispatch.Answered)
			t.cleared()
			return false, nil
		case err == io.EOF:
			err = code.New(code.AnswerTruncated, "endpoint %s ended the stream early", slot.Endpoint.Name)
			return t.cutStream(slot, err)
		case err != nil:
			return t.cutStream(slot, err)
		case t.move(slot):
			t.end(slot, outcome.Failed, dispatch.Unused)
			return true, errMoved
		}
	}
}

// writeLines passes on the lines that are whole with p.
func (t *try) writeLines(rc *http.ResponseController, answer *attempt.Answer, p []byte) error {
	lines, bad := t.stream.Feed(p)
	if len(lines) > 0 {
		if !t.rec.Committed() {
			answer.CopyHeader(t.w.Header())
			t.w.WriteHeader(answer.Status)
		}
		t.rec.Commit()
		t.sent += int64(len(lines))
		if t.sent > t.a.MaxAnswer {
			return code.New(code.AnswerTooLarge, "limit %d bytes", t.a.MaxAnswer)
		}
		if err := t.writePart(rc, lines); err != nil {
			return err
		}
	}
	if bad == nil {
		return nil
	}
	n := code.AnswerTruncated
	if errors.Is(bad, resume.ErrGap) {
		n = code.AnswerMismatch
	}
	return code.Wrap(n, bad, "%v", bad)
}

// cutStream ends an attempt whose stream broke off, and reports whether the
// stream may go on elsewhere.
func (t *try) cutStream(slot *dispatch.Slot, err error) (again bool, _ error) {
	place := t.resultOf(err)
	if errors.Is(err, resume.ErrVersion) || errors.Is(err, resume.ErrCancelled) {
		place = dispatch.Unused // the endpoint did nothing wrong
	}
	again = t.mendable(err)
	t.suspect(slot, err, true)
	t.end(slot, outcome.Failed, place)
	return again, err
}

// move takes a place at another endpoint if this one leaves, and reports
// whether there is one. The stream goes on here until then.
func (t *try) move(slot *dispatch.Slot) bool {
	now := t.a.Clock.Now()
	if !slot.Leaving() || now < t.moveAt || !t.stream.Begun() {
		return false
	}
	t.moveAt = now + movePeriod
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
	t.moved = next
	return true
}

// stay gives up a place that the stream did not move to.
func (t *try) stay() {
	if t.moved != nil {
		t.moved.Done(dispatch.Unused)
		t.moved = nil
	}
}
