package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cumincove/cumincove/infra"
)

var (
	// ErrNotRun says that the engine never had the request, or refused it.
	ErrNotRun = errors.New("engine: not run")
	// ErrTruncated says that a stream ended without its last chunk.
	ErrTruncated = errors.New("engine: stream is truncated")
	// ErrMismatch says that the answer belongs to another request.
	ErrMismatch = errors.New("engine: answer to another request")
	// ErrSilent says that nothing came for too long.
	ErrSilent = errors.New("engine: silent")
)

// answerBytes bounds an answer that is not a stream, in bytes. It leaves room
// for an exported KV cache.
const answerBytes = 256 << 20

// Client speaks the protocol to engines. With connections of type *lease.Conn
// the guard of a call's context (see infra.WithGuard) is checked at each
// write.
type Client struct {
	HTTP *http.Client
	// FirstByte bounds the wait for the first chunk of a stream, Idle that
	// between two chunks, and Timeout any other call.
	FirstByte time.Duration
	Idle      time.Duration
	Timeout   time.Duration
}

// Generate runs a request and calls each for every chunk of its stream, in
// order. It returns nil after the last chunk, or when each returned false;
// what is left of the stream is dropped then.
func (c *Client) Generate(ctx context.Context, addr, id string, r GenerateRequest, each func(Chunk) bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(c.FirstByte, func() { cancel(ErrSilent) })
	defer watch.Stop()

	resp, err := c.send(ctx, http.MethodPost, addr, "/v1/generate", id, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := &chunkReader{r: resp.Body, left: chunkBytes}
	dec := json.NewDecoder(body)
	for {
		var chunk Chunk
		if err := dec.Decode(&chunk); err != nil {
			return streamError(ctx, err)
		}
		watch.Reset(c.Idle)
		body.left = chunkBytes
		if !each(chunk) || chunk.Done {
			return nil
		}
	}
}

// chunkBytes bounds what is read for one chunk of a stream.
const chunkBytes = 1 << 20

var errChunkTooLong = errors.New("chunk is too long")

// chunkReader reads up to a number of bytes, which is renewed with each chunk.
type chunkReader struct {
	r    io.Reader
	left int
}

// Read fails once the bytes are used up.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errChunkTooLong
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return fmt.Errorf("%w: %w", ErrTruncated, err)
}

// Cancel stops a request.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	return c.call(ctx, http.MethodPost, addr, "/v1/cancel", id, CancelRequest{RequestID: id}, nil)
}

// Order sends an order. It returns infra.ErrStaleEpoch when the engine has
// seen a higher fencing number. After any other error but ErrNotRun the order
// may have been carried out.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.call(ctx, http.MethodPost, addr, "/v1/orders", o.ID, o, nil)
}

// Load reads the engine's report of itself.
func (c *Client) Load(ctx context.Context, addr, id string) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, addr, "/v1/load", id, nil, &l)
	return l, err
}

// ExportKV reads the KV cache of a request.
func (c *Client) ExportKV(ctx context.Context, addr, id string) (KV, error) {
	var kv KV
	err := c.call(ctx, http.MethodPost, addr, "/v1/kv/export", id, KVRequest{RequestID: id}, &kv)
	return kv, err
}

// ImportKV gives an engine a KV cache, for use by its handle.
func (c *Client) ImportKV(ctx context.Context, addr, id string, kv KV) error {
	return c.call(ctx, http.MethodPost, addr, "/v1/kv/import", id, kv, nil)
}

func (c *Client) call(ctx context.Context, method, addr, path, id string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, err := c.send(ctx, method, addr, path, id, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, answerBytes)
	if out == nil {
		_, err = io.Copy(io.Discard, body)
		return err
	}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// checkedConn is a connection that calls a check before each write; see
// lease.Conn.
type checkedConn interface {
	Require(check func() error)
}

// send returns the engine's answer if it is a good one.
func (c *Client) send(ctx context.Context, method, addr, path, id string, in any) (*http.Response, error) {
	var connected bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected = true
		if c, ok := info.Conn.(checkedConn); ok {
			c.Require(func() error { return infra.Guard(ctx) })
		}
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, "http://"+addr+path, in)
	if err != nil {
		return nil, err
	}
	req.Header.Set(RequestIDHeader, id)
	resp, err := c.HTTP.Do(req)
	if err != nil && !connected {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if err != nil {
		return nil, streamError(ctx, err)
	}
	if err := checkAnswer(resp, id); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport must not send the request again by itself
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func checkAnswer(resp *http.Response, id string) error {
	if resp.Header.Get(RequestIDHeader) != id {
		return ErrMismatch
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return infra.ErrStaleEpoch
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrNotRun, resp.StatusCode)
	case resp.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("engine: status %d", resp.StatusCode)
	}
	return nil
}
