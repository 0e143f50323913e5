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

// Answer is an endpoint's answer. Read returns io.EOF only when the answer
// came whole. It must be closed, and belongs to one goroutine.
type Answer struct {
	Status int
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64

	pool    *Pool
	dialect Dialect
	conn    *conn
	call    *Call
	ctx     context.Context
	timer   *time.Timer
	// silent is set when the clock on silence ran out.
	silent atomic.Bool
	resp   *http.Response
	whole  []byte
	last   lastLine
	done   bool
}

// giveUp ends an attempt whose endpoint was silent for too long. What waits for
// the connection gets an error.
func (a *Answer) giveUp() {
	a.silent.Store(true)
	a.conn.close() // Close or finish counts it
}

// CopyHeader adds to dst what may be passed on of the answer's header.
func (a *Answer) CopyHeader(dst http.Header) {
	if !a.dialect.PassHeaders {
		copyAllowed(dst, a.resp.Header, answerHeaders)
		return
	}
	for name, values := range passed(a.resp.Header) {
		dst[name] = values
	}
}

// Header returns the answer's header, which must not be changed.
func (a *Answer) Header() http.Header { return a.resp.Header }

// CachedPrompt returns how many bytes of the prompt the endpoint says that it had
// cached, if it says so.
func (a *Answer) CachedPrompt() (bytes int, ok bool) {
	n, err := strconv.Atoi(a.resp.Header.Get(engine.CachedHeader))
	return n, err == nil && n >= 0
}

// Whole reports whether all of the answer has been received.
func (a *Answer) Whole() bool { return a.done }

// Body returns the body of an answer that Whole reports as received before any
// Read.
func (a *Answer) Body() []byte { return a.whole }

// Refused reports whether the endpoint says that it did no work on the
// request.
func (a *Answer) Refused() bool {
	return a.done && a.dialect.refused(a.Status, a.resp.Header)
}

// Read reads a part of the body. Its errors other than io.EOF are *code.Error.
func (a *Answer) Read(p []byte) (int, error) {
	if a.done {
		n := copy(p, a.whole)
		a.whole = a.whole[n:]
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

// Pause stops the clock on silence while the caller is being written to, and
// Resume starts it anew.
func (a *Answer) Pause() {
	if !a.done {
		a.timer.Stop()
	}
}

// Resume starts the clock on silence.
func (a *Answer) Resume() {
	if !a.done {
		a.timer.Reset(a.call.Idle)
	}
}

// body reads from the connection and turns its errors into coded ones.
func (a *Answer) body() io.Reader { return (*bodyReader)(a) }

type bodyReader Answer

func (b *bodyReader) Read(p []byte) (int, error) {
	a := (*Answer)(b)
	n, err := a.resp.Body.Read(p)
	if n > 0 {
		a.timer.Reset(a.call.Idle)
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

// fail tells silence from other errors.
func (a *Answer) fail(lost, silent code.Number, err error) error {
	if a.silent.Load() {
		return fail(a.ctx, silent, err)
	}
	return fail(a.ctx, lost, err)
}

// finish gives the connection back after a whole answer.
func (a *Answer) finish() {
	a.done = true
	gaveUp := !a.timer.Stop()
	_ = a.resp.Body.Close()
	if a.resp.Close || gaveUp {
		a.conn.discard()
		return
	}
	a.pool.put(a.conn)
}

// Close ends the attempt. The connection of an answer that is not whole is
// closed, and so are the unused ones to the same endpoint if it was silent:
// what forgot one connection may have forgotten all.
func (a *Answer) Close() {
	if a.done {
		return
	}
	a.done = true
	a.timer.Stop()
	if a.silent.Load() {
		a.conn.host.drop(a.pool.opt.Clock.Now() + 1)
	}
	a.conn.discard()
}
