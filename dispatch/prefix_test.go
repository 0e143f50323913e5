package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/prefix"
	"github.com/cumincove/cumincove/view"
)

// The simulated prompts start with one of 200 prefixes of 4 KB, drawn by Zipf's
// law. A cache holds 20 of them, and a prefix that is not cached costs 100 ms.
const (
	promptKinds      = 200
	promptBlocks     = 16
	cachedPrompts    = 20
	promptSkew       = 1.2
	promptWork       = 100 * time.Millisecond
	promptRate       = 0.6 * simShare
	promptSeeds      = 3
	lostBatchPercent = 10
	noEvents         = -1
)

// promptSimulation is a simulation whose endpoints have prefix caches.
type promptSimulation struct {
	*dispatchSimulation
	hashes        [][]uint64
	cached        [simEndpoints][]int // kinds, the least recently used first
	log           [simEndpoints][]prefix.Event
	hits, prompts int
}

// placement chooses an endpoint. The caller calls done, with the number of cached
// bytes, when the request has ended.
type placement func(w Work) (endpoint int, done func(cached int), err error)

// lookUpPrompt looks a kind of prompt up in an endpoint's cache and stores it
// there.
func (s *promptSimulation) lookUpPrompt(endpoint, kind int) (hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prompts++
	c := s.cached[endpoint]
	logEvents := func(event prefix.Kind, kind int) {
		for _, h := range s.hashes[kind] {
			s.log[endpoint] = append(s.log[endpoint], prefix.Event{Kind: event, Hash: h})
		}
	}
	if at := slices.Index(c, kind); at >= 0 {
		s.hits++
		s.cached[endpoint] = append(slices.Delete(c, at, at+1), kind)
		return true
	}
	if len(c) == cachedPrompts {
		logEvents(prefix.Evicted, c[0])
		c = c[1:]
	}
	s.cached[endpoint] = append(c, kind)
	logEvents(prefix.Stored, kind)
	return false
}

// publish sends an endpoint's cache events to a dispatcher in a batch each second.
// A batch is lost at random or arrives after the delay late. After a gap publish
// sends the complete contents of the cache.
func (s *promptSimulation) publish(ctx context.Context, d *Dispatcher, endpoint int, late time.Duration) {
	e := &d.endpoint(d.opt.Views.Load().Endpoints["s"][endpoint]).cache
	var reset atomic.Bool
	reset.Store(true)
	for sent := 0; ctx.Err() == nil; time.Sleep(time.Second) {
		s.mu.Lock()
		n := len(s.log[endpoint])
		b := prefix.Batch{First: uint64(sent), Events: slices.Clone(s.log[endpoint][sent:])}
		if reset.Swap(false) {
			b = prefix.Batch{First: uint64(n), Reset: true}
			for _, kind := range s.cached[endpoint] {
				for _, h := range s.hashes[kind] {
					b.Events = append(b.Events, prefix.Event{Kind: prefix.Stored, Hash: h})
				}
			}
		}
		s.mu.Unlock()
		sent = n
		if s.intN(100) < lostBatchPercent {
			continue
		}
		at := d.opt.Clock.Now()
		time.AfterFunc(late, func() {
			if !d.prefixes.table().Apply(at, e, b) {
				reset.Store(true)
			}
		})
	}
}

// send returns the policy that sends each request where p places it.
func (s *promptSimulation) send(zipf *rand.Zipf, p placement) policy {
	return func(ctx context.Context, team int, work time.Duration) error {
		s.mu.Lock()
		kind := int(zipf.Uint64())
		s.mu.Unlock()
		endpoint, done, err := p(Work{Service: "s", Team: fmt.Sprint(team), Prefix: s.hashes[kind], Deadline: s.clock.Now() + simDeadline})
		if err != nil {
			return err
		}
		cached := promptBlocks * prefix.BlockBytes
		if !s.lookUpPrompt(endpoint, kind) {
			work += promptWork
			cached = 0
		}
		err = s.attempt(ctx, s.endpoints[endpoint], work)
		done(cached)
		return err
	}
}

// dispatch places prompts with the instances' dispatchers.
func (s *promptSimulation) dispatch(w Work) (int, func(int), error) {
	slot, err := s.dispatchers[s.intN(simInstances)].Acquire(context.Background(), w)
	if err != nil {
		return 0, nil, err
	}
	return int(slot.Endpoint.Name[0] - '0'), func(cached int) {
		slot.RecordFirstByte()
		slot.RecordCachedBytes(cached)
		slot.Done(Answered)
	}, nil
}

// dispatchLongest places a prompt at an endpoint that has its prefix cached,
// regardless of load, and at a random endpoint if there is none.
func (s *promptSimulation) dispatchLongest(w Work) (int, func(int), error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for endpoint := range s.endpoints {
		if slices.ContainsFunc(s.cached[endpoint], func(kind int) bool { return s.hashes[kind][0] == w.Prefix[0] }) {
			return endpoint, func(int) {}, nil
		}
	}
	return s.rnd.IntN(simEndpoints), func(int) {}, nil
}

// promptResult is the result of one run, or the mean over several runs: the share
// of prompts that were cached, the ratio of the busiest endpoint's requests to the
// mean, and the p99 wait of the worst-served team.
type promptResult struct {
	hits, spread float64
	p99          time.Duration
}

// runPrompts runs one simulation. An affinity above one means that the endpoint
// with the longest cached prefix is always chosen. Cache events arrive after the
// delay late, or not at all if it is noEvents.
func runPrompts(t *testing.T, seed uint64, affinity float64, late time.Duration) (r promptResult) {
	synctest.Test(t, func(t *testing.T) {
		sc := scenario{rate: func(int, time.Duration) float64 { return promptRate }, lag: time.Second}
		s := &promptSimulation{dispatchSimulation: newDispatchSimulation(sc, seed)}
		for kind := range promptKinds {
			s.hashes = append(s.hashes, prefix.Hashes("s", strings.Repeat(fmt.Sprintf("%04d", kind), promptBlocks*prefix.BlockBytes/4)))
		}
		ctx, cancel := context.WithCancel(t.Context())
		s.dispatchPolicy()
		for i, d := range s.dispatchers {
			s.views[i].Update(func(v *view.View) {
				service := v.Config.Services["s"]
				service.PrefixAffinity = affinity
				c := *v.Config
				c.Services = map[string]config.Service{"s": service}
				v.SetConfig(&c)
			})
			for endpoint := 0; late >= 0 && endpoint < simEndpoints; endpoint++ {
				go s.publish(ctx, d, endpoint, late)
			}
		}
		p := s.dispatch
		if affinity > 1 {
			p = s.dispatchLongest
		}
		s.run(sc, s.send(rand.NewZipf(s.rnd, promptSkew, 1, promptKinds-1), p))
		cancel()
		time.Sleep(time.Minute) // late events
		most := slices.MaxFunc(s.endpoints, func(a, b *fakeEndpoint) int { return a.received - b.received }).received
		r = promptResult{float64(s.hits) / float64(s.prompts), float64(most) * simEndpoints / float64(s.attempts), s.worst(0).p99}
	})
	return r
}

// TestPrefixAffinity measures the share of prompts that are cached, the ratio of
// the busiest endpoint's requests to the mean, and the p99 wait of the worst-served
// team, which includes the work for the prompt.
func TestPrefixAffinity(t *testing.T) {
	results := make([]promptResult, 6)
	for i, run := range []struct {
		name     string
		affinity float64
		late     time.Duration
	}{
		{"no affinity", 0, noEvents}, {"always the longest", 2, noEvents}, {"no events", 0.25, noEvents},
		{"events 1 s late", 0.25, time.Second}, {"events 5 s late", 0.25, 5 * time.Second}, {"events 20 s late", 0.25, 20 * time.Second},
	} {
		sum := &results[i]
		for seed := range uint64(promptSeeds) {
			r := runPrompts(t, simSeed+seed, run.affinity, run.late)
			*sum = promptResult{sum.hits + r.hits/promptSeeds, sum.spread + r.spread/promptSeeds, sum.p99 + r.p99/promptSeeds}
		}
		t.Logf("%-20s hits %4.1f %%  spread %.2f  p99 %4d ms", run.name, 100*sum.hits, sum.spread, sum.p99.Milliseconds())
	}
	none, longest := results[0], results[1]
	for _, r := range results[2:] {
		if r.hits <= none.hits || r.spread >= longest.spread || r.p99 > min(longest.p99, none.p99) {
			t.Errorf("%+v; without affinity %+v, always the longest %+v", r, none, longest)
		}
	}
}
