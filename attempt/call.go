package attempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cumincove/cumincove/code"
)

// wholeBytes bounds answers that are read whole before they are passed on, so
// that a slow reader does not hold the endpoint and a truncated answer can be
// asked for again.
const wholeBytes = 64 << 10

// Call is one attempt of a request at one endpoint.
type Call struct {
	// Endpoint is the endpoint's name, under which is told that it leaves.
	Endpoint string
	// Addr is the endpoint's IP address and port, and Host the header of that
	// name; empty means Addr.
	Addr   string
	Host   string
	Method string
	// Path, RawPath and RawQuery are those of an url.URL.
	Path     string
	RawPath  string
	RawQuery string
	// Header is sent as it is; make it with RequestHeader.
	Header http.Header
	Body   []byte
	// ID is sent, and must come back.
	ID string
	// MustEcho refuses answers without an ID. Otherwise only those with
	// another one are refused, and those of endpoints that sent one before.
	MustEcho bool
	// Stream says that the answer is a stream of engine.Chunk lines, which is
	// whole only if its last line says so.
	Stream bool
	// Fresh asks for a new connection, as a second attempt must.
	Fresh bool
	// Once marks a request that must not run twice.
	Once bool
	// FirstByte and Idle bound the silence before the answer and within it.
	FirstByte time.Duration
	Idle      time.Duration
	// HandOver is called before the first byte can leave. An error ends the
	// attempt.
	HandOver func() error
}

// Do makes the attempt and returns the answer's beginning. Errors are
// *code.Error, or the cause of ctx's end if that is one.
func (p *Pool) Do(ctx context.Context, call *Call) (*Answer, error) {
	maxIdle := p.opt.Idle
	if call.Once {
		maxIdle = p.opt.IdleOnce
	}
	c, err := p.get(ctx, call.Addr, call.Fresh, maxIdle)
	if err != nil {
		return nil, fail(ctx, code.EndpointRefused, err)
	}
	if err := call.HandOver(); err != nil {
		p.put(c)
		return nil, err
	}
	a := &Answer{pool: p, dialect: p.opt.Dialect, conn: c, call: call, ctx: ctx}
	a.timer = time.AfterFunc(call.FirstByte, a.giveUp)
	if err := a.start(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (a *Answer) start() error {
	resp, err := a.conn.cc.RoundTrip(a.call.request(a.ctx, a.dialect))
	if err != nil {
		return a.fail(code.EndpointLost, code.FirstByteTimeout, err)
	}
	a.timer.Reset(a.call.Idle)
	a.resp = resp
	if err := a.check(); err != nil {
		return err
	}
	a.Status = resp.StatusCode
	if a.dialect.Leaving(resp.StatusCode, resp.Header) {
		a.pool.TellLeaving(a.call.Endpoint)
	}
	a.Length = resp.ContentLength
	if a.Length < 0 || a.Length > wholeBytes || a.call.Stream {
		return nil
	}
	if a.whole, err = a.readWhole(); err != nil {
		return err
	}
	a.finish()
	return nil
}

// readWhole reads a body of known length up to its end.
func (a *Answer) readWhole() ([]byte, error) {
	if a.resp.Body == http.NoBody {
		return nil, nil
	}
	body := make([]byte, a.Length+1) // one more byte to see the end
	n, err := io.ReadFull(a.body(), body)
	// Not errors.Is: a coded error of a cut body wraps such an error too.
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return body[:n], nil
	}
	return nil, err
}

// check refuses an answer that is another request's or has no marked end.
func (a *Answer) check() error {
	dialect := a.dialect
	id := a.resp.Header.Get(dialect.IDHeader)
	// A server that was not meant knows nothing of the request.
	mustEcho := (a.call.MustEcho || a.conn.host.echoes.Load()) && a.resp.StatusCode != http.StatusMisdirectedRequest
	if id != a.call.ID && (id != "" || mustEcho) {
		return code.New(code.AnswerMismatch, "endpoint %s answered another request", a.call.Addr)
	}
	if a.resp.StatusCode == http.StatusSwitchingProtocols {
		return code.New(code.EndpointLost, "endpoint %s switched protocols", a.call.Addr)
	}
	if id != "" {
		a.conn.host.echoes.Store(true)
	}
	if err := a.checkContent(dialect); err != nil {
		return err
	}
	marked := a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
	if !marked && a.resp.Body != http.NoBody {
		return code.New(code.AnswerTruncated, "endpoint %s does not mark the end of its answer", a.call.Addr)
	}
	return nil
}

// checkContent refuses an answer whose body is not the endpoint's own.
func (a *Answer) checkContent(d Dialect) error {
	h := a.resp.Header
	success := a.resp.StatusCode >= 200 && a.resp.StatusCode < 300
	switch {
	case d.StampHeader != "" && success && h.Get(d.StampHeader) == "":
		return code.New(code.AnswerMismatch, "endpoint %s answered without its stamp", a.call.Addr)
	case d.Strict && h.Get("Content-Encoding") != "":
		return code.New(code.AnswerMismatch, "endpoint %s encoded its answer", a.call.Addr)
	}
	return nil
}

func (call *Call) request(ctx context.Context, d Dialect) *http.Request {
	h := call.Header
	h[d.IDHeader] = []string{call.ID}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method:        call.Method,
		URL:           &url.URL{Scheme: "http", Host: call.Addr, Path: call.Path, RawPath: call.RawPath, RawQuery: call.RawQuery},
		Host:          call.Host,
		Header:        h,
		Body:          http.NoBody,
		ContentLength: int64(len(call.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(call.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return r.WithContext(ctx)
}

// fail makes the error of an attempt. When ctx was ended for a coded reason,
// that is the error; when the request's time ran out or its caller went away,
// the code says so rather than blame the endpoint.
func fail(ctx context.Context, n code.Number, err error) error {
	cause := context.Cause(ctx)
	var coded *code.Error
	switch {
	case errors.As(cause, &coded):
		return coded
	case errors.Is(cause, context.DeadlineExceeded):
		n = code.FirstByteTimeout
	case errors.Is(cause, context.Canceled):
		n = code.CallerTimeout
	}
	return code.Wrap(n, err, "%s", code.Lookup(n).Name)
}
