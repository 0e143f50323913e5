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

// TestGuardAtWrite lets a lease end after any number of checks: no order is
// executed, and the pool of connections stays usable.
func TestGuardAtWrite(t *testing.T) {
	var executed atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return // the platform executes nothing without the whole body
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
		left := passed
		ctx := infra.WithGuard(context.Background(), func() error {
			if left--; left < 0 {
				return lease.ErrNotHeld
			}
			return nil
		})
		err := p.Endpoints.Order(ctx, order)
		if err == nil {
			break
		}
		if !errors.Is(err, lease.ErrNotHeld) || !errors.Is(err, infra.ErrUnavailable) {
			t.Fatalf("lease over after %d checks: %v", passed, err)
		}
		if executed.Load() != 0 {
			t.Fatalf("lease over after %d checks: order executed", passed)
		}
		passed++
	}
	if passed < 2 {
		t.Fatalf("%d checks on the way, want one at the body and one at the write", passed)
	}
	if err := p.Endpoints.Order(context.Background(), order); err != nil || executed.Load() != 2 {
		t.Fatalf("an order without guard: %v, %d executed", err, executed.Load())
	}
}

// TestUncertain: only a connection that never was and an answer that names the
// failure prove that a write had no effect.
func TestUncertain(t *testing.T) {
	bare := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer bare.Close()
	nobody := httptest.NewServer(nil)
	nobody.Close()
	for url, want := range map[string]error{
		bare.URL:   infra.ErrUnknownOutcome,
		nobody.URL: infra.ErrUnavailable,
	} {
		p := httpapi.New(url, nil, "")
		if err := p.Table.Commit(context.Background(), infra.Put("a", nil)); !errors.Is(err, want) {
			t.Errorf("write: %v, want %v", err, want)
		}
		if _, err := p.Table.Get(context.Background(), "a"); !errors.Is(err, infra.ErrUnavailable) {
			t.Errorf("read: %v", err)
		}
	}
}
