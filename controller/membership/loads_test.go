package membership

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/load"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/view"
)

const (
	benchEngines = 3 // per instance
	benchPoll    = time.Second
	// The request and the response headers of a load report, as sent over TCP.
	benchLoadRequest  = "GET /v1/load HTTP/1.1\r\nHost: 10.0.0.1:8000\r\nUser-Agent: Go-http-client/1.1\r\n" + benchLoadID + "\r\n"
	benchLoadResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Fri, 04 Dec 2026 00:00:00 GMT\r\nContent-Length: 98\r\n" + benchLoadID + "\r\n"
	benchLoadID       = "X-Request-Id: 7d444840-9dc0-11d1-b245-5ffdce74fad2\r\n"
)

// Now implements clock.Clock, so that the bench is the clock of its instances.
func (b *bench) Now() time.Duration { return b.now }

// engines is an http.RoundTripper that responds to an instance's requests for
// load reports and counts their bytes.
type engines struct {
	mu    *sync.Mutex
	parts *benchParts
}

func (e engines) RoundTrip(r *http.Request) (*http.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	const body = `{"running":23,"waiting":4,"max_running":64,"weight_version":812,"loading":false,"draining":false}`
	e.parts.loadRequests += len(benchLoadRequest)
	e.parts.loadResponses += len(benchLoadResponse) + len(body)
	return &http.Response{StatusCode: http.StatusOK, Header: r.Header, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// dataCentres returns the number of data centres for n instances.
func dataCentres(n int) int { return min(max(n/5, 1), benchDataCentres) }

// loadState returns a configuration with the engines of n instances.
func loadState(n int) *config.State {
	o := config.Objects{Services: []config.Service{{
		Meta: config.Meta{Name: "engine"}, Type: config.ServiceEngine, Endpoints: label.MustParse("app=engine"),
	}}}
	for i := range benchEngines * n {
		o.Endpoints = append(o.Endpoints, config.Endpoint{
			Meta:       config.Meta{Name: fmt.Sprintf("endpoint-%d", i), Labels: label.Set{"app": "engine"}},
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres(n)), Addr: "10.0.0.1:8000",
		})
	}
	s, err := config.NewState().Apply(config.Change{Version: 1, Put: o})
	if err != nil {
		panic(err)
	}
	return s
}

// addLoads adds a load controller to each instance.
func (b *bench) addLoads(n int) {
	s := loadState(n)
	members := map[string]view.Member{}
	for i, d := range b.nodes {
		name := d.node.Self().Name
		members[name] = view.Member{Name: name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres(n))}
	}
	for i, d := range b.nodes {
		d.views = view.NewStore()
		d.views.Update(func(v *view.View) { v.SetConfig(s); v.Members = members })
		d.loads = load.New(load.Options{
			Self: d.node.Self().Name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres(n)),
			Views: d.views, Clock: b, Poll: benchPoll,
			Engine: &engine.Client{HTTP: &http.Client{Transport: engines{&sync.Mutex{}, &d.parts}}, CallTimeout: benchPoll},
		})
		b.at(time.Duration(b.rnd.Int64N(int64(benchPoll/2))), func() { b.syncLoad(d) })
	}
}

func (b *bench) syncLoad(d *benchNode) {
	d.loads.Sync(context.Background())
	b.at(benchPoll*45/100+time.Duration(b.rnd.Int64N(int64(benchPoll/10))), func() { b.syncLoad(d) })
}

// loadAges returns the ages of the load reports that instances have from the
// engines of their own data centre, or of the other ones. The age of a missing
// report is the bench's time.
func (b *bench) loadAges(local bool) []time.Duration {
	var ages []time.Duration
	n := len(b.nodes)
	for i, d := range b.nodes {
		for _, e := range d.views.Load().Endpoints["engine"] {
			if (e.DataCentre == fmt.Sprintf("dc-%d", i%dataCentres(n))) == local {
				ages = append(ages, b.now-e.LoadAt)
			}
		}
	}
	slices.Sort(ages)
	return ages
}
