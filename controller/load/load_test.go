package load

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/view"
	"google.golang.org/protobuf/proto"
)

const (
	testInstances = 5
	testEngines   = 20
	testStep      = 100 * time.Millisecond
)

// testDataCentre is a data centre under fake time. Its engines report the current
// time, in milliseconds, as the number of running requests.
type testDataCentre struct {
	now   time.Duration
	polls atomic.Int64
	rnd   *rand.Rand
	alive []*Controller
}

func (dc *testDataCentre) Now() time.Duration { return dc.now }

func (dc *testDataCentre) RoundTrip(r *http.Request) (*http.Response, error) {
	dc.polls.Add(1)
	body := fmt.Sprintf(`{"running":%d,"max_running":8,"role":"decode"}`, dc.now.Milliseconds())
	return &http.Response{StatusCode: http.StatusOK, Header: r.Header, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func newTestDataCentre(t *testing.T, seed uint64) *testDataCentre {
	t.Helper()
	dc := &testDataCentre{now: time.Hour, rnd: rand.New(rand.NewPCG(seed, 0))}
	o := config.Objects{Services: []config.Service{{
		Meta: config.Meta{Name: "engine"}, Type: config.ServiceEngine, Endpoints: label.MustParse("app=engine"),
	}}}
	for i := range testEngines {
		o.Endpoints = append(o.Endpoints, config.Endpoint{
			Meta:       config.Meta{Name: fmt.Sprintf("e%d", i), Labels: label.Set{"app": "engine"}},
			DataCentre: "dc", Addr: "127.0.0.1:9000",
		})
	}
	state, err := config.NewState().Apply(config.Change{Version: 1, Put: o})
	if err != nil {
		t.Fatal(err)
	}
	members := map[string]view.Member{}
	for i := range testInstances {
		members[fmt.Sprint(i)] = view.Member{Name: fmt.Sprint(i), DataCentre: "dc"}
	}
	for i := range testInstances {
		views := view.NewStore()
		views.Update(func(v *view.View) { v.SetConfig(state); v.Members = members })
		dc.alive = append(dc.alive, New(Options{
			Views: views, Clock: dc, Engine: &engine.Client{HTTP: &http.Client{Transport: dc}, CallTimeout: time.Second},
			Self: fmt.Sprint(i), DataCentre: "dc", Poll: time.Second,
		}))
	}
	return dc
}

// run advances the time and runs the rounds and exchanges of the instances. A
// third of the exchanges is lost after the request was sent.
func (dc *testDataCentre) run(t *testing.T, d time.Duration) {
	for end := dc.now + d; dc.now < end; dc.now += testStep {
		for i, c := range dc.alive {
			if (dc.now/testStep)%(time.Second/roundsPerPoll/testStep) == time.Duration(i) {
				c.Sync(t.Context())
			}
			dc.exchange(t, c, dc.alive[dc.rnd.IntN(len(dc.alive))])
		}
	}
}

func (dc *testDataCentre) exchange(t *testing.T, a, b *Controller) {
	if a == b {
		return
	}
	request, response := &gossipv1.Envelope{}, &gossipv1.Envelope{}
	a.Fill(request, b.o.Self, nil)
	if dc.rnd.IntN(3) == 0 {
		return
	}
	request = proto.CloneOf(request)
	b.HandlePush(t.Context(), request)
	b.Fill(response, a.o.Self, request)
	a.HandleResponse(t.Context(), dc.now, response)
}

// check fails the test if a report is published with a time later than its poll,
// or if a report is older than bound.
func (dc *testDataCentre) check(t *testing.T, bound time.Duration) {
	t.Helper()
	for i, c := range dc.alive {
		for _, e := range c.o.Views.Load().Endpoints["engine"] {
			polledAt := time.Duration(e.Load.Running) * time.Millisecond
			if e.LoadAt > polledAt {
				t.Errorf("instance %d: %s was polled at %v, but its report is published as of %v", i, e.Name, polledAt, e.LoadAt)
			}
			if dc.now-polledAt > bound || dc.now-e.LoadAt > bound+time.Second {
				t.Errorf("instance %d: report of %s is from %v, published as of %v, too old at %v", i, e.Name, polledAt, e.LoadAt, dc.now)
			}
			if e.Load.Role != "decode" || e.Load.MaxRunning != 8 {
				t.Errorf("instance %d: report of %s is %+v, want role decode and 8 slots", i, e.Name, e.Load)
			}
		}
	}
}

// TestPollsAreDivided checks that each engine is polled about once per period
// regardless of the number of instances, that all instances receive its reports,
// and that other instances take over the polls of an instance that stops.
func TestPollsAreDivided(t *testing.T) {
	for seed := range uint64(5) {
		dc := newTestDataCentre(t, seed)
		dc.run(t, 10*time.Second)
		before := dc.polls.Load()
		dc.run(t, 20*time.Second)
		perEngine := float64(dc.polls.Load()-before) / 20 / testEngines
		t.Logf("seed %d: each engine polled %.2f times per second", seed, perEngine)
		if perEngine > 1.5 {
			t.Errorf("seed %d: each engine polled %.2f times per second, want at most 1.5", seed, perEngine)
		}
		dc.check(t, 4*time.Second)
		dc.alive = dc.alive[1:]
		dc.run(t, 20*time.Second)
		dc.check(t, (2+takeoverPeriods)*time.Second+4*time.Second)
	}
}

// TestOwnAt checks that ownAt returns this instance's own requests at the time of
// a report that a peer forwarded.
func TestOwnAt(t *testing.T) {
	s := &engineState{}
	for i := range 2 * maxOwnSamples {
		s.recordOwn(time.Duration(i)*time.Second, i)
		s.recordOwn(time.Duration(i)*time.Second+time.Second/2, i) // unchanged
	}
	for at, want := range map[time.Duration]int{0: maxOwnSamples, 40500 * time.Millisecond: 40, time.Hour: 2*maxOwnSamples - 1} {
		if got := s.ownAt(at); got != want {
			t.Errorf("own requests at %v: %d, want %d", at, got, want)
		}
	}
}
