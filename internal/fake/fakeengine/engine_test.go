package fakeengine_test

import (
	"errors"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
)

// waitLimit is the time limit of every wait.
const waitLimit = time.Minute

// client is an engine.Client with the address of a fake engine.
type client struct {
	*testing.T
	engine.Client
	addr string
}

func start(t *testing.T, opt fakeengine.Options) (*fakeengine.Engine, client) {
	e := fakeengine.New(opt)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	c := engine.Client{HTTP: srv.Client(), FirstChunkTimeout: waitLimit, ChunkTimeout: waitLimit, CallTimeout: waitLimit}
	return e, client{t, c, strings.TrimPrefix(srv.URL, "http://")}
}

func (c client) must(err error) {
	c.Helper()
	if err != nil {
		c.Fatal(err)
	}
}

func (c client) cancel(id string) {
	c.Helper()
	c.must(c.Cancel(c.Context(), c.addr, id))
}

// generate runs a request to its end. If the function each is not nil, it is
// called with every chunk as it arrives.
func (c client) generate(id string, r engine.GenerateRequest, each func(engine.Chunk)) (tokens []int32, last engine.Chunk, err error) {
	err = c.Generate(c.Context(), c.addr, id, r, func(chunk engine.Chunk) bool {
		tokens, last = append(tokens, chunk.Tokens...), chunk
		if each != nil {
			each(chunk)
		}
		return true
	})
	return tokens, last, err
}

func TestResumeContinuesWithSameTokens(t *testing.T) {
	e, c := start(t, fakeengine.Options{Version: 3})
	req := engine.GenerateRequest{Prompt: "p", MaxTokens: 20, Seed: 7}
	full, last, err := c.generate("a", req, nil)
	if err != nil || last.FinishReason != "length" || last.WeightVersion != 3 {
		t.Fatalf("got last chunk %+v, error %v; want reason length and version 3", last, err)
	}
	if !slices.Equal(full, fakeengine.Tokens("p", 7, 20)) {
		t.Fatal("the tokens differ from those that Tokens returns")
	}
	req.Resume = full[:8]
	tail, _, err := c.generate("b", req, nil)
	if err != nil || !slices.Equal(tail, full[8:]) {
		t.Fatalf("the resumed tokens differ from the original ones, error %v", err)
	}
	if runs := e.Record().Runs; runs["a"] != 1 || runs["b"] != 1 {
		t.Fatalf("got runs %v, want one run of a and one of b", runs)
	}
}

func TestSwapDuringStream(t *testing.T) {
	e, c := start(t, fakeengine.Options{Version: 1, TokenDelay: time.Millisecond, ChecksEpoch: true})
	order := engine.Order{ID: "o", Kind: engine.OrderLoad, Version: 2, Epoch: 5}
	versions := []uint64{}
	_, last, err := c.generate("a", engine.GenerateRequest{Prompt: "p", MaxTokens: 1 << 20}, func(chunk engine.Chunk) {
		if len(versions) == 0 {
			c.must(c.Order(t.Context(), c.addr, order))
		}
		if versions = append(versions, chunk.WeightVersion); chunk.WeightVersion == 2 && !chunk.Done {
			c.cancel("a")
		}
	})
	if err != nil || last.FinishReason != "cancelled" || versions[0] != 1 {
		t.Fatalf("got first version %d, last chunk %+v, error %v; want version 1 and a cancelled request", versions[0], last, err)
	}
	order.Epoch = 4
	if err := c.Order(t.Context(), c.addr, order); !errors.Is(err, infra.ErrStaleEpoch) {
		t.Fatal(err)
	}
	if e.Version() != 2 {
		t.Fatal("the weight version was not swapped")
	}
}

func TestMigration(t *testing.T) {
	_, from := start(t, fakeengine.Options{TokenDelay: time.Millisecond})
	_, to := start(t, fakeengine.Options{})
	req := engine.GenerateRequest{Prompt: "p", MaxTokens: 5000, Seed: 1}
	_, _, err := from.generate("a", req, func(chunk engine.Chunk) {
		if !chunk.Done {
			from.cancel("a")
		}
	})
	from.must(err)
	kv, err := from.ExportKV(t.Context(), from.addr, "a")
	from.must(err)
	to.must(to.ImportKV(t.Context(), to.addr, kv))
	req.KVHandle = kv.Handle
	tail, _, err := to.generate("b", req, nil)
	if err != nil || !slices.Equal(append(kv.Tokens, tail...), fakeengine.Tokens("p", 1, 5000)) {
		t.Fatalf("the tokens after the migration differ, error %v", err)
	}
}

func TestPriority(t *testing.T) {
	e, c := start(t, fakeengine.Options{MaxRunning: 1, TokenDelay: time.Millisecond})
	results := make(chan error, 3)
	generate := func(id string, r engine.GenerateRequest) {
		_, _, err := c.generate(id, r, nil)
		results <- err
	}
	go generate("blocker", engine.GenerateRequest{Prompt: "p", MaxTokens: 1 << 20})
	for e.Record().Runs["blocker"] == 0 {
		time.Sleep(time.Millisecond)
	}
	go generate("low", engine.GenerateRequest{Prompt: "low", MaxTokens: 1})
	go generate("high", engine.GenerateRequest{Prompt: "high", MaxTokens: 1, Priority: 1})
	for waiting := 0; waiting < 2; {
		load, err := c.Load(t.Context(), c.addr)
		c.must(err)
		waiting = load.Waiting
	}
	c.cancel("blocker")
	for range cap(results) {
		c.must(<-results)
	}
	if len(e.Record().Runs) != 3 {
		t.Fatalf("got runs %v, want 3", e.Record().Runs)
	}
}

func TestFaults(t *testing.T) {
	e, c := start(t, fakeengine.Options{})
	req := engine.GenerateRequest{Prompt: "p", MaxTokens: 9}
	e.SetFaults(fakeendpoint.Faults{TruncateAfter: 3})
	if tokens, _, err := c.generate("cut", req, nil); err == nil || len(tokens) != 3 {
		t.Fatalf("got %d tokens, error %v; want 3 and an error", len(tokens), err)
	}
	e.SetFaults(fakeendpoint.Faults{LoseResponses: 1})
	if _, _, err := c.generate("lost", req, nil); !errors.Is(err, io.EOF) {
		t.Fatalf("got error %v, want io.EOF", err)
	}
	e.SetFaults(fakeendpoint.Faults{CrashOn: "boom"})
	if _, _, err := c.generate("boom", engine.GenerateRequest{Prompt: "go boom"}, nil); err == nil {
		t.Fatal("the engine did not crash")
	}
	if _, _, err := c.generate("after", req, nil); err == nil {
		t.Fatal("a crashed engine responds")
	}
	e.Restart()
	_, _, err := c.generate("again", req, nil)
	c.must(err)
	runs := e.Record().Runs
	if runs["lost"] != 1 || runs["boom"] != 1 || runs["after"] != 0 || runs["again"] != 1 {
		t.Fatalf("got runs %v, want one run each of lost, boom and again", runs)
	}
	if !e.ReceivedText("boom") || e.ReceivedText("secret") {
		t.Fatal("the recorded URLs and headers do not contain boom, or contain secret")
	}
}
