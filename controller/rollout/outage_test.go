package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/load"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/memnet"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/share"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// engineSet configures a Controller under test and its fake engines.
type engineSet struct {
	engines []fakeengine.Options
	// wrap returns a handler around that of engine e; it may be nil.
	wrap    func(e int, client *engine.Client, next http.Handler) http.Handler
	noMoves bool
	divide  func(int, []share.Need) []int
}

func engineAddr(i int) string { return fmt.Sprintf("127.0.0.1:%d", 9100+i) }

// newController starts a Controller with three engines. It must be called in a
// bubble.Test, which has fake time.
func newController(t *testing.T, p *fakeplatform.Platform) *Controller {
	opt := fakeengine.Options{Version: 1, TokenDelay: 10 * time.Millisecond, ChunkTokens: 10, MaxRunning: 16}
	return engineSet{engines: []fakeengine.Options{opt, opt, opt}}.controller(t, p)
}

// controller starts the engines and a Controller, which stop when the test
// ends.
func (set engineSet) controller(t *testing.T, p *fakeplatform.Platform) *Controller {
	network := memnet.New()
	transport := &http.Transport{DialContext: network.Host("instance").Dial}
	t.Cleanup(transport.CloseIdleConnections)
	s := config.NewState()
	s.Services["m"] = config.Service{
		Meta: config.Meta{Name: "m"}, Type: config.ServiceEngine, Endpoints: label.MustParse(""),
	}
	client := &http.Client{Transport: transport}
	engineClient := &engine.Client{HTTP: client, FirstChunkTimeout: 5 * time.Second, ChunkTimeout: 5 * time.Second, CallTimeout: time.Second}
	for i, opt := range set.engines {
		e := fakeengine.New(opt)
		name, addr := fmt.Sprintf("engine-%d", i), engineAddr(i)
		h := e.Handler()
		if set.wrap != nil {
			h = set.wrap(i, engineClient, h)
		}
		srv, err := fakeendpoint.ServeOn(network.Host(name).Listen, addr, e.Endpoint, h)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(srv.Close)
		s.Endpoints[name] = config.Endpoint{Meta: config.Meta{Name: name}, DataCentre: "dc", Addr: addr}
	}
	views := view.NewStore()
	views.Update(func(v *view.View) { v.SetConfig(s) })
	boot := clock.NewMonotonic()
	table := p.Platform().Table
	c := New(Options{
		Self: "i1", Table: table, Views: views, Clock: boot, Peers: client,
		Engine: engineClient, NoMoves: set.noMoves, Divide: set.divide,
		Dispatcher: dispatch.New(dispatch.Options{
			Views: views, Clock: boot, Queue: fairqueue.DefaultOptions(), Limit: limit.DefaultOptions(),
		}),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
		NewestVersion: func(ctx context.Context, _ string) (uint64, error) {
			_, err := table.Get(ctx, "none")
			if errors.Is(err, infra.ErrNotFound) {
				return 1, nil
			}
			return 0, err
		},
		MaxBufferedBytes: DefaultMaxBufferedBytes, BatchSamples: DefaultBatchSamples, Linger: DefaultLinger, Grace: DefaultGrace,
	})
	reports := load.New(load.Options{Views: views, Clock: boot, Engine: engineClient, Poll: time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = c.Run(ctx); done <- struct{}{} }()
	go func() { _ = reports.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	return c
}

// drain pulls until the step is done, and returns the number of samples that
// were delivered.
func drain(t *testing.T, c *Controller, k stepKey, version uint64) int {
	var cur ledger.Cursor
	got := map[ledger.Slot]bool{}
	for range 1000 {
		res, err := c.pull(t.Context(), k, pullRequest{cursor: cur, max: 64, version: version}, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		var resp Samples
		if err := json.Unmarshal(res.body, &resp); err != nil {
			t.Fatal(err)
		}
		for _, s := range resp.Samples {
			if got[s.Slot] {
				t.Fatalf("%v was delivered twice", s.Slot)
			}
			got[s.Slot] = true
		}
		if cur, err = ledger.ParseCursor(resp.Next); err != nil {
			t.Fatal(err)
		}
		if resp.Done {
			return len(got)
		}
	}
	t.Fatalf("step not done after %d samples", len(got))
	return 0
}

func outageSpec() rollout.Spec {
	return rollout.Spec{ID: "s", Service: "m", Prompts: make([]string, 40), Samples: 8, MaxTokens: 100}
}

// TestStoreDownForTheWholeStep: the store is down until the step is done. The
// step is generated, and after Options.Grace it is delivered from memory to a
// trainer that sends the weight version it published.
func TestStoreDownForTheWholeStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := fakeplatform.New(fakeplatform.Options{})
		c := newController(t, p)
		if _, err := c.open(t.Context(), "team", "", outageSpec()); err != nil {
			t.Fatal(err)
		}
		p.SetFaults(fakeplatform.Faults{Down: true})
		k := stepKey{"team", "s"}
		start := time.Now()
		if n := drain(t, c, k, 1); n != 320 {
			t.Errorf("got %d samples, want 320", n)
		}
		t.Logf("store down: 320 samples after %v", time.Since(start))
	})
}

// TestStoreDownWithoutVersion: a pull that does not send the newest weight
// version gets no samples while the store is down, but the code StoreDown. All
// samples are delivered once the store is back.
func TestStoreDownWithoutVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := fakeplatform.New(fakeplatform.Options{})
		c := newController(t, p)
		if _, err := c.open(t.Context(), "team", "", outageSpec()); err != nil {
			t.Fatal(err)
		}
		k := stepKey{"team", "s"}
		time.Sleep(10 * time.Second)
		p.SetFaults(fakeplatform.Faults{Down: true})
		_, err := c.pull(t.Context(), k, pullRequest{max: 64}, time.Second)
		if !isCode(err, code.StoreDown) {
			t.Errorf("pull while the store is down: got %v, want code StoreDown", err)
		}
		p.SetFaults(fakeplatform.Faults{})
		if n := drain(t, c, k, 0); n != 320 {
			t.Errorf("got %d samples, want 320", n)
		}
	})
}

// TestWritesOfAStep logs the number of writes and reads of a step, which is
// written in batches.
func TestWritesOfAStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := fakeplatform.New(fakeplatform.Options{})
		c := newController(t, p)
		if _, err := c.open(t.Context(), "team", "", outageSpec()); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		n := drain(t, c, stepKey{"team", "s"}, 0)
		r := p.Record()
		t.Logf("%d samples in %v: %d writes, %d reads", n, time.Since(start), r.Writes, r.Reads)
		if n != 320 {
			t.Errorf("got %d samples, want 320", n)
		}
	})
}
