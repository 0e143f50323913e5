// Package fakeengine stands in for a model engine: it speaks the protocol of
// package engine, produces tokens that depend only on prompt, seed and
// position, and fails as told.
//
// A request resumed elsewhere or hedged with the same seed therefore goes on
// with the same tokens, which lets a test compare a whole answer with Tokens.
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
	// keptJobs bounds the ended requests whose KV cache can be exported.
	keptJobs = 256
)

// Options says how the engine behaves.
type Options struct {
	// TokenDelay is the time that one token takes, and Prefill the time before
	// the first, unless an imported KV cache is used.
	TokenDelay time.Duration
	Prefill    time.Duration
	// ChunkTokens is the number of tokens in a chunk; zero means one.
	ChunkTokens int
	// MaxRunning bounds the requests run at once; zero means 64.
	MaxRunning int
	// CacheBlocks bounds the prefix cache, in blocks of package prefix; zero
	// means none, of which nothing is told.
	CacheBlocks int
	// MaxTokens bounds the natural length of an answer, which depends on
	// prompt and seed. Zero means that every answer is as long as asked for.
	MaxTokens int
	// Version is the weight version to begin with.
	Version uint64
	// LoadTime is the time that a weight swap takes.
	LoadTime time.Duration
	// ChecksEpoch makes the engine refuse orders with an old fencing number.
	ChecksEpoch bool
	// MarkVersion puts the weight version into each token, above the bits that
	// Token uses, so that an oracle can tell which version produced it.
	MarkVersion bool
}

// versionShift and versionMask place the version in a marked token.
const (
	versionShift = 16
	versionMask  = 0x3fff
)

// SplitToken returns the parts of a marked token.
func SplitToken(t int32) (token int32, version uint64) {
	return t & (1<<versionShift - 1), uint64(t>>versionShift) & versionMask
}

// Engine is the stand-in.
type Engine struct {
	*fakeendpoint.Endpoint
	opt Options

	mu              sync.Mutex
	version, wanted uint64 // wanted is being loaded, or else the same
	epoch           uint64
	role            string
	jobs            map[string]*job
	ended           []*job // those kept for exports, oldest first
	waiting         []*job
	running         int
	imported        map[string]engine.KV
	cache           promptCache
}

// New returns an engine without faults.
func New(opt Options) *Engine {
	opt.MaxRunning = cmp.Or(opt.MaxRunning, defaultMaxRunning)
	opt.ChunkTokens = max(opt.ChunkTokens, 1)
	return &Engine{
		Endpoint: fakeendpoint.New(),
		opt:      opt,
		version:  opt.Version,
		wanted:   opt.Version,
		jobs:     map[string]*job{},
		imported: map[string]engine.KV{},
		cache:    promptCache{blocks: opt.CacheBlocks},
	}
}

// Handler serves the engine's protocol and the control paths of fakeendpoint.
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

// Version returns the weight version that is served now.
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

// length returns the length of an answer and why it ends there.
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
		return nil, infra.ErrConflict // status 409, as engines answer
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

// swap begins to load a version; it needs mu. A later order replaces it.
func (e *Engine) swap(version uint64) {
	if e.wanted == version {
		return
	}
	e.wanted = version
	fails := e.Take(func(f *fakeendpoint.Faults) *int { return &f.FailLoads })
	time.AfterFunc(e.opt.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.wanted == version && fails {
			e.wanted = e.version
		} else if e.wanted == version {
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
		Loading:       e.wanted != e.version,
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

// job is one request that runs or waits.
type job struct {
	id       string
	req      engine.GenerateRequest
	ctx      context.Context // ends when the job is cancelled
	cancel   context.CancelFunc
	produced int // tokens so far, resumed ones included; guarded by Engine.mu
	begun    bool
	start    chan struct{} // closed when the job may run
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	j, err := e.admit(r)
	if err != nil {
		fakehttp.Answer(w, nil, err)
		return
	}
	defer e.leave(j)
	w.Header().Set("Content-Type", "application/x-ndjson")
	if e.cache.blocks > 0 {
		w.Header().Set(engine.CachedHeader, strconv.Itoa(e.cache.use(j.req.Adapter, j.req.Prompt)))
	}
	reason := "cancelled"
	select {
	case <-j.start:
		e.AddRun(r, j.req.Prompt)
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

// admit registers a job, or refuses it.
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

// startNext starts waiting jobs by priority, then by arrival; it needs mu.
func (e *Engine) startNext() {
	slices.SortStableFunc(e.waiting, func(a, b *job) int {
		return cmp.Compare(b.req.Priority, a.req.Priority)
	})
	for e.running < e.opt.MaxRunning && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		j.begun = true
		close(j.start)
	}
}

// leave takes a job out and keeps it a while for exports.
func (e *Engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.cancel()
	if j.begun {
		e.running--
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(w *job) bool { return w == j })
	e.ended = append(e.ended, j)
	if len(e.ended) > keptJobs {
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

// run streams the tokens of a job and returns why it ended.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, j *job) string {
	total, reason := e.length(j.req)
	if j.req.KVHandle == "" && !fakehttp.Pause(j.ctx, e.opt.Prefill) {
		return "cancelled"
	}
	for sent := 0; j.produced < total; {
		n := min(e.opt.ChunkTokens, total-j.produced)
		if !fakehttp.Pause(j.ctx, time.Duration(n)*e.opt.TokenDelay) {
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

// produce makes the next n tokens under the present weight version.
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

// promptCache is a prefix cache that evicts what was not used for longest.
type promptCache struct {
	blocks int // most blocks held; zero is no cache

	mu   sync.Mutex
	used []uint64 // hashes of blocks, the least recently used first
}

// use returns how many bytes of a prompt are cached, and caches it.
func (c *promptCache) use(scope, prompt string) (bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for _, h := range prefix.Hashes(scope, prompt) {
		if hit = hit && slices.Contains(c.used, h); hit {
			bytes += prefix.BlockBytes
		}
		c.used = append(slices.DeleteFunc(c.used, func(u uint64) bool { return u == h }), h)
	}
	c.used = c.used[max(len(c.used)-c.blocks, 0):]
	return bytes
}
