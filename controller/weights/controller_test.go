package weights_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/load"
	"github.com/cumincove/cumincove/controller/weights"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/memnet"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

const service = "tagger"

var replicas = flag.Int("replicas", 9, "number of replicas in TestSwapTime")

// duty is a lease that is always held.
type duty struct{ guard *lease.Guard }

func (d duty) Guard() *lease.Guard { return d.guard }

func (d duty) Do(ctx context.Context, f func(context.Context, uint64) error) error {
	return f(ctx, 1)
}

// harness runs a Controller with engines in three data centres, in a bubble of
// fake time.
type harness struct {
	*testing.T
	ctx     context.Context
	engines []*fakeengine.Engine
	addrs   []string
	targets weights.Targets
	client  *engine.Client
}

func newHarness(t *testing.T, engines int, loadTime time.Duration) *harness {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	network := memnet.New()
	transport := &http.Transport{DialContext: network.Host("instance").Dial}
	t.Cleanup(transport.CloseIdleConnections)
	h := &harness{
		T: t, ctx: ctx,
		targets: weights.Targets{Table: fakeplatform.New(fakeplatform.Options{}).Platform().Table},
		client: &engine.Client{
			HTTP: &http.Client{Transport: transport}, FirstChunkTimeout: time.Second, ChunkTimeout: time.Second, CallTimeout: time.Second,
		},
	}
	c := clock.NewMonotonic()
	time.Sleep(time.Second) // addReport ignores reports at time zero
	views := view.NewStore()
	state := h.deployment(network, engines, loadTime)
	views.Update(func(v *view.View) { v.SetConfig(state) })
	guard := lease.NewGuard(c.Now, 0)
	guard.Set(lease.Term{Epoch: 1, Until: c.Now() + time.Hour})
	ctl := weights.New(weights.Options{
		Targets: h.targets, Views: views, Clock: c, Engine: h.client,
		Duty:  func(string) weights.Duty { return duty{guard} },
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Scope: tally.NoopScope, Poll: 250 * time.Millisecond,
	})
	reports := load.New(load.Options{
		Views: views, Clock: c, Engine: h.client, Poll: time.Second,
	})
	var wg sync.WaitGroup
	wg.Go(func() { _ = ctl.Run(ctx) })
	wg.Go(func() { _ = reports.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return h
}

func (h *harness) deployment(network *memnet.Network, engines int, loadTime time.Duration) *config.State {
	s := config.NewState()
	s.Services[service] = config.Service{
		Meta: config.Meta{Name: service}, Type: config.ServiceEngine, Endpoints: label.MustParse(""),
	}
	for i := range engines {
		e := fakeengine.New(fakeengine.Options{Version: 1, LoadTime: loadTime, ChecksEpoch: i%2 == 0})
		name := fmt.Sprintf("engine-%d", i)
		addr := fmt.Sprintf("127.0.0.1:%d", 9100+i)
		srv, err := fakeendpoint.ServeOn(network.Host(name).Listen, addr, e.Endpoint, e.Handler())
		if err != nil {
			h.Fatal(err)
		}
		h.Cleanup(srv.Close)
		h.engines = append(h.engines, e)
		h.addrs = append(h.addrs, addr)
		s.Endpoints[name] = config.Endpoint{
			Meta: config.Meta{Name: name}, DataCentre: fmt.Sprintf("dc-%d", i%3), Addr: addr,
		}
	}
	return s
}

// waitForVersion waits until all engines have the version.
func (h *harness) waitForVersion(version uint64) {
	h.Helper()
	for {
		var versions []uint64
		behind := false
		for _, e := range h.engines {
			versions = append(versions, e.Version())
			behind = behind || e.Version() != version
		}
		if !behind {
			return
		}
		select {
		case <-h.ctx.Done():
			h.Fatalf("engines have versions %v, want %d", versions, version)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (h *harness) publish(version uint64) {
	h.Helper()
	if err := h.targets.Publish(h.ctx, service, "celeste", version); err != nil {
		h.Fatal(err)
	}
}

// maxSwapTime is the longest time from the publication of a version until its
// last replica has it.
const maxSwapTime = 9 * time.Second

// TestSwapTime checks that all replicas swap within maxSwapTime, although some of
// them fail a load, or lose an order or its response.
func TestSwapTime(t *testing.T) {
	for name, faults := range map[string]fakeendpoint.Faults{
		"no fault":    {},
		"failed load": {FailLoads: 1},
		"lost order":  {LoseRequests: 1},
		"lost answer": {LoseResponses: 1},
	} {
		bubble.Test(t, func(t *testing.T) {
			h := newHarness(t, *replicas, time.Second)
			time.Sleep(3 * time.Second)
			h.engines[0].SetFaults(faults)
			h.engines[4].SetFaults(faults)
			start := time.Now()
			h.publish(2)
			h.waitForVersion(2)
			took := time.Since(start)
			t.Logf("%s: %d replicas, load 1 s: all swapped after %v", name, *replicas, took)
			if took > maxSwapTime {
				t.Errorf("%s: all swapped after %v, want at most %v", name, took, maxSwapTime)
			}
		})
	}
}

// TestSwapUnderFaults checks that a failed load, a lost order, a lost response and
// crossed responses only delay a swap.
func TestSwapUnderFaults(t *testing.T) {
	bubble.Test(t, swapUnderFaults)
}

func swapUnderFaults(t *testing.T) {
	h := newHarness(t, 6, 300*time.Millisecond)
	h.engines[0].SetFaults(fakeendpoint.Faults{FailLoads: 1})
	h.engines[1].SetFaults(fakeendpoint.Faults{LoseResponses: 3})
	h.engines[2].SetFaults(fakeendpoint.Faults{LoseRequests: 3})
	h.engines[3].SetFaults(fakeendpoint.Faults{CrossedResponses: 2})
	h.publish(2)
	h.waitForVersion(2)
	h.publish(3)
	h.publish(4)
	h.waitForVersion(4)
	if err := h.targets.Publish(h.ctx, service, "celeste", 3); err == nil {
		t.Fatal("an old version was accepted")
	}
}

// TestStaleOrderIsCorrected checks that the controller corrects a replica that went
// back to an old version. This happens when an engine that does not check fencing
// tokens executes an order of a former holder of the duty.
func TestStaleOrderIsCorrected(t *testing.T) {
	bubble.Test(t, staleOrderIsCorrected)
}

func staleOrderIsCorrected(t *testing.T) {
	h := newHarness(t, 6, 300*time.Millisecond)
	h.publish(2)
	h.waitForVersion(2)
	stale := engine.Order{ID: "stale", Kind: engine.OrderLoad, Version: 1, Epoch: 0}
	if err := h.client.Order(h.ctx, h.addrs[0], stale); err == nil {
		t.Fatal("an engine that checks fencing tokens accepted a stale order")
	}
	if err := h.client.Order(h.ctx, h.addrs[1], stale); err != nil {
		t.Fatal(err)
	}
	for h.engines[1].Version() != 1 && h.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	h.waitForVersion(2)
}
