package attempt

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/engine"
)

// Response is an endpoint's response. Read returns io.EOF only after a complete
// response. An Answer must be closed, and is not safe for concurrent use.
type Response struct {
	Status int
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64

	pool    *Pool
	dialect Dialect
	conn    *conn
	call    *Call
	ctx     context.Context
	timer   *time.Timer
	// timedOut is set when the timer has fired.
	timedOut atomic.Bool
	resp     *http.Response
	// buffered is the unread rest of a body that was received before any Read.
	buffered []byte
	last     lastLine
	done     bool
}

// timeOut closes the connection of an attempt whose endpoint sent nothing within
// the timeout. A pending read or write on the connection returns an error.
func (a *Response) timeOut() {
	a.timedOut.Store(true)
	a.conn.close() // Close or finish releases it at its host
}

// CopyHeader copies to dst the response headers that may be forwarded to the
// caller.
func (a *Response) CopyHeader(dst http.Header) {
	if !a.dialect.PassHeaders {
		copyAllowed(dst, a.resp.Header, responseHeaders)
		return
	}
	for name, values := range withoutHopByHop(a.resp.Header) {
		dst[name] = values
	}
}

// Header returns the response's header, which must not be changed.
func (a *Response) Header() http.Header { return a.resp.Header }

// CachedPromptBytes returns the number of bytes of the prompt that the endpoint had
// cached. ok is false if the endpoint did not report it.
func (a *Response) CachedPromptBytes() (bytes int, ok bool) {
	n, err := strconv.Atoi(a.resp.Header.Get(engine.CachedPromptBytesHeader))
	return n, err == nil && n >= 0
}

// Complete reports whether the complete response has been received.
func (a *Response) Complete() bool { return a.done }

// Body returns the body of a response for which Whole returns true before any
// Read.
func (a *Response) Body() []byte { return a.buffered }

// Refused reports whether the response states that the endpoint did no work on
// the request.
func (a *Response) Refused() bool {
	return a.done && a.dialect.refused(a.Status, a.resp.Header)
}

// Read reads from the body. Its errors other than io.EOF are of type *code.Error.
func (a *Response) Read(p []byte) (int, error) {
	if a.done {
		n := copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	n, err := a.body().Read(p)
	if err == io.EOF {
		a.finish()
	}
	return n, err
}

// PauseIdleTimer stops the idle timer, for the time in which data is written to the
// caller. Resume restarts it.
func (a *Response) PauseIdleTimer() {
	if !a.done {
		a.timer.Stop()
	}
}

// ResumeIdleTimer restarts the idle timer.
func (a *Response) ResumeIdleTimer() {
	if !a.done {
		a.timer.Reset(a.call.IdleTimeout)
	}
}

// body returns a reader of the connection that converts errors to *code.Error.
func (a *Response) body() io.Reader { return (*bodyReader)(a) }

type bodyReader Response

func (b *bodyReader) Read(p []byte) (int, error) {
	a := (*Response)(b)
	n, err := a.resp.Body.Read(p)
	if n > 0 {
		a.timer.Reset(a.call.IdleTimeout)
		if a.call.Stream {
			a.last.add(p[:n])
		}
	}
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF:
		return n, a.fail(code.AnswerTruncated, code.IdleTimeout, err)
	case a.call.Stream && a.Status == http.StatusOK && !a.last.done():
		return n, code.New(code.AnswerTruncated, "endpoint %s ended the stream early", a.call.Addr)
	}
	return n, io.EOF
}

// fail returns an error with the code timedOut if the timer has fired, and with
// the code lost otherwise.
func (a *Response) fail(lost, timedOut code.Number, err error) error {
	if a.timedOut.Load() {
		return fail(a.ctx, timedOut, err)
	}
	return fail(a.ctx, lost, err)
}

// finish returns the connection to the pool after a complete response.
func (a *Response) finish() {
	a.done = true
	timerFired := !a.timer.Stop()
	_ = a.resp.Body.Close()
	if a.resp.Close || timerFired {
		a.conn.discard()
		return
	}
	a.pool.put(a.conn)
}

// Close ends the attempt. If the response is not complete, its connection is
// closed. After a timeout, the idle connections to the same endpoint are closed
// as well: whatever dropped the state of one connection may have dropped that of
// all.
func (a *Response) Close() {
	if a.done {
		return
	}
	a.done = true
	a.timer.Stop()
	if a.timedOut.Load() {
		a.conn.host.closeIdleBefore(a.pool.opt.Clock.Now() + 1)
	}
	a.conn.discard()
}
