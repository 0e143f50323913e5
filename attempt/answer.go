package attempt

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/membudget"
)

// Response is an endpoint's response. Read returns io.EOF only after a complete
// response. A Response must be closed, and is not safe for concurrent use.
type Response struct {
	Status int
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64

	pool    *Pool
	dialect Dialect
	conn    *conn
	call    *Call
	ctx     context.Context
	silence silenceTimer
	// handedOff is the boot time at which the request was handed off.
	handedOff time.Duration
	// timedOut is set when the timer has fired.
	timedOut atomic.Bool
	resp     *http.Response
	// bearsID is set if the response bears the request's ID. A copy of any other response
	// could not be told from the answer to the next request on the connection.
	bearsID bool
	// buffered is the unread rest of a body that was received before any Read.
	buffered []byte
	last     lastLine
	done     bool
	// headHold and bodyHold are the memory of the head, and of a body in buffered.
	headHold, bodyHold *membudget.Hold
	// connLock guards ownsConn, which is set until the connection is returned to the pool.
	connLock sync.Mutex
	ownsConn bool
}

// timeOut closes the connection of an attempt whose endpoint sent nothing within
// the timeout. A pending read or write on the connection returns an error.
func (r *Response) timeOut() {
	r.timedOut.Store(true)
	r.conn.close() // host.release follows in Close or finish
}

// Interrupt makes a pending and all further reads fail at once. It does nothing after the
// end of the response, when another request may use the connection.
func (r *Response) Interrupt() {
	r.connLock.Lock()
	defer r.connLock.Unlock()
	if r.ownsConn {
		r.conn.raw.interrupt()
	}
}

// releaseConn states that the connection may be used by another request.
func (r *Response) releaseConn() {
	r.connLock.Lock()
	defer r.connLock.Unlock()
	r.ownsConn = false
}

// CopyHeader copies to dst the response headers that may be forwarded to the
// caller.
func (r *Response) CopyHeader(dst http.Header) {
	if !r.dialect.PassHeaders {
		copyAllowed(dst, r.resp.Header, responseHeaders)
		return
	}
	for name, values := range withoutHopByHop(r.resp.Header) {
		dst[name] = values
	}
}

// Header returns the response's header, which must not be changed.
func (r *Response) Header() http.Header { return r.resp.Header }

// CachedPromptBytes returns the number of bytes of the prompt that the endpoint
// had cached. ok is false if the endpoint did not report it.
func (r *Response) CachedPromptBytes() (bytes int, ok bool) {
	n, err := strconv.Atoi(r.resp.Header.Get(engine.CachedPromptBytesHeader))
	return n, err == nil && n >= 0
}

// Complete reports whether the complete response has been received.
func (r *Response) Complete() bool { return r.done }

// Body returns the body of a response for which Complete returns true before
// any Read.
func (r *Response) Body() []byte { return r.buffered }

// Refused reports whether the response states that the endpoint did no work on
// the request.
func (r *Response) Refused() bool {
	return r.done && r.dialect.refused(r.Status, r.resp.Header)
}

// Read reads from the body. Its errors other than io.EOF are of type *code.Error.
func (r *Response) Read(p []byte) (int, error) {
	if r.done {
		n := copy(p, r.buffered)
		r.buffered = r.buffered[n:]
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	n, err := r.body().Read(p)
	if err == io.EOF {
		r.finish()
	}
	return n, err
}

// PauseIdleTimer stops the idle timer while data is written to the caller.
// ResumeIdleTimer restarts it.
func (r *Response) PauseIdleTimer() {
	if !r.done {
		r.silence.stop()
	}
}

// ResumeIdleTimer restarts the idle timer.
func (r *Response) ResumeIdleTimer() {
	if !r.done {
		r.silence.start(r.call.IdleTimeout)
	}
}

// body returns a reader of the connection that converts errors to *code.Error.
func (r *Response) body() io.Reader { return (*bodyReader)(r) }

type bodyReader Response

func (b *bodyReader) Read(p []byte) (int, error) {
	r := (*Response)(b)
	n, err := r.resp.Body.Read(p)
	if n > 0 {
		r.silence.start(r.call.IdleTimeout)
		if r.call.Stream {
			r.last.add(p[:n])
		}
	}
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF:
		return n, r.fail(code.AnswerTruncated, code.IdleTimeout, err)
	case r.call.Stream && r.Status == http.StatusOK && !r.last.done():
		return n, code.New(code.AnswerTruncated, "endpoint %s ended the stream early", r.call.Addr)
	}
	return n, io.EOF
}

// fail returns an error with the code timedOut if the timer has fired, and with
// the code lost otherwise.
func (r *Response) fail(lost, timedOut code.Number, err error) error {
	if r.timedOut.Load() {
		return fail(r.ctx, timedOut, err)
	}
	return fail(r.ctx, lost, err)
}

// finish returns the connection to the pool after a complete response, if it can be used
// again.
func (r *Response) finish() {
	r.done = true
	r.releaseConn()
	timerFired := !r.silence.stop()
	_ = r.resp.Body.Close()
	if r.resp.Close || timerFired || !r.bearsID {
		r.conn.discard()
		return
	}
	r.pool.put(r.conn)
}

// Close ends the attempt and releases its memory. If the response is not complete, its
// connection is closed. After a timeout, the idle connections to the same endpoint are
// closed as well: if the endpoint or a device on the path has dropped the state of this
// connection, it may have dropped that of all of them.
func (r *Response) Close() {
	r.headHold.Close()
	r.bodyHold.Close()
	if r.done {
		return
	}
	r.done = true
	r.silence.stop()
	if r.timedOut.Load() {
		r.conn.host.closeIdleBefore(r.pool.opt.Clock.Now() + 1)
	}
	r.conn.discard()
}
