package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// bareForwarder returns a handler that forwards requests to the endpoints in
// round-robin order and uses only net/http.
func bareForwarder(addrs []string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	var next atomic.Uint64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addr := addrs[next.Add(1)%uint64(len(addrs))]
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+"/do", r.Body)
		req.ContentLength = r.ContentLength
		resp, err := transport.RoundTrip(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

type alwaysFresh struct{}

func (alwaysFresh) Fresh(time.Duration) bool { return true }

// serviceChain returns the filter chain of services. It closes its connections
// when ctx ends.
func serviceChain(ctx context.Context, addrs []string, teams int) http.Handler {
	views := view.NewStore()
	views.Update(func(v *view.View) { v.SetConfig(state(addrs, teams)) })
	var inFlight atomic.Int64
	never := func() bool { return false }
	return &filter.Entry{
		Views: views, Clock: clock.Boot{}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		RequestTime:    time.Minute,
		OtherInstances: func() []string { return nil },
		Chain: filter.Chain(
			newAttempt(ctx, views),
			filter.Admission{InFlight: &inFlight, MaxInFlight: 4_000, Leaving: never, Draining: never},
			filter.Service{},
			filter.Fresh{Freshness: alwaysFresh{}, Clock: clock.Boot{}},
			filter.Identify{},
			filter.Authorise{},
			filter.Body{MaxBytes: 1 << 20, Timeout: time.Minute},
			filter.Secret{},
		),
	}
}

// newAttempt returns the last filter of the chain, with its own connection pool.
func newAttempt(ctx context.Context, views *view.Store) *filter.Attempt {
	pool := attempt.NewPool(attempt.DefaultOptions())
	go func() { _ = pool.Run(ctx) }()
	return &filter.Attempt{
		Views: views, Pool: pool, Scope: tally.NoopScope, MaxResponseBytes: 1 << 30,
		Revocations: filter.NewRevocations(filter.RevocationsOptions{
			Views: views, Freshness: alwaysFresh{}, Clock: clock.Boot{},
		}),
		Suspects:  filter.NewSuspects(filter.SuspectsOptions{Instance: "i", Clock: clock.Boot{}, Views: views, Scope: tally.NoopScope}),
		Freshness: alwaysFresh{}, Clock: clock.Boot{},
		Dispatcher: dispatch.New(dispatch.Options{
			Views: views, Clock: clock.Boot{}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			Queue: fairqueue.DefaultOptions(), Limit: limit.DefaultOptions(),
		}),
		FirstByteTimeout: time.Minute, IdleTimeout: time.Minute,
	}
}

// state returns a configuration with one service on all endpoints and one key
// for each team.
func state(addrs []string, teams int) *config.State {
	c := config.NewState()
	c.Services["s"] = config.Service{
		Meta: config.Meta{Name: "s"}, Type: config.ServicePlain, Idempotent: true, Endpoints: label.MustParse(""),
	}
	for i, addr := range addrs {
		name := fmt.Sprint(i)
		c.Endpoints[name] = config.Endpoint{Meta: config.Meta{Name: name}, Addr: addr}
	}
	for i := range teams {
		name := fmt.Sprint(i)
		c.Teams[name] = config.Team{Meta: config.Meta{Name: name}}
		c.Keys[name] = config.Key{Meta: config.Meta{Name: name}, Team: name, Digest: view.Digest(teamKey(i))}
	}
	return c
}
