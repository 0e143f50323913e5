package endpoints_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/endpoints"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/view"
)

const duration = 5 * time.Second

type instance struct {
	views *view.Store
	c     *endpoints.Controller
	stop  func()
}

// observations counts the observations of all instances.
var observations atomic.Int64

type countingEndpoints struct{ infra.Endpoints }

func (c countingEndpoints) Observe(ctx context.Context, dataCentre string) ([]infra.RunningEndpoint, error) {
	observations.Add(1)
	return c.Endpoints.Observe(ctx, dataCentre)
}

// start runs one instance against the fake platform.
func start(t *testing.T, fake *fakeplatform.Platform, i int) *instance {
	return startWith(t, fake, i, func(*endpoints.Options) {})
}

func startWith(t *testing.T, fake *fakeplatform.Platform, i int, change func(*endpoints.Options)) *instance {
	p := fake.Platform()
	in := &instance{views: view.NewStore()}
	name, clk := fmt.Sprintf("i%d", i), clock.NewMonotonic()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	manager := leases.NewManager(leases.Options{
		Table: p.Table, Clock: clk, Holder: name, Incarnation: 1, Duration: duration, Log: log,
	}, in.views)
	o := endpoints.Options{
		Table: p.Table, Endpoints: countingEndpoints{p.Endpoints}, Leases: manager, Views: in.views, Clock: clk,
		Holder: name, Log: log, Metrics: tally.NoopScope, Poll: time.Second, Settle: 30 * time.Second,
	}
	change(&o)
	c := endpoints.New(o)
	in.c = c
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = manager.Run(ctx) })
	wg.Go(func() { _ = c.Run(ctx) })
	in.stop = func() { cancel(); wg.Wait() }
	return in
}

func pools(cheap int) []config.Pool {
	return []config.Pool{
		{DataCentre: "dc1", Tier: "cheap", Min: cheap, Max: 9},
		{DataCentre: "dc2", Tier: "cheap", Min: cheap, Max: 9},
		{DataCentre: "dc2", Tier: "ondemand", Min: 1, Max: 9},
	}
}

func setPools(in []*instance, version uint64, list []config.Pool) {
	s := config.NewState()
	s.Version = version
	s.Services["tags"] = config.Service{Meta: config.Meta{Name: "tags"}, Pools: list}
	for _, i := range in {
		i.views.Update(func(v *view.View) { v.SetConfig(s) })
	}
}

// TestPoolsReachTheirCounts runs three instances through lost responses, an
// outage, a configuration change and the shutdown of an instance, on a platform
// that ignores epochs.
func TestPoolsReachTheirCounts(t *testing.T) {
	systemtest.FailOnBrokenInvariant(t)
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{StartDelay: 5 * time.Second, StopNotice: time.Second})
		in := []*instance{start(t, fake, 0), start(t, fake, 1), start(t, fake, 2)}
		defer func() {
			for _, i := range in {
				i.stop()
			}
		}()
		fake.SetFaults(fakeplatform.Faults{LoseResponses: 20})
		setPools(in, 1, pools(2))
		time.Sleep(2 * time.Minute)
		wantRunning(t, in, 2, 2, 1)

		fake.SetFaults(fakeplatform.Faults{Down: true})
		setPools(in, 2, pools(3))
		time.Sleep(2 * time.Minute)
		wantRunning(t, in, 2, 2, 1) // an outage removes no endpoints

		fake.SetFaults(fakeplatform.Faults{LoseRequests: 20})
		time.Sleep(2 * time.Minute)
		wantRunning(t, in, 3, 3, 1)

		setPools(in, 3, pools(3)[1:]) // the pool in dc1 is removed
		in[0].stop()
		time.Sleep(time.Minute)
		wantRunning(t, in[1:], 0, 3, 1)
		wantOneOrderer(t, fake.Record().Orders)
	})
}

// wantRunning checks the endpoint counts in the snapshot of every instance.
func wantRunning(t *testing.T, in []*instance, dc1Cheap, dc2Cheap, dc2Ondemand int) {
	t.Helper()
	want := map[string]int{"dc1/cheap": dc1Cheap, "dc2/cheap": dc2Cheap, "dc2/ondemand": dc2Ondemand}
	for n, i := range in {
		got := map[string]int{}
		for _, e := range i.views.Load().Endpoints["tags"] {
			if !e.Leaving {
				got[e.DataCentre+"/"+e.Tier]++
			}
		}
		for pool, count := range want {
			if got[pool] != count {
				t.Errorf("instance %d has %v in its snapshot, want %v", n, got, want)
				break
			}
		}
	}
}

// wantOneOrderer checks that epochs never decrease, that each epoch has one
// holder and that each order ID has one count.
func wantOneOrderer(t *testing.T, list []fakeplatform.OrderRecord) {
	t.Helper()
	holders, counts, last := map[string]string{}, map[string]int{}, map[string]uint64{}
	for _, o := range list {
		key := fmt.Sprintf("%s/%d", o.DataCentre, o.Epoch)
		if h, ok := holders[key]; ok && h != o.Holder {
			t.Errorf("epoch %s has two holders, %s and %s", key, h, o.Holder)
		}
		if n, ok := counts[o.ID]; ok && n != o.Count {
			t.Errorf("order %s has two counts, %d and %d", o.ID, n, o.Count)
		}
		if o.Epoch < last[o.DataCentre] {
			t.Errorf("order %s of epoch %d after epoch %d", o.ID, o.Epoch, last[o.DataCentre])
		}
		holders[key], counts[o.ID], last[o.DataCentre] = o.Holder, o.Count, o.Epoch
	}
	t.Logf("%d orders under %d epochs", len(list), len(holders))
}
