// Package fakeengine implements a fake model engine. It implements the protocol
// of package engine, produces tokens that depend only on prompt, seed and
// position, and injects the configured faults.
//
// A request that is resumed at another engine, or hedged with the same seed,
// therefore continues with the same tokens. A test can compare a complete answer
// with Tokens.
package fakeengine

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakehttp"
	"github.com/cumincove/cumincove/prefix"
)

const (
	defaultMaxRunning = 64
	// maxEndedJobs is the maximum number of ended requests whose KV cache can be
	// exported.
	maxEndedJobs = 256
)

// Options configures the engine.
type Options struct {
	// TokenDelay is the time that one token takes. Prefill is the time before
	// the first token, unless an imported KV cache is used.
	TokenDelay time.Duration
	Prefill    time.Duration
	// ChunkTokens is the number of tokens in a chunk; zero means one.
	ChunkTokens int
	// MaxRunning is the maximum number of concurrently running requests; zero
	// means 64.
	MaxRunning int
	// CacheBlocks is the size of the prefix cache, in blocks of package prefix.
	// Zero means no cache: responses then have no
	// engine.CachedPromptBytesHeader.
	CacheBlocks int
	// MaxTokens is the maximum length of an answer that ends with reason "stop".
	// The length depends on prompt and seed. Zero means that every answer has
	// the requested length.
	MaxTokens int
	// Version is the initial weight version.
	Version uint64
	// LoadTime is the time that a weight swap takes.
	LoadTime time.Duration
	// ChecksEpoch makes the engine refuse orders with an old epoch.
	ChecksEpoch bool
	// MarkVersion adds the weight version to each token, above the bits that
	// Token uses, so that an oracle can determine which version produced it.
	MarkVersion bool
}

// versionShift and versionMask are the position and the mask of the version in a
// marked token.
const (
	versionShift = 16
	versionMask  = 0x3fff
)

// SplitToken returns the parts of a marked token.
func SplitToken(t int32) (token int32, version uint64) {
	return t & (1<<versionShift - 1), uint64(t>>versionShift) & versionMask
}

// Engine is a fake model engine.
type Engine struct {
	*fakeendpoint.Endpoint
	opt Options

	mu                     sync.Mutex
	version, targetVersion uint64 // targetVersion differs from version while it is being loaded
	epoch                  uint64
	role                   string
	jobs                   map[string]*job // waiting, running or ended; by request ID
	ended                  []*job          // kept for exports, oldest first
	waiting                []*job
	running                int
	imported               map[string]engine.KV
	cache                  promptCache
}

// New returns an engine without faults.
func New(opt Options) *Engine {
	opt.MaxRunning = cmp.Or(opt.MaxRunning, defaultMaxRunning)
	opt.ChunkTokens = max(opt.ChunkTokens, 1)
	return &Engine{
		Endpoint:      fakeendpoint.New(),
		opt:           opt,
		version:       opt.Version,
		targetVersion: opt.Version,
		jobs:          map[string]*job{},
		imported:      map[string]engine.KV{},
		cache:         promptCache{blocks: opt.CacheBlocks},
	}
}

// Handler returns a handler for the engine's protocol and the control paths of
// package fakeendpoint.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/cancel", fakehttp.HandleBody(e.cancel))
	mux.HandleFunc("POST /v1/orders", fakehttp.HandleBody(e.order))
	mux.HandleFunc("GET /v1/load", fakehttp.Handle(e.load))
	mux.HandleFunc("POST /v1/kv/export", fakehttp.HandleBody(e.export))
	mux.HandleFunc("POST /v1/kv/import", fakehttp.HandleBody(e.importKV))
	return e.Wrap(mux)
}

// Version returns the current weight version.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Token returns the token at a position of the answer to a prompt.
func Token(prompt string, seed uint64, position int) int32 {
	h := fnv.New32a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, seed))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(position)))
	_, _ = h.Write([]byte(prompt))
	return int32(h.Sum32() >> 16)
}

// Tokens returns the first n tokens of the answer to a prompt.
func Tokens(prompt string, seed uint64, n int) []int32 {
	tokens := make([]int32, n)
	for i := range tokens {
		tokens[i] = Token(prompt, seed, i)
	}
	return tokens
}

// length returns the length of an answer and its finish reason.
func (e *Engine) length(r engine.GenerateRequest) (int, string) {
	if e.opt.MaxTokens > 0 {
		if natural := 1 + int(Token(r.Prompt, r.Seed, -1))%e.opt.MaxTokens; natural < r.MaxTokens {
			return natural, "stop"
		}
	}
	return r.MaxTokens, "length"
}

func (e *Engine) order(_ *http.Request, o engine.Order) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opt.ChecksEpoch && o.Epoch < e.epoch {
		return nil, infra.ErrConflict // becomes status 409, as from real engines
	}
	e.epoch = max(e.epoch, o.Epoch)
	switch o.Kind {
	case engine.OrderLoad:
		e.swap(o.Version)
	case engine.OrderRole:
		e.role = o.Role
	default:
		return nil, errors.New("unknown kind of order")
	}
	return nil, nil
}

// swap starts to load a version. A later order replaces it. The caller holds mu.
func (e *Engine) swap(version uint64) {
	if e.targetVersion == version {
		return
	}
	e.targetVersion = version
	fails := e.ConsumeFault(func(f *fakeendpoint.Faults) *int { return &f.FailLoads })
	time.AfterFunc(e.opt.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.targetVersion == version && fails {
			e.targetVersion = e.version
		} else if e.targetVersion == version {
			e.version = version
		}
	})
}

func (e *Engine) load(*http.Request) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Load{
		Running: e.running, Waiting: len(e.waiting), MaxRunning: e.opt.MaxRunning,
		WeightVersion: e.version,
		Loading:       e.targetVersion != e.version,
		Role:          e.role,
	}, nil
}

func (e *Engine) export(_ *http.Request, m engine.KVRequest) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[m.RequestID]
	if !ok {
		return nil, infra.ErrNotFound
	}
	return engine.KV{
		Handle:        "kv-" + m.RequestID,
		Prompt:        j.req.Prompt,
		Tokens:        Tokens(j.req.Prompt, j.req.Seed, j.produced),
		WeightVersion: e.version,
		Data:          []byte("kv"),
	}, nil
}

func (e *Engine) importKV(_ *http.Request, kv engine.KV) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported[kv.Handle] = kv
	return nil, nil
}

// job is a request that is running, waiting, or kept after its end.
type job struct {
	id       string
	req      engine.GenerateRequest
	ctx      context.Context // ends when the job is cancelled
	cancel   context.CancelFunc
	produced int // tokens so far, including resumed ones; guarded by Engine.mu
	started  bool
	start    chan struct{} // closed when the job may run
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	j, err := e.admit(r)
	if err != nil {
		fakehttp.WriteResponse(w, nil, err)
		return
	}
	defer e.finish(j)
	w.Header().Set("Content-Type", "application/x-ndjson")
	if e.cache.blocks > 0 {
		w.Header().Set(engine.CachedPromptBytesHeader, strconv.Itoa(e.cache.lookupAndAdd(j.req.Adapter, j.req.Prompt)))
	}
	reason := "cancelled"
	select {
	case <-j.start:
		e.RecordRun(r, j.req.Prompt)
		reason = e.run(r.Context(), w, j)
	case <-j.ctx.Done():
	}
	if r.Context().Err() != nil {
		return
	}
	last := e.produce(j, 0)
	last.Done, last.FinishReason = true, reason
	send(w, last)
}

// admit registers a job for a request. It refuses the request if it is invalid
// or its KV handle was not imported.
func (e *Engine) admit(r *http.Request) (*job, error) {
	var req engine.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	produced := len(req.Resume)
	if req.KVHandle != "" {
		kv, ok := e.imported[req.KVHandle]
		if !ok {
			return nil, infra.ErrNotFound
		}
		produced = max(produced, len(kv.Tokens))
	}
	id := r.Header.Get(engine.RequestIDHeader)
	j := &job{id: id, req: req, produced: produced, start: make(chan struct{})}
	j.ctx, j.cancel = context.WithCancel(r.Context())
	e.jobs[id] = j
	e.waiting = append(e.waiting, j)
	e.startNext()
	return j, nil
}

// startNext starts waiting jobs in the order of priority and then of arrival,
// while fewer than MaxRunning are running. The caller holds mu.
func (e *Engine) startNext() {
	slices.SortStableFunc(e.waiting, func(a, b *job) int {
		return cmp.Compare(b.req.Priority, a.req.Priority)
	})
	for e.running < e.opt.MaxRunning && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		j.started = true
		close(j.start)
	}
}

// finish ends a job and keeps it in ended for exports.
func (e *Engine) finish(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.cancel()
	if j.started {
		e.running--
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(w *job) bool { return w == j })
	e.ended = append(e.ended, j)
	if len(e.ended) > maxEndedJobs {
		if old := e.ended[0]; e.jobs[old.id] == old {
			delete(e.jobs, old.id)
		}
		e.ended = e.ended[1:]
	}
	e.startNext()
}

func (e *Engine) cancel(_ *http.Request, m engine.CancelRequest) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[m.RequestID]
	if !ok {
		return nil, infra.ErrNotFound
	}
	j.cancel()
	return nil, nil
}

// run streams the tokens of a job and returns its finish reason.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, j *job) string {
	total, reason := e.length(j.req)
	if j.req.KVHandle == "" && !fakehttp.Sleep(j.ctx, e.opt.Prefill) {
		return "cancelled"
	}
	for sent := 0; j.produced < total; {
		n := min(e.opt.ChunkTokens, total-j.produced)
		if !fakehttp.Sleep(j.ctx, time.Duration(n)*e.opt.TokenDelay) {
			return "cancelled"
		}
		send(w, e.produce(j, n))
		sent += n
		f := e.Faults()
		if f.StallAfter > 0 && sent >= f.StallAfter {
			<-ctx.Done()
		}
		if f.TruncateAfter > 0 && sent >= f.TruncateAfter {
			panic(http.ErrAbortHandler)
		}
	}
	return reason
}

// produce returns the next n tokens with the current weight version.
func (e *Engine) produce(j *job, n int) engine.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := engine.Chunk{Index: j.produced}
	if !e.Faults().HideVersion {
		c.WeightVersion = e.version
	}
	for range n {
		t := Token(j.req.Prompt, j.req.Seed, j.produced)
		if e.opt.MarkVersion {
			t |= int32(e.version&versionMask) << versionShift
		}
		c.Tokens = append(c.Tokens, t)
		j.produced++
	}
	return c
}

func send(w http.ResponseWriter, c engine.Chunk) {
	_ = json.NewEncoder(w).Encode(c)
	_ = http.NewResponseController(w).Flush()
}

// promptCache is a prefix cache that evicts the least recently used blocks.
type promptCache struct {
	blocks int // maximum number of blocks; zero means no cache

	mu     sync.Mutex
	recent []uint64 // hashes of blocks, the least recently used first
}

// lookupAndAdd returns the number of leading bytes of a prompt that are cached,
// and adds the prompt to the cache.
func (c *promptCache) lookupAndAdd(scope, prompt string) (bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for _, h := range prefix.Hashes(scope, prompt) {
		if hit = hit && slices.Contains(c.recent, h); hit {
			bytes += prefix.BlockBytes
		}
		c.recent = append(slices.DeleteFunc(c.recent, func(u uint64) bool { return u == h }), h)
	}
	c.recent = c.recent[max(len(c.recent)-c.blocks, 0):]
	return bytes
}
