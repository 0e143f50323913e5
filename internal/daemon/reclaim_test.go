package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/view"
)

const (
	// leavingAfter is the time after the notice from which a leaving endpoint
	// must get no new requests.
	leavingAfter = 3 * time.Second
	// reclaimNotice is the time between the reclaim notice and the end of the
	// endpoints.
	reclaimNotice = 6 * time.Second
)

// launchedEndpoints records the endpoints that the fake platform launched.
type launchedEndpoints struct {
	mu  sync.Mutex
	all map[string][]*fakeendpoint.Endpoint // by data centre
}

func (l *launchedEndpoints) launch(e infra.RunningEndpoint) (string, func(), error) {
	s := fakeendpoint.NewService(20 * time.Millisecond)
	srv, err := fakeendpoint.Serve("127.0.0.1:0", s.Endpoint, s.Handler())
	if err != nil {
		return "", nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[e.DataCentre] = append(l.all[e.DataCentre], s.Endpoint)
	return srv.Addr(), srv.Close, nil
}

// runs returns the number of all runs at the endpoints of a data centre.
func (l *launchedEndpoints) runs(dataCentre string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.all[dataCentre] {
		for _, runs := range e.Record().Runs {
			n += runs
		}
	}
	return n
}

// TestReclaimedDataCentre reclaims all endpoints of a data centre under steady
// load. No new request runs there after 3 s, no response is wrong or missing,
// the other data centres replace the endpoints, and the status reports the
// cost.
func TestReclaimedDataCentre(t *testing.T) {
	systemtest.FailOnBrokenInvariant(t)
	l := &launchedEndpoints{all: map[string][]*fakeendpoint.Endpoint{}}
	sys := systemtest.Start(t, daemontest.Options{
		DataCentres: []string{"dc-a", "dc-b", "dc-c"},
		Platform:    fakeplatform.Options{Launch: l.launch},
	})
	b := &testbed{t: t, sys: sys, ops: systemtest.OperatorClient(sys.Instances[0], http.DefaultClient)}
	b.apply(pooledService())
	b.eventually("endpoints run", func() bool { return b.running("dc-a") == 2 && b.running("dc-b") == 2 })
	for i := range sys.Instances {
		b.eventually("configuration in force", func() bool {
			return b.send(i, "pooled", coachKey, fmt.Sprint("warm up ", i), nil).status == http.StatusOK
		})
	}

	stop, sent := b.steadyLoad(24)
	b.eventually("work in dc-a and demand reported", func() bool {
		st, err := b.ops.Status(context.Background())
		return err == nil && st.Demand[0].Complete && l.runs("dc-a") > 50
	})
	sys.Platform.Reclaim("dc-a", "cheap", reclaimNotice)
	time.Sleep(leavingAfter)
	before := l.runs("dc-a")
	time.Sleep(reclaimNotice)
	if after := l.runs("dc-a"); after != before {
		t.Errorf("reclaimed endpoints ran %d new requests", after-before)
	}
	if n := b.running("dc-b") + b.running("dc-c"); n < 8 {
		t.Errorf("%d endpoints in the other data centres, want at least 8", n)
	}
	st, err := b.ops.Status(context.Background())
	b.check(err)
	want := 2 * float64(b.running("dc-b")+b.running("dc-c"))
	if st.SpendPerHour != want || st.SpendForecast <= 0 || st.Demand[0].Interactive == 0 {
		t.Errorf("spend %v, want %v; forecast %v and demand %+v, want both above zero", st.SpendPerHour, want, st.SpendForecast, st.Demand)
	}
	close(stop)
	t.Logf("%d requests, spend %v, forecast %v, demand %+v", sent(), st.SpendPerHour, st.SpendForecast, st.Demand)
}

// pooledService returns a service whose endpoints the system orders. Without
// demand there are two in each data centre.
func pooledService() config.Objects {
	o := config.Objects{
		Teams: []config.Team{{Meta: config.Meta{Name: "coaches"}}},
		Keys:  []config.Key{{Meta: config.Meta{Name: "coach"}, Team: "coaches", Digest: view.Digest(coachKey)}},
	}
	s := config.Service{Meta: config.Meta{Name: "pooled"}, Type: config.ServicePlain, Idempotent: true}
	for _, dc := range []string{"dc-a", "dc-b", "dc-c"} {
		s.Pools = append(s.Pools, config.Pool{DataCentre: dc, Tier: "cheap", Min: 2, Max: 6, HourlyCost: 2})
	}
	o.Services = []config.Service{s}
	return o
}

// running returns the number of endpoints of a data centre that accept requests.
func (b *testbed) running(dataCentre string) int {
	st, err := b.ops.Status(context.Background())
	b.check(err)
	n := 0
	for _, e := range st.Endpoints {
		if e.DataCentre == dataCentre && !e.Leaving {
			n++
		}
	}
	return n
}

// steadyLoad starts callers that send sequential requests to all instances until
// stop is closed. Each response must be complete and belong to its request. Sent
// waits for the callers and returns the number of requests.
func (b *testbed) steadyLoad(callers int) (stop chan struct{}, sent func() int64) {
	stop = make(chan struct{})
	var n atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				content := fmt.Sprintf("caller %d request %d", c, i)
				r := b.send(c%len(b.sys.Instances), "pooled", coachKey, content, nil)
				var echo fakeendpoint.Echo
				if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &echo) != nil || echo.Body != content {
					b.t.Errorf("%s: %+v", content, r)
				}
				n.Add(1)
			}
		})
	}
	return stop, func() int64 { wg.Wait(); return n.Load() }
}
