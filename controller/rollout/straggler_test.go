package rollout

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
	"github.com/uber-go/tally/v4"
)

const (
	tailEngines   = 8
	tailGroups    = 64
	tailMaxTokens = 4000
	// trainerRate is the number of samples that the trainer processes per
	// second.
	trainerRate = 4
	hedgeAfter  = 20 * time.Second
)

var tailSeeds = flag.Int("seeds", 2, "steps with each policy in TestStragglersAreMoved")

// tailLength returns the length of the sample with this seed. Lengths have a
// log-normal distribution with a median of 400 tokens.
func tailLength(seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 7))
	return min(int(400*math.Exp(rng.NormFloat64()))+1, tailMaxTokens)
}

// tailProxy wraps the handlers of the engines and gives samples lengths with a
// heavy tail. If hedge is set, it hedges long ones: after hedgeAfter the next
// engine also continues from the tokens so far, with the same seed, and the proxy
// forwards each token from the engine that sends it first.
type tailProxy struct {
	hedge  bool
	hedged int
	mu     sync.Mutex
}

func (p *tailProxy) wrap(e int, client *engine.Client, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req engine.GenerateRequest
		if r.URL.Path != "/v1/generate" || strings.HasPrefix(r.Header.Get(engine.RequestIDHeader), "hedge") {
			next.ServeHTTP(w, r)
			return
		}
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			return
		}
		req.MaxTokens = tailLength(req.Seed)
		body, _ := json.Marshal(req) // a GenerateRequest can always be encoded
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !p.hedge {
			next.ServeHTTP(w, r)
			return
		}
		m := &mergedWriter{ResponseWriter: w, sent: req.Resume}
		end := make(chan struct{})
		go func() {
			select {
			case <-end:
				return
			case <-time.After(hedgeAfter):
			}
			p.mu.Lock()
			p.hedged++
			p.mu.Unlock()
			req.Resume = m.tokens()
			_ = client.Generate(r.Context(), engineAddr((e+1)%tailEngines), "hedge."+r.Header.Get(engine.RequestIDHeader), req, m.add)
			_ = client.Cancel(r.Context(), engineAddr(e), r.Header.Get(engine.RequestIDHeader))
		}()
		next.ServeHTTP(m, r)
		close(end)
	})
}

// mergedWriter merges several streams with the same tokens: it forwards only
// tokens that none of them has sent before.
type mergedWriter struct {
	http.ResponseWriter
	mu   sync.Mutex
	sent []int32
	done bool
}

func (m *mergedWriter) tokens() []int32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]int32(nil), m.sent...)
}

func (m *mergedWriter) Write(line []byte) (int, error) {
	var c engine.Chunk
	if err := json.Unmarshal(line, &c); err != nil {
		return 0, err
	}
	m.add(c)
	return len(line), nil
}

func (m *mergedWriter) add(c engine.Chunk) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if over := len(m.sent) - c.Index; over > 0 {
		c.Index, c.Tokens = len(m.sent), c.Tokens[min(over, len(c.Tokens)):]
	}
	if m.done || (len(c.Tokens) == 0 && !c.Done) {
		return !m.done
	}
	m.sent, m.done = append(m.sent, c.Tokens...), c.Done
	_ = json.NewEncoder(m.ResponseWriter).Encode(c)
	m.ResponseWriter.(http.Flusher).Flush()
	return true
}

// tailRun is the result of one or more steps.
type tailRun struct {
	step, idle time.Duration
	moved, kv  int64
	hedged     int
	// max is the number of samples that a pull requests.
	max     int
	samples map[ledger.Slot]string
}

func tailSet(p *tailProxy, engines int) engineSet {
	set := engineSet{wrap: p.wrap}
	for range engines {
		set.engines = append(set.engines, fakeengine.Options{
			Version: 1, TokenDelay: 20 * time.Millisecond, Prefill: 500 * time.Millisecond, ChunkTokens: 20, MaxRunning: 16,
		})
	}
	return set
}

// runTail runs one step with a trainer and eight engines. The first engine
// takes four times as long per token as the others.
func runTail(t *testing.T, seed uint64, noMoves, hedge bool) (out tailRun) {
	out = newTailRun()
	bubble.Test(t, func(t *testing.T) {
		p := &tailProxy{hedge: hedge}
		set := tailSet(p, tailEngines)
		set.noMoves = noMoves
		set.engines[0].TokenDelay *= 4
		c := set.controller(t, fakeplatform.New(fakeplatform.Options{}))
		scope := tally.NewTestScope("", nil)
		c.o.Scope = scope
		k := stepKey{"team", "s"}
		spec := rollout.Spec{ID: "s", Service: "m", Prompts: make([]string, tailGroups), Samples: 8, MaxTokens: tailMaxTokens, Seed: seed}
		if _, err := c.open(t.Context(), k.team, "", spec); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		out.pullAll(t, c, k, trainerRate)
		out.step = time.Since(start)
		out.hedged = p.hedged
		for _, counter := range scope.Snapshot().Counters() {
			switch counter.Name() {
			case "rollout_streams_moved":
				out.moved = counter.Value()
			case "rollout_kv_moved":
				out.kv = counter.Value()
			}
		}
	})
	return out
}

func newTailRun() tailRun { return tailRun{max: 8, samples: map[ledger.Slot]string{}} }

// pullAll pulls until the step is done, and processes samples at a rate per
// second.
func (out *tailRun) pullAll(t *testing.T, c *Controller, k stepKey, rate float64) {
	for cur, done := (ledger.Cursor{}), false; !done; {
		start := time.Now()
		res, err := c.pull(t.Context(), k, pullRequest{cursor: cur, max: out.max}, time.Second)
		var resp Samples
		if err == nil {
			err = json.Unmarshal(res.body, &resp)
		}
		if err == nil {
			cur, err = ledger.ParseCursor(resp.Next)
		}
		if err != nil {
			t.Error(err)
			return
		}
		out.idle += time.Since(start)
		for _, s := range resp.Samples {
			out.samples[s.Slot] = fmt.Sprint(s.Tokens)
		}
		time.Sleep(time.Duration(float64(len(resp.Samples)) / rate * float64(time.Second)))
		done = resp.Done
	}
}

// TestStragglersAreMoved: slow streams are moved, which makes steps faster. The
// samples and their lengths are the same as without moves: a move changes the
// engine that generates a sample, and not the sample.
func TestStragglersAreMoved(t *testing.T) {
	var moved, left, hedged tailRun
	for seed := range uint64(*tailSeeds) {
		m, l, h := runTail(t, seed, false, false), runTail(t, seed, true, false), runTail(t, seed, true, true)
		for slot, want := range l.samples {
			if m.samples[slot] != want || h.samples[slot] != want || len(want) == 0 {
				t.Errorf("seed %d: sample %v differs between the policies or is empty", seed, slot)
			}
		}
		t.Logf("seed %d: step takes %v with moves, %v without, %v with hedges", seed, m.step, l.step, h.step)
		moved.add(m)
		left.add(l)
		hedged.add(h)
	}
	for name, r := range map[string]tailRun{"moved": moved, "left": left, "hedged": hedged} {
		t.Logf("%s: mean step %v, trainer idle %v; %d moves, %d with KV, %d hedges",
			name, r.step/time.Duration(*tailSeeds), r.idle/time.Duration(*tailSeeds), r.moved, r.kv, r.hedged)
	}
	if moved.kv == 0 || moved.step >= left.step {
		t.Errorf("%d moves with KV, want some; steps take %v with moves, want less than the %v without", moved.kv, moved.step, left.step)
	}
}

// add adds the figures of r, but not its samples.
func (out *tailRun) add(r tailRun) {
	out.step += r.step
	out.idle += r.idle
	out.moved += r.moved
	out.kv += r.kv
	out.hedged += r.hedged
}
