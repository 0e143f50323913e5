package engine_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
)

// TestOrderIsCheckedAtTheWrite guards against an order that is sent after the lease was
// lost: the guard of the call's context is checked when its bytes are written.
func TestOrderIsCheckedAtTheWrite(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
	}))
	defer srv.Close()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return lease.NewConn(c), nil
	}}
	defer transport.CloseIdleConnections()
	c := &engine.Client{HTTP: &http.Client{Transport: transport}, CallTimeout: time.Minute}
	addr := strings.TrimPrefix(srv.URL, "http://")
	if err := c.Order(t.Context(), addr, engine.Order{ID: "o1"}); err != nil || received.Load() != 1 {
		t.Fatalf("order without a guard: %v, received %d", err, received.Load())
	}
	lost := errors.New("the lease is lost")
	ctx := infra.WithGuard(t.Context(), func() error { return lost })
	if err := c.Order(ctx, addr, engine.Order{ID: "o2"}); err == nil || received.Load() != 1 {
		t.Errorf("order without the lease: error %v, received %d orders, want an error and one", err, received.Load())
	}
}
