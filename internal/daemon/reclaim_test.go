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
	// leavingAfter is how soon a leaving endpoint gets no new work.
	leavingAfter = 3 * time.Second
	// reclaimNotice is the time between the notice and the end.
	reclaimNotice = 6 * time.Second
)

// fleet keeps the endpoints that the platform's stand-in launched.
type fleet struct {
	mu  sync.Mutex
	all map[string][]*fakeendpoint.Endpoint // by data centre
}

func (f *fleet) launch(e infra.RunningEndpoint) (string, func(), error) {
	s := fakeendpoint.NewService(20 * time.Millisecond)
	srv, err := fakeendpoint.Serve("127.0.0.1:0", s.Endpoint, s.Handler())
	if err != nil {
		return "", nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[e.DataCentre] = append(f.all[e.DataCentre], s.Endpoint)
	return srv.Addr(), srv.Close, nil
}

// runs counts what the endpoints of a data centre ever ran.
func (f *fleet) runs(dataCentre string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.all[dataCentre] {
		for _, runs := range e.Record().Runs {
			n += runs
		}
	}
	return n
}

// TestReclaimedDataCentre takes a whole data centre of endpoints away under a
// steady load: nothing new runs there after 3 s, no answer is wrong or missing,
// others make up for it, and the status tells what that costs.
func TestReclaimedDataCentre(t *testing.T) {
	systemtest.Invariants(t)
	f := &fleet{all: map[string][]*fakeendpoint.Endpoint{}}
	sys := systemtest.Start(t, daemontest.Options{
		DataCentres: []string{"dc-a", "dc-b", "dc-c"},
		Platform:    fakeplatform.Options{Launch: f.launch},
	})
	b := &bed{t: t, sys: sys, ops: systemtest.Operators(sys.Instances[0], http.DefaultClient)}
	b.apply(pooled())
	b.eventually("endpoints run", func() bool { return b.running("dc-a") == 2 && b.running("dc-b") == 2 })
	for i := range sys.Instances {
		b.eventually("configuration in force", func() bool {
			return b.send(i, "pooled", coachKey, fmt.Sprint("warm up ", i), nil).status == http.StatusOK
		})
	}

	stop, sent := b.steadyLoad(24)
	b.eventually("work in dc-a and demand known", func() bool {
		st, err := b.ops.Status(context.Background())
		return err == nil && st.Demand[0].Known && f.runs("dc-a") > 50
	})
	sys.Platform.Reclaim("dc-a", "cheap", reclaimNotice)
	time.Sleep(leavingAfter)
	before := f.runs("dc-a")
	time.Sleep(reclaimNotice)
	if after := f.runs("dc-a"); after != before {
		t.Errorf("reclaimed endpoints ran %d new requests", after-before)
	}
	if n := b.running("dc-b") + b.running("dc-c"); n < 8 {
		t.Errorf("%d endpoints elsewhere, want at least 8", n)
	}
	st, err := b.ops.Status(context.Background())
	b.check(err)
	want := 2 * float64(b.running("dc-b")+b.running("dc-c"))
	if st.SpendPerHour != want || st.SpendForecast <= 0 || st.Demand[0].Interactive == 0 {
		t.Errorf("spend %v, want %v, forecast %v, demand %+v", st.SpendPerHour, want, st.SpendForecast, st.Demand)
	}
	close(stop)
	t.Logf("%d requests, spend %v, forecast %v, demand %+v", sent(), st.SpendPerHour, st.SpendForecast, st.Demand)
}

// pooled is a service whose endpoints the system orders; two in each data
// centre, without demand.
func pooled() config.Objects {
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

// running counts the endpoints of a data centre that take work.
func (b *bed) running(dataCentre string) int {
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

// steadyLoad lets callers at all instances send one request after another until
// stop is closed. Each answer must be whole and its request's own. Sent waits
// for their end.
func (b *bed) steadyLoad(callers int) (stop chan struct{}, sent func() int64) {
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
