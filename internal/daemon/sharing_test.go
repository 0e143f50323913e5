package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/label"
)

// TestRemoteUsageCounts: one team keeps requests waiting at four instances,
// another team at one of them. At that instance the second team must be served
// at least twice as often as the first. Without the usage at the other
// instances, its queue would serve both teams equally.
func TestRemoteUsageCounts(t *testing.T) {
	sys := systemtest.Start(t, daemontest.Options{DataCentres: []string{"dc-a", "dc-a", "dc-a", "dc-a"}})
	b := &testbed{t: t, sys: sys, ops: systemtest.OperatorClient(sys.Instances[0], http.DefaultClient)}
	_, object, err := sys.AddEngine("engine", "dc-a", map[string]string{"app": "engine"},
		fakeengine.Options{MaxRunning: 6, Version: 1, TokenDelay: 4 * time.Millisecond})
	b.check(err)
	put := teams()
	put.Services = []config.Service{{Meta: config.Meta{Name: "tagger"}, Type: config.ServiceEngine, Endpoints: label.MustParse("app=engine")}}
	put.Endpoints = []config.Endpoint{object}
	b.apply(put)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	var answered [2]atomic.Int64 // by team, at the instance where both wait
	flood := func(instance, team int, key string) {
		for range 30 {
			callers.Go(func() {
				for ctx.Err() == nil {
					if generate(ctx, sys.Instances[instance], key) && instance == 0 {
						answered[team].Add(1)
					}
				}
			})
		}
	}
	for i := range sys.Instances {
		flood(i, 0, coachKey)
	}
	flood(0, 1, otherKey)
	const window = 200
	b.eventually("the second team is served twice as often", func() bool {
		first, second := answered[0].Load(), answered[1].Load()
		if first+second < window {
			return false
		}
		t.Logf("answered: %d and %d", first, second)
		answered[0].Store(0)
		answered[1].Store(0)
		return second >= 2*first
	})
}

// generate sends one request and reports whether the response was complete.
func generate(ctx context.Context, in *daemontest.Instance, key string) bool {
	return generateTokens(ctx, in, key, 5) == http.StatusOK
}

// generateTokens requests the number of tokens. It returns the status of a
// complete response, or zero.
func generateTokens(ctx context.Context, in *daemontest.Instance, key string, tokens int) int {
	url := fmt.Sprintf("http://%s/v1/services/tagger/v1/generate", in.Settings.Listen.Callers)
	body := fmt.Sprintf(`{"prompt": "x", "max_tokens": %d, "seed": 1}`, tokens)
	r, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestTeamLimitIsBorrowed: two instances share a limit of 12, and all callers
// use one of them. It soon has more than its half in flight, and never more
// than 12.
func TestTeamLimitIsBorrowed(t *testing.T) {
	b := newTestbed(t)
	put := config.Objects{Teams: []config.Team{{Meta: config.Meta{Name: "coaches"}, MaxInFlight: 12}}}
	for _, in := range b.sys.Instances {
		put.Members = append(put.Members, config.Member{Meta: config.Meta{Name: in.Settings.Name}, DataCentre: in.Settings.DataCentre})
	}
	b.apply(put)
	b.eventually("capacity borrowed", func() bool {
		n := b.sendConcurrently(24)
		t.Logf("%d of 24 concurrent requests answered", n)
		if n > 12 && n < 24 {
			t.Errorf("%d concurrent requests answered, limit is 12", n)
		}
		return n > 8 && n <= 12
	})
}

// sendConcurrently sends n concurrent requests to the engine and returns the
// number of those that were answered.
func (b *testbed) sendConcurrently(n int) int {
	ctx, cancel := context.WithTimeout(b.t.Context(), 10*time.Second)
	defer cancel()
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if generateTokens(ctx, b.sys.Instances[0], coachKey, 30) == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return int(answered.Load())
}

// TestFaultyEndpointGetsFewRequests: an endpoint that immediately responds to
// every request with status 500, next to three healthy ones, gets few requests
// after the first failures.
func TestFaultyEndpointGetsFewRequests(t *testing.T) {
	b := newTestbed(t)
	var received atomic.Int64
	faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(faulty.Close)
	b.apply(config.Objects{Endpoints: []config.Endpoint{{
		Meta: config.Meta{Name: "faulty", Labels: label.Set{"app": "plain"}}, DataCentre: "dc-a",
		Addr: strings.TrimPrefix(faulty.URL, "http://"),
	}}})
	b.eventually("the endpoint receives a request", func() bool {
		b.countFailures("probe")
		return received.Load() > 0
	})
	failed := 0
	const requests = 400
	for i := 0; i < requests; i += concurrency {
		failed += b.countFailures(fmt.Sprintf("load %d", i))
	}
	t.Logf("%d of %d requests failed, the faulty endpoint received %d requests", failed, requests, received.Load())
	if failed > requests/10 {
		t.Errorf("%d of %d requests failed", failed, requests)
	}
}

// concurrency is the number of requests that are sent at the same time.
// Sequential requests would all go to the endpoint to which a connection is
// open.
const concurrency = 8

// countFailures sends concurrent requests and returns the number of those that
// failed.
func (b *testbed) countFailures(body string) int {
	var failed atomic.Int64
	var wg sync.WaitGroup
	for i := range concurrency {
		wg.Go(func() {
			if b.send(0, "again", coachKey, fmt.Sprint(body, " ", i), nil).status != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	return int(failed.Load())
}

// apply commits a change of the configuration. It retries until the change
// succeeds.
func (b *testbed) apply(put config.Objects) {
	b.t.Helper()
	b.eventually("apply", func() bool {
		_, err := b.ops.Change(context.Background(), api.ChangeRequest{Put: put})
		return err == nil
	})
}
