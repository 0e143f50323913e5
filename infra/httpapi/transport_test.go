package httpapi_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/lease"
)

// TestGuardAtWrite ends a lease after each possible number of checks. No order
// must be executed, and the connection pool must remain usable.
func TestGuardAtWrite(t *testing.T) {
	var executed atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return // the platform executes nothing without the complete body
		}
		executed.Add(1)
		_, _ = w.Write([]byte("{}"))
	}))
	defer srv.Close()
	hc := &http.Client{Transport: httpapi.NewTransport(new(net.Dialer).DialContext)}
	p := httpapi.New(srv.URL, hc, "")
	order := infra.EndpointOrder{ID: "1"}
	passed := 0
	for {
		remaining := passed
		ctx := infra.WithGuard(context.Background(), func() error {
			if remaining--; remaining < 0 {
				return lease.ErrNotHeld
			}
			return nil
		})
		err := p.Endpoints.Order(ctx, order)
		if err == nil {
			break
		}
		if !errors.Is(err, lease.ErrNotHeld) || !errors.Is(err, infra.ErrUnavailable) {
			t.Fatalf("lease ended after %d checks: %v", passed, err)
		}
		if executed.Load() != 0 {
			t.Fatalf("lease ended after %d checks: order executed", passed)
		}
		passed++
	}
	if passed < 2 {
		t.Fatalf("guard called %d times, want one call for the body and one for the write", passed)
	}
	if err := p.Endpoints.Order(context.Background(), order); err != nil || executed.Load() != 2 {
		t.Fatalf("order without a guard: %v, %d executed", err, executed.Load())
	}
}

// TestUnknownOutcome checks that a write without a connection is known to have
// had no effect, while a 503 response that does not name the failure leaves the
// outcome unknown.
func TestUnknownOutcome(t *testing.T) {
	emptyBody := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer emptyBody.Close()
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	for url, want := range map[string]error{
		emptyBody.URL:   infra.ErrUnknownOutcome,
		unreachable.URL: infra.ErrUnavailable,
	} {
		p := httpapi.New(url, nil, "")
		if err := p.Table.Commit(context.Background(), infra.Put("a", nil)); !errors.Is(err, want) {
			t.Errorf("write returned %v, want %v", err, want)
		}
		if _, err := p.Table.Get(context.Background(), "a"); !errors.Is(err, infra.ErrUnavailable) {
			t.Errorf("read returned %v, want ErrUnavailable", err)
		}
	}
}
