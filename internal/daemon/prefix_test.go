package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/label"
)

// newPrefixTestbed returns a testbed with four engines, of weight versions 1 to
// 4, behind the service "affine". The service prefers engines that have the
// beginning of a prompt in their prefix cache.
func newPrefixTestbed(t *testing.T) (*testbed, []*daemontest.Endpoint) {
	b := newTestbed(t)
	var engines []*daemontest.Endpoint
	put := config.Objects{Services: []config.Service{{
		Meta: config.Meta{Name: "affine"}, Type: config.ServiceEngine,
		Endpoints: label.MustParse("app=affine"), PrefixAffinity: 0.25,
	}}}
	for i := range 4 {
		e, c, err := b.sys.AddEngine(fmt.Sprintf("affine-%d", i), "dc-a", map[string]string{"app": "affine"},
			fakeengine.Options{TokenDelay: 20 * time.Millisecond, Version: uint64(i + 1), MaxRunning: 8, CacheBlocks: 64})
		b.check(err)
		engines = append(engines, e)
		put.Endpoints = append(put.Endpoints, c)
	}
	b.apply(put)
	b.eventually("service in force", func() bool {
		_, complete := b.stream(0, "affine", "warm up", 1, func(int) {})
		return complete
	})
	return b, engines
}

// runsOf returns the number of runs of a prompt at each engine.
func runsOf(engines []*daemontest.Endpoint, prompt string) (runs []int) {
	for _, e := range engines {
		runs = append(runs, e.Record().RunsByContent[prompt])
	}
	return runs
}

// TestPrefixAffinity: sequential calls with the same long prompt go to the same
// engine, but concurrent ones are distributed.
func TestPrefixAffinity(t *testing.T) {
	b, engines := newPrefixTestbed(t)
	for i := range 10 {
		prompt := strings.Repeat(fmt.Sprintf("prompt %d ", i), 100)
		for range 2 {
			if _, complete := b.stream(0, "affine", prompt, 1, func(int) {}); !complete {
				t.Fatal("the response is incomplete")
			}
		}
		if runs := runsOf(engines, prompt); slices.Max(runs) != 2 {
			t.Errorf("runs of prompt %d: %v", i, runs)
		}
	}
	const concurrent = 24
	prompt := strings.Repeat("all together ", 100)
	var callers sync.WaitGroup
	for range concurrent {
		callers.Go(func() { b.stream(0, "affine", prompt, 25, func(int) {}) })
	}
	callers.Wait()
	if runs := runsOf(engines, prompt); slices.Max(runs) > concurrent/2 {
		t.Errorf("runs of %d concurrent calls: %v", concurrent, runs)
	}
}

// TestSelection: requests that select a weight version or a role run only at an
// engine that reports it, and are refused if there is none.
func TestSelection(t *testing.T) {
	b, engines := newPrefixTestbed(t)
	generate := func(prompt, header, value string) reply {
		return b.send(0, "affine", coachKey, fmt.Sprintf(`{"prompt": %q, "max_tokens": 1}`, prompt), func(r *http.Request) {
			r.URL.Path = "/v1/services/affine/v1/generate"
			r.Header.Set(header, value)
		})
	}
	checkRuns := func(what, header, value string, want ...int) {
		b.eventually(what, func() bool { return generate("warm up", header, value).status == http.StatusOK })
		for range 8 {
			generate(what, header, value)
		}
		if got := runsOf(engines, what); !slices.Equal(got, want) {
			t.Errorf("%s: runs %v, want %v", what, got, want)
		}
	}
	checkRefused := func(header, value string, want code.Number) {
		re := generate("refused", header, value)
		if re.code != fmt.Sprint(int(want)) || re.effect != string(code.NotRun) {
			t.Errorf("%s %s: code %s, effect %s", header, value, re.code, re.effect)
		}
	}
	checkRuns("version 2", api.SelectVersionHeader, "2", 0, 8, 0, 0)
	checkRefused(api.SelectVersionHeader, "5", code.NoMatchingEndpoint)
	checkRefused(api.SelectVersionHeader, "zero", code.BadRequest)
	checkRefused(api.SelectRoleHeader, "prefill", code.NoMatchingEndpoint)
	if got := runsOf(engines, "refused"); slices.Max(got) > 0 {
		t.Errorf("refused requests ran: %v", got)
	}
	client := &engine.Client{HTTP: http.DefaultClient, CallTimeout: time.Second}
	order := engine.Order{ID: "role", Kind: engine.OrderRole, Role: "prefill"}
	b.check(client.Order(t.Context(), engines[3].Addr(), order))
	checkRuns("role", api.SelectRoleHeader, "prefill", 0, 0, 0, 8)
}
