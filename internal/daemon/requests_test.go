package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/settings"
	"github.com/cumincove/cumincove/view"
)

const (
	coachKey = "coach-key-0123456789"
	otherKey = "other-key-0123456789"
	// entriesKeep is how long the callers in the tests may keep an address.
	entriesKeep = 300 * time.Millisecond
)

// testbed is a system of two instances, three plain endpoints and one engine.
type testbed struct {
	t               testing.TB
	sys             *daemontest.System
	ops             *api.Client
	plain           []*daemontest.Endpoint
	endpointConfigs []config.Endpoint
	eng             *daemontest.Endpoint
}

func newTestbed(t testing.TB) *testbed {
	t.Helper()
	systemtest.FailOnBrokenInvariant(t)
	sys := systemtest.Start(t, daemontest.Options{
		DataCentres: []string{"dc-a", "dc-b"},
		Settings:    func(s *settings.Settings) { s.Timing.EntriesKeep = config.Duration(entriesKeep) },
	})
	b := &testbed{t: t, sys: sys, ops: systemtest.OperatorClient(sys.Instances[0], http.DefaultClient)}
	put := teams()
	plain := label.MustParse("app=plain")
	for _, s := range []config.Service{
		{Meta: config.Meta{Name: "once"}, Type: config.ServicePlain, Endpoints: plain, Teams: []string{"coaches"}},
		{Meta: config.Meta{Name: "again"}, Type: config.ServicePlain, Endpoints: plain, Teams: []string{"coaches"}, Idempotent: true},
		{Meta: config.Meta{Name: "tagger"}, Type: config.ServiceEngine, Endpoints: label.MustParse("app=engine")},
	} {
		s.FirstByteTimeout = config.Duration(2 * time.Second)
		put.Services = append(put.Services, s)
	}
	for i, dc := range []string{"dc-a", "dc-a", "dc-b"} {
		e, c, err := sys.AddService(fmt.Sprintf("plain-%d", i), dc, map[string]string{"app": "plain"}, time.Millisecond)
		b.check(err)
		b.plain, b.endpointConfigs = append(b.plain, e), append(b.endpointConfigs, c)
	}
	e, c, err := sys.AddEngine("engine", "dc-a", map[string]string{"app": "engine"}, fakeengine.Options{TokenDelay: 10 * time.Millisecond, Version: 1})
	b.check(err)
	b.eng = e
	put.Endpoints = append(b.endpointConfigs, c)
	b.apply(put)
	for i := range sys.Instances {
		b.eventually("configuration in force", func() bool {
			return b.send(i, "once", coachKey, "warm up "+fmt.Sprint(i), nil).status == http.StatusOK
		})
	}
	return b
}

// teams returns two teams with a key each.
func teams() config.Objects {
	return config.Objects{
		Teams: []config.Team{{Meta: config.Meta{Name: "coaches"}}, {Meta: config.Meta{Name: "others"}}},
		Keys: []config.Key{
			{Meta: config.Meta{Name: "coach"}, Team: "coaches", Digest: view.Digest(coachKey)},
			{Meta: config.Meta{Name: "other"}, Team: "others", Digest: view.Digest(otherKey)},
		},
	}
}

func (b *testbed) check(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *testbed) eventually(what string, ok func() bool) {
	b.t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.t.Fatalf("%s: condition not met within 10 s", what)
}

// reply is a response. Complete is set if it was not truncated.
type reply struct {
	status   int
	effect   string
	code     string
	body     string
	complete bool
}

func (b *testbed) send(instance int, service, key, body string, edit func(*http.Request)) reply {
	re, err := b.sys.Instances[instance].Send(service, key, body, edit)
	if err != nil {
		b.t.Error(err)
	}
	return reply{status: re.Status, effect: re.Effect, code: re.Code, body: re.Body, complete: re.Complete}
}

// runs returns the number of runs of the content that the plain endpoints
// recorded.
func (b *testbed) runs(content string) int {
	n := 0
	for _, e := range b.plain {
		n += e.Record().RunsByContent[content]
	}
	return n
}

func (b *testbed) checkNoKeyReceived() {
	b.t.Helper()
	for _, e := range append(b.plain, b.eng) {
		if e.ReceivedText(coachKey) || e.ReceivedText(otherKey) {
			b.t.Error("an endpoint received a key")
		}
	}
}

// TestRequestsUnderFaults sends requests through both instances while endpoints
// lose requests and responses, send the response to another request, refuse
// requests and crash. The endpoints' records are the oracle.
func TestRequestsUnderFaults(t *testing.T) {
	b := newTestbed(t)
	const seed, requests = 20261203, 1_500
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { b.injectFaults(rand.New(rand.NewPCG(seed, 1)), stop) })
	var answered, refused atomic.Int64
	work := make(chan int)
	for range 8 {
		callers.Go(func() {
			for i := range work {
				b.sendAndCheck(i, &answered, &refused)
			}
		})
	}
	for i := range requests {
		work <- i
	}
	close(work)
	callers.Wait()
	close(stop)
	faults.Wait()
	t.Logf("%d answered, %d not run of %d", answered.Load(), refused.Load(), requests)
	if answered.Load() == 0 || refused.Load() == 0 {
		t.Error("no request was answered or none was refused, so the test proves nothing")
	}
	b.checkNoKeyReceived()
}

func (b *testbed) sendAndCheck(i int, answered, refused *atomic.Int64) {
	content := fmt.Sprintf("content %d", i)
	service := [2]string{"once", "again"}[i%2]
	key := coachKey
	if i%50 == 7 {
		key = otherKey
	}
	re := b.send(i/2%2, service, key, content, func(r *http.Request) {
		r.Header.Set("Idempotency-Key", content)
		r.Header.Set("Cookie", "key="+coachKey)
		r.Header.Set("Proxy-Authorization", coachKey)
	})
	runs := b.runs(content)
	switch {
	case service == "once" && runs > 1:
		b.t.Errorf("%s: ran %d times", content, runs)
	case re.effect == string(code.NotRun) && runs > 0:
		b.t.Errorf("%s: code %s with effect not run, but it ran %d times", content, re.code, runs)
	case key == otherKey && (runs > 0 || re.status != http.StatusForbidden):
		b.t.Errorf("%s: another team's request ran %d times, status %d", content, runs, re.status)
	case re.status == http.StatusOK:
		var echo fakeendpoint.Echo
		if json.Unmarshal([]byte(re.body), &echo) != nil || echo.Body != content {
			b.t.Errorf("%s: got the response %q", content, re.body)
		}
		answered.Add(1)
	}
	if re.effect == string(code.NotRun) {
		refused.Add(1)
	}
}

// injectFaults sets random faults of the endpoints until stop is closed.
func (b *testbed) injectFaults(rnd *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		e := b.plain[rnd.IntN(len(b.plain))]
		switch rnd.IntN(8) {
		case 0:
			e.SetFaults(fakeendpoint.Faults{LoseRequests: 2})
		case 1:
			e.SetFaults(fakeendpoint.Faults{LoseResponses: 2})
		case 2:
			e.SetFaults(fakeendpoint.Faults{CrossedResponses: 2})
		case 3:
			e.SetFaults(fakeendpoint.Faults{Down: true})
		case 4:
			e.Crash()
			time.AfterFunc(30*time.Millisecond, e.Restart)
		default:
			e.SetFaults(fakeendpoint.Faults{})
		}
	}
}

func TestKeyOutsideAuthorizationIsRefused(t *testing.T) {
	b := newTestbed(t)
	for name, edit := range map[string]func(*http.Request){
		"query":         func(r *http.Request) { r.URL.RawQuery = "key=" + coachKey },
		"escaped query": func(r *http.Request) { r.URL.RawQuery = "key=" + strings.Replace(coachKey, "c", "%63", 1) },
		"path":          func(r *http.Request) { r.URL.Path += "/" + coachKey },
		"other's key":   func(r *http.Request) { r.URL.RawQuery = "k=" + otherKey },
		"header":        func(r *http.Request) { r.Header.Set("User-Agent", coachKey) },
		"body":          func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader("x" + coachKey)); r.ContentLength = -1 },
	} {
		if re := b.send(0, "once", coachKey, "", edit); re.status != http.StatusBadRequest || re.effect != string(code.NotRun) {
			t.Errorf("%s: status %d, effect %s", name, re.status, re.effect)
		}
	}
	b.checkNoKeyReceived()
}

// generate streams tokens, and calls onStart at the first one. It returns the
// number of received tokens and whether the stream was complete.
func (b *testbed) generate(instance, tokens int, onStart func()) (got int, complete bool) {
	var once sync.Once
	list, complete := b.stream(instance, "tagger", "p", tokens, func(int) { once.Do(onStart) })
	return len(list), complete
}

// stream reads a stream. After each token it calls onToken with the number of
// tokens so far. It returns the tokens and whether the stream was complete.
func (b *testbed) stream(instance int, service, prompt string, tokens int, onToken func(int)) (got []int32, complete bool) {
	req := engine.GenerateRequest{Prompt: prompt, MaxTokens: tokens, Seed: 9}
	got, complete, err := b.sys.Instances[instance].Stream(service, coachKey, req, onToken)
	if err != nil {
		b.t.Error(err)
	}
	return got, complete
}

// TestWithdrawnKeyStopsStream withdraws the key of a running stream at the
// other instance.
func TestWithdrawnKeyStopsStream(t *testing.T) {
	b := newTestbed(t)
	const tokens = 100_000
	got, complete := b.generate(1, tokens, func() {
		_, err := b.ops.WithdrawKey(context.Background(), "coach")
		b.check(err)
	})
	if complete || got == 0 {
		t.Fatalf("got %d tokens, complete %v", got, complete)
	}
	re := b.send(1, "once", coachKey, "after", nil)
	if re.code != fmt.Sprint(int(code.KeyWithdrawn)) || b.runs("after") > 0 {
		t.Fatalf("after the withdrawal: %+v", re)
	}
}

// TestShutdownFinishesRequests stops an instance while it streams, and while
// callers use its address for as long as they may keep it.
func TestShutdownFinishesRequests(t *testing.T) {
	b := newTestbed(t)
	var started, streams, callers sync.WaitGroup
	for range 5 {
		started.Add(1)
		streams.Go(func() {
			if got, complete := b.generate(0, 100, started.Done); !complete || got != 100 {
				t.Errorf("got %d tokens, complete %v", got, complete)
			}
		})
	}
	started.Wait()
	stop := make(chan struct{})
	var served atomic.Int64
	for k := range 4 {
		callers.Go(func() { b.sendToEntries(k, stop, &served) })
	}
	if err := b.sys.Instances[0].Stop(); err != nil {
		t.Error(err)
	}
	streams.Wait()
	close(stop)
	callers.Wait()
	if served.Load() == 0 {
		t.Error("no request was served")
	}
}

// TestStoppedInstanceHasLeft checks that the other instances no longer contact an
// instance once it has shut down. Otherwise they take it for a suspect first, and try
// it instead of each other.
func TestStoppedInstanceHasLeft(t *testing.T) {
	b := newTestbed(t)
	stopped := b.sys.Instances[0]
	if err := stopped.Stop(); err != nil {
		t.Fatal(err)
	}
	for _, in := range b.sys.Instances[1:] {
		st, err := systemtest.OperatorClient(in, http.DefaultClient).Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range st.Members {
			if m.Name == stopped.Settings.Name {
				t.Errorf("%s still lists the instance that has shut down", in.Settings.Name)
			}
		}
	}
}

// sendToEntries queries the entries, keeps the first one for as long as the
// response allows, and sends requests to it. None may fail.
func (b *testbed) sendToEntries(k int, stop chan struct{}, served *atomic.Int64) {
	var addr string
	var until time.Time
	client := &http.Client{Transport: &http.Transport{}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if time.Now().After(until) {
			var e struct {
				Entries []struct{ Addr string } `json:"entries"`
				Keep    int64                   `json:"keep_ms"`
			}
			queriedAt := time.Now()
			resp, err := client.Get("http://" + b.sys.Instances[1].Settings.Listen.Callers + "/v1/entries")
			if err != nil || json.NewDecoder(resp.Body).Decode(&e) != nil || len(e.Entries) == 0 {
				b.t.Errorf("entries: %v", err)
				return
			}
			resp.Body.Close()
			addr, until = e.Entries[0].Addr, queriedAt.Add(time.Duration(e.Keep)*time.Millisecond)
		}
		r, _ := http.NewRequest("POST", "http://"+addr+"/v1/services/once/do", strings.NewReader(fmt.Sprintf("call %d %d", k, i)))
		r.Header.Set("Authorization", "Bearer "+coachKey)
		resp, err := client.Do(r)
		if err != nil {
			b.t.Errorf("request through %s: %v", addr, err)
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.t.Errorf("request through %s: status %d, code %s, %v", addr, resp.StatusCode, resp.Header.Get(api.CodeHeader), err)
		}
		served.Add(1)
	}
}

// TestLeavingEndpointGetsNoRequests marks an endpoint as leaving. Once that is
// in force, the endpoint must get no new requests.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	b := newTestbed(t)
	c := b.endpointConfigs[0]
	c.Leaving = true
	_, err := b.ops.Change(context.Background(), api.ChangeRequest{Put: config.Objects{Endpoints: []config.Endpoint{c}}})
	b.check(err)
	var before int
	b.eventually("leaving in force", func() bool {
		before = len(b.plain[0].Record().Requests)
		for i := range 20 {
			b.send(i%2, "once", coachKey, fmt.Sprintf("probe %d", i), nil)
		}
		return len(b.plain[0].Record().Requests) == before
	})
	for i := range 200 {
		b.send(i%2, "once", coachKey, fmt.Sprintf("load %d", i), nil)
	}
	if got := len(b.plain[0].Record().Requests); got != before {
		t.Fatalf("the leaving endpoint got %d new requests", got-before)
	}
}

// TestPoisonIsContained repeatedly sends a request that crashes endpoints through
// both instances, while harmless requests run at the same endpoints. The request
// must soon be refused, and the harmless ones must not be.
func TestPoisonIsContained(t *testing.T) {
	b := newTestbed(t)
	const poison = "venom"
	for _, e := range b.plain {
		e.SetFaults(fakeendpoint.Faults{CrashOn: poison, Slow: 5 * time.Millisecond})
	}
	var callers sync.WaitGroup
	var falselyRefused, served atomic.Int64
	stop := make(chan struct{})
	for k := range 6 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				re := b.send(k%2, "again", coachKey, fmt.Sprintf("innocent %d %d", k, i), nil)
				switch {
				case re.code == fmt.Sprint(int(code.Poison)):
					falselyRefused.Add(1)
				case re.status == http.StatusOK:
					served.Add(1)
				}
			}
		})
	}
	refused := 0
	for i := range 30 {
		re := b.send(i%2, "again", coachKey, poison, nil)
		if re.code == fmt.Sprint(int(code.Poison)) {
			refused++
		}
		for _, e := range b.plain {
			e.Restart()
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	crashes := 0
	for _, e := range b.plain {
		crashes += e.Record().Crashes
	}
	t.Logf("%d crashes, %d of 30 refused, %d harmless requests served", crashes, refused, served.Load())
	// Each instance may have two crashes if it does not receive the other's
	// report in time.
	if crashes > 4 {
		t.Errorf("%d crashes, want at most 4", crashes)
	}
	if falselyRefused.Load() > 0 || served.Load() == 0 {
		t.Errorf("%d harmless requests refused as poison, %d served", falselyRefused.Load(), served.Load())
	}
}

// TestEscapedPathIsForwardedUnchanged: an escaped slash in a path reaches the
// endpoint unchanged.
func TestEscapedPathIsForwardedUnchanged(t *testing.T) {
	b := newTestbed(t)
	re := b.send(0, "once", coachKey, "escaped", func(r *http.Request) {
		r.URL.Path += "/a/b"
		r.URL.RawPath = strings.TrimSuffix(r.URL.Path, "a/b") + "a%2Fb"
	})
	received := false
	for _, e := range b.plain {
		received = received || e.ReceivedText("/do/a%2Fb")
	}
	if re.status != http.StatusOK || !received {
		t.Fatalf("status %d, path received as escaped: %v", re.status, received)
	}
}
