package attempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/code"
)

// maxBufferedBody bounds, in bytes, the responses that are read completely
// before they are forwarded, so that a slow reader does not occupy the endpoint
// and a truncated response can be requested again.
const maxBufferedBody = 64 << 10

// maxHeadBytes bounds the head of a response, in bytes.
const maxHeadBytes = 64 << 10

// Kind is what a request to an endpoint is for. It is the value of a metric's tag.
type Kind string

// The kinds of requests.
const (
	KindRequest Kind = "request" // the first attempt of a caller's request
	KindRetry   Kind = "retry"   // a later attempt
	KindScore   Kind = "score"   // a call to a scoring service
	KindSample  Kind = "sample"  // the generation of a sample
	KindControl Kind = "control" // a report or an order, which needs no permit
)

// Call is one attempt of a request at one endpoint.
type Call struct {
	// Endpoint is the endpoint's name. It is passed to the function set with
	// Pool.OnLeaving.
	Endpoint string
	// Kind is what the request is for.
	Kind Kind
	// Addr is the endpoint's IP address and port, and Host the value of the
	// Host header; empty means Addr.
	Addr   string
	Host   string
	Method string
	// Target is the path and the query as they stand in the request line. It must be
	// valid according to CheckTarget.
	Target string
	// Header is sent without filtering; create it with RequestHeader.
	Header http.Header
	Body   []byte
	// ID is the request's ID, which may be sent more than once. A response that echoes
	// another ID is rejected.
	ID string
	// RequireID rejects responses without an ID. If it is not set, a response
	// without an ID is rejected only if the endpoint has sent an ID before.
	RequireID bool
	// Stream is set if the response is a stream of engine.Chunk lines, which is
	// complete only if its last line has Done set.
	Stream bool
	// NewConnection requires a new connection. It is for attempts after one that failed,
	// because idle connections may be broken without a sign of it.
	NewConnection bool
	// AtMostOnce marks a request that must not run twice.
	AtMostOnce bool
	// FirstByteTimeout bounds the wait for the response, and IdleTimeout the
	// wait for data within it.
	FirstByteTimeout time.Duration
	IdleTimeout      time.Duration
	// KeepWaiting, if set, is called when one of the timeouts has passed. If it
	// returns true, the attempt waits as long once more. It is called in a goroutine of
	// its own.
	KeepWaiting func() bool
	// Handoff is called before the first byte can be sent. An error ends the
	// attempt.
	Handoff func() error
}

// Do makes the attempt and returns the response, whose body may still be
// incomplete. Errors are of type *code.Error. If the cause of ctx is one, Do
// returns it. An error of Call.Handoff is returned unchanged.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, error) {
	maxIdle := p.opt.MaxIdleTime
	if call.AtMostOnce {
		maxIdle = p.opt.MaxIdleTimeAtMostOnce
	}
	c, err := p.get(ctx, call, maxIdle)
	if err != nil {
		return nil, fail(ctx, code.EndpointRefused, err)
	}
	if err := call.Handoff(); err != nil {
		p.put(c)
		return nil, err
	}
	c.carried.add(p.hash(call.ID))
	p.ReportSend(call.Endpoint, call.Kind)
	r := &Response{pool: p, dialect: p.opt.Dialect, conn: c, call: call, ctx: ctx, handedOff: p.opt.Clock.Now(), ownsConn: true}
	r.silence.keepWaiting, r.silence.expired = call.KeepWaiting, r.timeOut
	r.silence.start(call.FirstByteTimeout)
	if err := r.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Response) start() error {
	r.conn.raw.beginHead()
	resp, err := r.conn.cc.RoundTrip(r.call.request(r.ctx, r.dialect))
	if err == nil {
		r.headHold, err = r.conn.raw.endHead()
	}
	if err != nil {
		return r.fail(code.EndpointLost, code.FirstByteTimeout, err)
	}
	r.silence.start(r.call.IdleTimeout)
	r.resp = resp
	if err := r.check(); err != nil {
		return err
	}
	r.Status = resp.StatusCode
	if r.dialect.Leaving(resp.StatusCode, resp.Header) {
		r.pool.ReportLeaving(r.call.Endpoint)
	}
	r.pool.ReportRateLimit(r.call.Endpoint, resp.StatusCode, resp.Header, r.handedOff)
	r.Length = resp.ContentLength
	if r.Length < 0 || r.Length > maxBufferedBody || r.call.Stream || !r.holdBody() {
		return nil
	}
	if r.buffered, err = r.readBuffered(); err != nil {
		return err
	}
	r.finish()
	return nil
}

// holdBody reserves the memory of a body that is read before it is forwarded. It
// reports false if the body does not fit.
func (r *Response) holdBody() bool {
	r.bodyHold = r.pool.OpenHold(nil)
	return r.bodyHold.Grow(r.Length) && r.bodyHold.Complete()
}

// readBuffered reads a body of known length to its end.
func (r *Response) readBuffered() ([]byte, error) {
	if r.resp.Body == http.NoBody {
		return nil, nil
	}
	body := make([]byte, r.Length+1) // one more byte, to read up to io.EOF
	n, err := io.ReadFull(r.body(), body)
	// Not errors.Is: the *code.Error of a truncated body wraps such an error too.
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return body[:n], nil
	}
	return nil, err
}

// check rejects a response that belongs to another request or whose end is not
// marked.
func (r *Response) check() error {
	dialect := r.dialect
	id := r.resp.Header.Get(dialect.IDHeader)
	// An endpoint that the request was not meant for need not echo its ID.
	mustEcho := (r.call.RequireID || r.conn.host.echoesID.Load()) && r.resp.StatusCode != http.StatusMisdirectedRequest
	if id != r.call.ID && (id != "" || mustEcho) {
		return code.New(code.AnswerMismatch, "endpoint %s answered another request", r.call.Addr)
	}
	if r.resp.StatusCode == http.StatusSwitchingProtocols {
		return code.New(code.EndpointLost, "endpoint %s switched protocols", r.call.Addr)
	}
	if err := checkHead(r.resp); err != nil {
		return code.Wrap(code.AnswerInvalid, err, "endpoint %s: %v", r.call.Addr, err)
	}
	if id != "" {
		r.bearsID = true
		r.conn.host.echoesID.Store(true)
	}
	if err := r.checkContent(dialect); err != nil {
		return err
	}
	marked := r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0
	if !marked && r.resp.Body != http.NoBody {
		return code.New(code.AnswerTruncated, "endpoint %s does not mark the end of its answer", r.call.Addr)
	}
	return nil
}

// checkContent rejects a response without the required stamp or with an encoded
// body: the endpoint itself did not write such a response.
func (r *Response) checkContent(d Dialect) error {
	h := r.resp.Header
	success := r.resp.StatusCode >= 200 && r.resp.StatusCode < 300
	switch {
	case d.StampHeader != "" && success && h.Get(d.StampHeader) == "":
		return code.New(code.AnswerMismatch, "endpoint %s answered without its stamp", r.call.Addr)
	case d.Strict && h.Get("Content-Encoding") != "":
		return code.New(code.AnswerMismatch, "endpoint %s encoded its answer", r.call.Addr)
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
		URL:           targetURL(call.Addr, call.Target),
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

// fail returns the error of an attempt. If the cause of ctx is a *code.Error,
// fail returns that error. If the request's time ran out or its caller
// disconnected, the code indicates that instead of an endpoint failure.
// Otherwise the code is n.
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
