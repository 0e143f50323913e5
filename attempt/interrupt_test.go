package attempt

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestInterruptAfterTheEnd guards against a request that fails because the memory of an
// earlier response, over the same connection, was evicted after that response's end.
func TestInterruptAfterTheEnd(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(DefaultDialect().IDHeader, r.Header.Get(DefaultDialect().IDHeader))
		_, _ = w.Write([]byte("ok"))
	}))
	defer srv.Close()
	opt := DefaultOptions()
	dials := 0
	opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	p := NewPool(opt)
	do := func(id string) *Response {
		t.Helper()
		resp, err := p.Do(t.Context(), &Call{
			Addr: strings.TrimPrefix(srv.URL, "http://"), Method: http.MethodGet, Target: "/", ID: id, Header: http.Header{},
			FirstByteTimeout: time.Minute, IdleTimeout: time.Minute, Handoff: func() error { return nil },
		})
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	first := do("a")
	first.Interrupt()
	second := do("b")
	if second.Status != http.StatusOK || dials != 1 {
		t.Errorf("status %d over %d connections, want 200 over one", second.Status, dials)
	}
	first.Close()
	second.Close()
}
