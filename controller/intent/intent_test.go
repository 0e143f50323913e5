package intent_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/intent"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/view"
)

const (
	poll      = 500 * time.Millisecond
	freshness = 4 * time.Second
)

// source implements infra.IntentSource and infra.Replicas with content and faults
// that the test sets.
type source struct {
	mu       sync.Mutex
	version  uint64
	replicas []infra.Replica
	down     bool
	slow     time.Duration
}

func (s *source) set(f func(s *source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *source) Read(ctx context.Context) (infra.Intent, error) {
	s.mu.Lock()
	version, slow, down := s.version, s.slow, s.down
	s.mu.Unlock()
	if down {
		return infra.Intent{}, infra.ErrUnavailable
	}
	time.Sleep(slow)
	c := config.NewState()
	c.Version = version
	return infra.Intent{Config: c, Weights: map[string]uint64{"m": version}}, ctx.Err()
}

func (s *source) List(context.Context) ([]infra.Replica, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, infra.ErrUnavailable
	}
	return s.replicas, nil
}

func replica(name string) infra.Replica {
	return infra.Replica{RunningEndpoint: infra.RunningEndpoint{Name: name, Service: "s", State: infra.EndpointRunning}}
}

type system struct {
	*intent.Controller
	views *view.Store
	clock clock.Clock
}

func start(t *testing.T, src *source) *system {
	s := &system{views: view.NewStore(), clock: clock.NewMonotonic()}
	s.Controller = intent.New(intent.Options{
		IntentSource: src, Replicas: src, Views: s.views, Clock: s.clock,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
		Poll: poll, Freshness: freshness,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	time.Sleep(2 * poll)
	return s
}

func (s *system) fresh() bool { return s.Fresh(s.clock.Now()) }

// TestFreshness checks that a configuration counts as current until the time
// freshness has passed since the start of the read that returned it, and that an
// older configuration is never installed.
func TestFreshness(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		src := &source{version: 7}
		s := start(t, src)
		if !s.fresh() || s.views.Load().Config.Version != 7 || s.WeightVersions()["m"] != 7 {
			t.Fatalf("fresh %v, version %d", s.fresh(), s.views.Load().Config.Version)
		}
		src.set(func(s *source) { s.version = 5 })
		time.Sleep(2 * poll)
		if got := s.views.Load().Config.Version; got != 7 {
			t.Errorf("got version %d after the store returned an older one, want 7", got)
		}
		src.set(func(s *source) { s.slow = 900 * time.Millisecond })
		time.Sleep(5 * time.Second)
		src.set(func(s *source) { s.down = true })
		time.Sleep(freshness - 500*time.Millisecond)
		if age, _ := s.Age(s.clock.Now()); age >= freshness && s.fresh() {
			t.Errorf("fresh at an age of %v", age)
		}
		time.Sleep(time.Second)
		if s.fresh() {
			t.Error("fresh without a read")
		}
		src.set(func(s *source) { s.down, s.slow = false, 0 })
		time.Sleep(2 * poll)
		if !s.fresh() {
			t.Error("not fresh after the outage of the store")
		}
	})
}

// TestEndpointsAfterAnOutage checks that endpoints whose entries expired while
// the store was unavailable are kept until running ones must have registered
// again, and no longer.
func TestEndpointsAfterAnOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		src := &source{version: 1, replicas: []infra.Replica{replica("a"), replica("b")}}
		s := start(t, src)
		count := func() int { return len(s.views.Load().AllEndpoints()) }
		src.set(func(s *source) { s.down = true })
		time.Sleep(10 * time.Second)
		src.set(func(s *source) { s.down, s.replicas = false, nil })
		time.Sleep(time.Second)
		if count() != 2 {
			t.Errorf("%d endpoints a second after the outage, want 2", count())
		}
		src.set(func(s *source) { s.replicas = []infra.Replica{replica("a")} })
		time.Sleep(3 * time.Second)
		if count() != 1 {
			t.Errorf("%d endpoints four seconds after the outage, want 1", count())
		}
		src.set(func(s *source) { s.replicas = nil })
		time.Sleep(2 * poll)
		if count() != 0 {
			t.Errorf("%d endpoints after a removal without an outage, want 0", count())
		}
	})
}
