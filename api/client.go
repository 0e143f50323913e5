package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cumincove/cumincove/config"
)

// Client calls the operators' interface of one instance.
type Client struct {
	// BaseURL is the address at which the instance serves operators, for example
	// "http://127.0.0.1:7003".
	BaseURL string
	// Operator is the operator's name for the audit trail.
	Operator string
	// Token is the operators' token; empty means none.
	Token string
	HTTP  *http.Client
}

// RemoteError is an error response of the instance.
type RemoteError struct {
	Status int
	Body   Error
}

// Error returns the code, its name and the message.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Body.Code, e.Body.Name, e.Body.Message)
}

// Change applies a change. With DryRun it only returns the differences that the
// change would make.
func (c *Client) Change(ctx context.Context, r ChangeRequest) (ChangeResponse, error) {
	return call[ChangeResponse](ctx, c, http.MethodPost, "/v1/changes", r)
}

// Objects lists the objects of a kind that match a selector. An empty kind
// means all kinds.
func (c *Client) Objects(ctx context.Context, kind config.Kind, selector string) (Objects, error) {
	q := url.Values{"kind": {string(kind)}, "selector": {selector}}
	return call[Objects](ctx, c, http.MethodGet, "/v1/objects?"+q.Encode(), nil)
}

// Status returns the state of the system as the instance has observed it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// CreateKey creates a key. The key itself is contained only in this response.
func (c *Client) CreateKey(ctx context.Context, r KeyRequest) (KeyResponse, error) {
	return call[KeyResponse](ctx, c, http.MethodPost, "/v1/keys", r)
}

// WithdrawKey withdraws a key permanently.
func (c *Client) WithdrawKey(ctx context.Context, name string) (WithdrawResponse, error) {
	return call[WithdrawResponse](ctx, c, http.MethodPost, "/v1/keys/"+url.PathEscape(name)+"/withdraw", nil)
}

// Audit returns the page of the audit trail that follows a version.
func (c *Client) Audit(ctx context.Context, after uint64, limit int) (AuditPage, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
	return call[AuditPage](ctx, c, http.MethodGet, "/v1/audit?"+q.Encode(), nil)
}

// Drain makes the instance leave without ending its process. The instance refuses
// new requests once callers no longer keep its address.
func (c *Client) Drain(ctx context.Context) (DrainResponse, error) {
	return call[DrainResponse](ctx, c, http.MethodPost, "/v1/drain", nil)
}

// Usage returns the usage of the window that starts at window, in Unix
// seconds. Zero means the newest sealed window.
func (c *Client) Usage(ctx context.Context, window int64) (Usage, error) {
	q := url.Values{"window": {strconv.FormatInt(window, 10)}}
	return call[Usage](ctx, c, http.MethodGet, "/v1/usage?"+q.Encode(), nil)
}

// Steps lists the rollout steps that the instance has information about.
func (c *Client) Steps(ctx context.Context) (Steps, error) {
	return call[Steps](ctx, c, http.MethodGet, "/v1/steps", nil)
}

func call[Resp any](ctx context.Context, c *Client, method, path string, body any) (Resp, error) {
	var resp Resp
	data, err := json.Marshal(body)
	if err != nil {
		return resp, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(data))
	if err != nil {
		return resp, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(OperatorHeader, c.Operator)
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	r, err := c.HTTP.Do(req)
	if err != nil {
		return resp, err
	}
	defer r.Body.Close()
	if r.StatusCode < 200 || r.StatusCode >= 300 {
		return resp, remoteError(r)
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(&resp); err != nil {
		return resp, fmt.Errorf("decode response: %w", err)
	}
	return resp, nil
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

func remoteError(r *http.Response) error {
	e := &RemoteError{Status: r.StatusCode}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(&e.Body); err != nil {
		e.Body.Message = r.Status
	}
	return e
}

// RetryAfter returns the time after which a retry can succeed. Zero means that
// the same request will fail again.
func (e *RemoteError) RetryAfter() time.Duration {
	return time.Duration(e.Body.RetryAfterMillis) * time.Millisecond
}
