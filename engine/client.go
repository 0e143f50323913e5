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
	"github.com/cumincove/cumincove/lease"
	"github.com/google/uuid"
)

var (
	// ErrNotRun is returned when the engine did not receive the request, or
	// refused it.
	ErrNotRun = errors.New("engine: request not run")
	// ErrTruncated is returned when a stream ends without its last chunk.
	ErrTruncated = errors.New("engine: stream is truncated")
	// ErrIDMismatch is returned when the response belongs to another request.
	ErrIDMismatch = errors.New("engine: response to another request")
	// ErrChunkTimeout is returned when the engine sends no chunk within the
	// timeout.
	ErrChunkTimeout = errors.New("engine: no chunk within the timeout")
)

// maxResponseBytes bounds a response that is not a stream, and maxKVBytes that with a KV
// cache, in bytes.
const (
	maxResponseBytes = 1 << 20
	maxKVBytes       = 256 << 20
)

// Client is a client of the engines' protocol. With connections of type
// *lease.Conn, the guard of a call's context (see infra.WithGuard) is checked at
// each write.
type Client struct {
	HTTP *http.Client
	// FirstChunkTimeout bounds the wait for the first chunk of a stream,
	// ChunkTimeout the wait between two chunks, and CallTimeout any other call.
	FirstChunkTimeout time.Duration
	ChunkTimeout      time.Duration
	CallTimeout       time.Duration
}

// Generate runs a request and calls onChunk for every chunk of its stream, in
// order. It returns nil after the last chunk, or when onChunk returns false. In
// that case the rest of the stream is dropped.
func (c *Client) Generate(ctx context.Context, addr, id string, r GenerateRequest, onChunk func(Chunk) bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.FirstChunkTimeout, func() { cancel(ErrChunkTimeout) })
	defer timer.Stop()

	resp, err := c.send(ctx, http.MethodPost, addr, "/v1/generate", id, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := &chunkReader{r: resp.Body, remaining: maxChunkBytes}
	dec := json.NewDecoder(body)
	for {
		var chunk Chunk
		if err := dec.Decode(&chunk); err != nil {
			return streamError(ctx, err)
		}
		timer.Reset(c.ChunkTimeout)
		body.remaining = maxChunkBytes
		if !onChunk(chunk) || chunk.Done {
			return nil
		}
	}
}

// maxChunkBytes bounds the bytes read for one chunk of a stream.
const maxChunkBytes = 1 << 20

var errChunkTooLong = errors.New("chunk is too long")

// chunkReader reads up to a number of bytes that is reset before each chunk.
type chunkReader struct {
	r         io.Reader
	remaining int
}

// Read returns errChunkTooLong once no bytes remain.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errChunkTooLong
	}
	n, err := c.r.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return fmt.Errorf("%w: %w", ErrTruncated, err)
}

// Cancel stops a request.
func (c *Client) Cancel(ctx context.Context, addr, requestID string) error {
	return c.call(ctx, http.MethodPost, addr, "/v1/cancel", CancelRequest{RequestID: requestID}, nil)
}

// Order sends an order. It returns infra.ErrStaleEpoch when the engine has
// received a higher fencing token. After any other error except ErrNotRun, the
// order may have been carried out.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.call(ctx, http.MethodPost, addr, "/v1/orders", o, nil)
}

// Load returns the engine's report of its load.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, addr, "/v1/load", nil, &l)
	return l, err
}

// ExportKV returns the KV cache of a request.
func (c *Client) ExportKV(ctx context.Context, addr, requestID string) (KV, error) {
	var kv KV
	err := c.callUpTo(ctx, maxKVBytes, http.MethodPost, addr, "/v1/kv/export", KVRequest{RequestID: requestID}, &kv)
	return kv, err
}

// ImportKV sends a KV cache to an engine. Requests refer to it by its handle.
func (c *Client) ImportKV(ctx context.Context, addr string, kv KV) error {
	return c.call(ctx, http.MethodPost, addr, "/v1/kv/import", kv, nil)
}

func (c *Client) call(ctx context.Context, method, addr, path string, in, out any) error {
	return c.callUpTo(ctx, maxResponseBytes, method, addr, path, in, out)
}

// callUpTo makes a call that is no stream and reads up to limit bytes of its response. Its
// ID is new, whatever the call is about, so that no answer to an earlier call can be taken
// for its own.
func (c *Client) callUpTo(ctx context.Context, limit int64, method, addr, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, addr, path, uuid.NewString(), in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, limit)
	if out == nil {
		_, err = io.Copy(io.Discard, body)
		return err
	}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return fmt.Errorf("decode response to %s: %w", path, err)
	}
	return nil
}

// send sends a request and returns the engine's response. It returns an error if
// the response is not a successful one.
func (c *Client) send(ctx context.Context, method, addr, path, id string, in any) (*http.Response, error) {
	var connected bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected = true
		if c, ok := info.Conn.(*lease.Conn); ok {
			c.SetCheck(func() error { return infra.Guard(ctx) })
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
	if err := checkResponse(resp, id); err != nil {
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
	req.GetBody = nil // the transport must not resend the request
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func checkResponse(resp *http.Response, id string) error {
	if resp.Header.Get(RequestIDHeader) != id {
		return ErrIDMismatch
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return infra.ErrStaleEpoch
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrNotRun, resp.StatusCode)
	case resp.StatusCode < 200 || resp.StatusCode >= 300:
		return fmt.Errorf("engine: status %d", resp.StatusCode)
	}
	return nil
}
