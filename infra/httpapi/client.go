package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/infra"
)

const (
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
	// maxErrorBytes bounds the body of an error response.
	maxErrorBytes = 4 << 10
)

type client struct {
	base  string
	http  *http.Client
	token string
}

// New returns a client for the platform's HTTP interface at baseURL. A nil
// client means one with default settings. An empty token means no token.
func New(baseURL string, hc *http.Client, token string) infra.Platform {
	if hc == nil {
		hc = &http.Client{}
	}
	noRedirects := *hc
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	c := &client{base: baseURL, http: &noRedirects, token: token}
	return infra.Platform{
		Table:     table{c},
		Objects:   objects{c},
		Instances: instances{c},
		Endpoints: endpoints{c},
		Usage:     usage{c},
	}
}

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

func (c call) isWrite() bool { return c.method != http.MethodGet }

// do sends a call and returns the body of the response.
func (c *client) do(ctx context.Context, k call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var gotConn atomic.Bool
	body := &guardedBody{ctx: ctx, r: bytes.NewReader(k.body)}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			gotConn.Store(true)
			setConnCheck(info.Conn, body.check)
		},
	})
	req, err := c.request(ctx, k, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if refused := body.refused.Load(); refused != nil {
		closeBody(resp)
		return nil, fmt.Errorf("%w: %w", infra.ErrUnavailable, *refused)
	}
	if err != nil {
		return nil, noResponseError(k, gotConn.Load(), err)
	}
	defer closeBody(resp)
	return readResponse(k, resp)
}

func (c *client) request(ctx context.Context, k call, body *guardedBody) (*http.Request, error) {
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	var r io.Reader
	if len(k.body) > 0 {
		r = body
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, r)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(k.body))
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// noResponseError returns the error for a call without a complete response. The
// outcome of a write is unknown once the request may have been sent.
func noResponseError(k call, sent bool, err error) error {
	if k.isWrite() && sent {
		return fmt.Errorf("%w: %w", infra.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
}

func readResponse(k call, resp *http.Response) ([]byte, error) {
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(k, resp)
	}
	if k.isWrite() {
		return nil, nil // the status is sufficient proof that the write was executed
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, noResponseError(k, true, err)
	}
	return data, nil
}

// statusError returns the error for a response with a status other than 200.
// Except for a 4xx status, only a body that names the failure proves that
// nothing was written, because an intermediary may also respond with 503.
func statusError(k call, resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return noResponseError(k, true, err)
	}
	var body ErrorBody
	if json.Unmarshal(data, &body) == nil {
		if sentinel, ok := sentinels[body.Error]; ok {
			return fmt.Errorf("%w: %s", sentinel, body.Detail)
		}
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return fmt.Errorf("%w: refused with status %d", infra.ErrUnavailable, resp.StatusCode)
	}
	return noResponseError(k, true, fmt.Errorf("status %d", resp.StatusCode))
}

func closeBody(resp *http.Response) {
	if resp == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
	_ = resp.Body.Close()
}

// guardedBody calls the context's guard immediately before the first byte of
// the body is read. The platform executes nothing until it has received the
// complete body.
type guardedBody struct {
	ctx     context.Context
	r       io.Reader
	checked bool
	refused atomic.Pointer[error]
}

func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.checked {
		b.checked = true
		if err := b.check(); err != nil {
			return 0, err
		}
	}
	return b.r.Read(p)
}

// check calls the context's guard and records its error.
func (b *guardedBody) check() error {
	err := infra.Guard(b.ctx)
	if err != nil {
		b.refused.Store(&err)
	}
	return err
}

func (c *client) get(ctx context.Context, path string, q url.Values, into any) error {
	data, err := c.do(ctx, call{method: http.MethodGet, path: path, query: q})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	return nil
}

func (c *client) post(ctx context.Context, path string, msg any) error {
	data, err := json.Marshal(msg)
	if err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	_, err = c.do(ctx, call{method: http.MethodPost, path: path, body: data})
	return err
}

type table struct{ *client }

func (t table) Get(ctx context.Context, key string) (infra.Row, error) {
	var row infra.Row
	err := t.get(ctx, "/v1/table/row", url.Values{"key": {key}}, &row)
	return row, err
}

func (t table) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows Rows
	err := t.get(ctx, "/v1/table/rows", q, &rows)
	return rows.Rows, err
}

func (t table) Commit(ctx context.Context, ops ...infra.Op) error {
	return t.post(ctx, "/v1/table/commit", CommitRequest{Ops: ops})
}

type objects struct{ *client }

const objectsPath = "/v1/objects"

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.do(ctx, call{http.MethodPut, objectsPath, url.Values{"name": {name}}, data})
	return err
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.do(ctx, call{http.MethodGet, objectsPath, url.Values{"name": {name}}, nil})
}

func (o objects) Delete(ctx context.Context, name string) error {
	_, err := o.do(ctx, call{http.MethodDelete, objectsPath, url.Values{"name": {name}}, nil})
	return err
}

type instances struct{ *client }

func (i instances) List(ctx context.Context) ([]infra.Instance, error) {
	var list InstanceList
	err := i.get(ctx, "/v1/instances", nil, &list)
	return list.Instances, err
}

type endpoints struct{ *client }

func (e endpoints) Order(ctx context.Context, o infra.EndpointOrder) error {
	return e.post(ctx, "/v1/endpoints/orders", o)
}

func (e endpoints) Observe(ctx context.Context, dataCentre string) ([]infra.RunningEndpoint, error) {
	var list EndpointList
	err := e.get(ctx, "/v1/endpoints", url.Values{"data_centre": {dataCentre}}, &list)
	return list.Endpoints, err
}

type usage struct{ *client }

func (u usage) Report(ctx context.Context, r infra.UsageReport) error {
	return u.post(ctx, "/v1/usage", r)
}
