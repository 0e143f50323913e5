package filter

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/internal/memnet"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// testBed is one endpoint that counts the requests that it runs, and the last
// handler of the chain, on an in-memory network.
type testBed struct {
	net   *memnet.Network
	runs  int
	conns int
	sent  int
	h     *Attempt
	views *view.Store
	clock clock.Clock
	stop  func()
}

func newTestBed(t *testing.T) *testBed {
	b := &testBed{net: memnet.New(), clock: clock.NewMonotonic(), views: view.NewStore()}
	l, err := b.net.Host("endpoint").Listen("tcp", "endpoint:1")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.runs++
		w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
		_, _ = io.WriteString(w, "answer")
	})}
	go srv.Serve(l)
	c := config.NewState()
	c.Services["s"] = config.Service{Meta: config.Meta{Name: "s"}, Open: true, Endpoints: label.MustParse("")}
	c.Endpoints["e"] = config.Endpoint{Meta: config.Meta{Name: "e"}, Addr: "endpoint:1"}
	b.views.Update(func(v *view.View) { v.SetConfig(c) })
	host := b.net.Host("instance")
	opt := attempt.DefaultOptions()
	opt.Clock = b.clock
	opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		b.conns++
		return host.Dial(ctx, network, addr)
	}
	ctx, cancel := context.WithCancel(context.Background())
	pool := attempt.NewPool(opt)
	go func() { _ = pool.Run(ctx) }()
	b.stop = func() {
		cancel()
		srv.Close()
	}
	b.h = &Attempt{
		Views: b.views, Pool: pool, Suspects: NewSuspects(SuspectsOptions{Instance: "i", Clock: b.clock, Views: b.views, Scope: tally.NoopScope}), Clock: b.clock, Scope: tally.NoopScope, MaxResponseBytes: 1 << 30,
		Dispatcher: dispatch.New(dispatch.Options{
			Views: b.views, Clock: b.clock, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			Queue: fairqueue.DefaultOptions(), Limit: limit.DefaultOptions(),
		}),
		FirstByteTimeout: 30 * time.Second, IdleTimeout: 15 * time.Second,
	}
	return b
}

// send sends one request and returns the response body and how long it took.
func (b *testBed) send(idempotent bool) (string, time.Duration, error) {
	v := b.views.Load()
	s := v.Config.Services["s"]
	s.Idempotent = idempotent
	now := b.clock.Now()
	b.sent++
	w := httptest.NewRecorder()
	err := b.h.ServeHTTP(w, &Request{
		Request: httptest.NewRequest("POST", "/do", strings.NewReader("")), ID: fmt.Sprint("id", b.sent), View: v, Service: s, Path: "/do",
		Body: []byte("body"), Arrived: now, Deadline: now + 5*time.Minute, Log: slog.New(slog.DiscardHandler),
	})
	return w.Body.String(), b.clock.Now() - now, err
}

// TestSilentConnection checks the requests that are sent after the idle connections
// to an endpoint have become unresponsive. An idempotent request is retried on a
// new connection; a request that is not idempotent fails with effect code.MaybeRun.
func TestSilentConnection(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(t)
			defer b.stop()
			if body, _, err := b.send(idempotent); err != nil || body != "answer" {
				t.Fatalf("first request: %q, %v", body, err)
			}
			b.net.Silence("instance", "endpoint")
			body, took, err := b.send(idempotent)
			if idempotent && (err != nil || body != "answer" || took > 35*time.Second) {
				t.Errorf("idempotent request: %q after %v, %v", body, took, err)
			}
			if !idempotent && (err == nil || asCode(err).Info().Effect != code.MaybeRun || b.runs != 1) {
				t.Errorf("non-idempotent request: error %v, ran %d times", err, b.runs)
			}
			if body, took, err := b.send(idempotent); err != nil || body != "answer" || took > time.Second {
				t.Errorf("next request: %q after %v, %v", body, took, err)
			}
			if b.conns != 2 {
				t.Errorf("%d connections, want 2", b.conns)
			}
		})
	}
}
