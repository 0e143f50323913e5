package kit2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	HeaderAttempt  = "Cumincove-Attempt-Id"
	HeaderDeadline = "Cumincove-Deadline-Ms"
	HeaderExpect   = "Cumincove-Expect-Instance"
	HeaderStamp    = "Cumincove-Response-Stamp"
	HeaderNotRun   = "Cumincove-Not-Executed"
	HeaderReplica  = "Cumincove-Replica-Id"
	HeaderVersions = "Cumincove-Weight-Versions"
	HeaderWait     = "Cumincove-Wait-Ms"
)

// heartbeat is the time between two writes of a replica's entry, in its settings
// heartbeat-ms.
const heartbeat = 1200 * time.Millisecond

// Model is the model of all engines.
const Model = "daka510000"

// Replica is a sound replica of a plain service or, with Engine, a model engine. Its
// Serve runs the requests that are meant for it.
type Replica struct {
	ID, Service, Zone string
	Slots             int
	Engine            bool
	// LoadTime is how long an engine loads weights after an order. It refuses what has
	// not begun meanwhile.
	LoadTime time.Duration
	// OnOrder, if set, is called for each order.
	OnOrder func()
	// Serve runs a request whose body was read.
	Serve func(w http.ResponseWriter, r *http.Request, body []byte)

	Addr  string
	store *Store
	born  int64
	seq   atomic.Uint64
	stop  chan struct{}
	once  sync.Once
	srv   *http.Server
	stamp atomic.Uint64

	mu      sync.Mutex
	version int // of the weights
	orders  int
	busy    bool
}

// Start listens at an address ("ip:0" for a free port) and registers the replica.
func (p *Replica) Start(addr string, store *Store) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	p.StartOn(l, store, p)
	return nil
}

// StartOn serves a listener with a handler, and registers the replica.
func (p *Replica) StartOn(l net.Listener, store *Store, h http.Handler) {
	p.store, p.Addr, p.stop, p.born = store, l.Addr().String(), make(chan struct{}), time.Now().UnixMilli()
	p.version = 1
	p.srv = &http.Server{Handler: h}
	go func() { _ = p.srv.Serve(l) }()
	p.register()
	go p.beat()
}

// Crash ends the replica at once: its listener, its connections and its heartbeats. Its
// entry stays until it lapses.
func (p *Replica) Crash() {
	p.once.Do(func() {
		close(p.stop)
		_ = p.srv.Close()
		time.AfterFunc(3*heartbeat, func() { p.store.Remove("servers", p.ID) })
	})
}

// Ended reports whether the replica has crashed.
func (p *Replica) Ended() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

func (p *Replica) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.register()
		case <-p.stop:
			return
		}
	}
}

func (p *Replica) register() {
	entry := map[string]any{
		"service": p.Service, "addr": p.Addr, "zone": p.Zone, "version": "v1", "slots": p.Slots, "state": "ready",
		"cold-left-ms": 0, "seq": p.seq.Add(1), "born": p.born,
	}
	if p.Engine {
		entry["stage"] = "both"
		entry["models"] = p.models()
	}
	p.store.Put("servers", p.ID, entry)
}

func (p *Replica) models() []any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return []any{map[string]any{"name": Model, "version": p.version, "adapters": []any{}}}
}

// report answers with the state of an engine.
func (p *Replica) report(w http.ResponseWriter) {
	models := p.models()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": models, "busy": p.busy, "seq": p.orders, "queued": 0, "active": 0,
		"kv-used": 0, "kv-total": 46180, "handles": 0, "born": p.born,
	})
}

// order carries out an order to load weights.
func (p *Replica) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int  `json:"version"`
		Expected *int `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.version == o.Version:
		return
	case p.busy || o.Expected != nil && *o.Expected != p.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.orders++
	p.busy = true
	time.AfterFunc(p.LoadTime, func() {
		p.mu.Lock()
		p.busy, p.version = false, o.Version
		p.mu.Unlock()
		if !p.Ended() {
			p.register()
		}
	})
	if p.OnOrder != nil {
		p.OnOrder()
	}
	w.WriteHeader(http.StatusAccepted)
}

// Version returns the version of an engine's weights, and whether it loads others.
func (p *Replica) Version() (version int, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version, p.busy
}

// ServeHTTP serves what reaches the replica.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set(HeaderReplica, p.ID)
		return
	case r.URL.Path == "/report":
		p.report(w)
		return
	case r.URL.Path == "/order":
		p.order(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expect := r.Header.Get(HeaderExpect); expect != "" && expect != p.ID {
		w.Header().Set(HeaderReplica, p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	if r.Header.Get(HeaderAttempt) == "" {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, busy := p.Version(); busy {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.Serve(w, r, body)
}

// Stamp returns a new signature of the replica.
func (p *Replica) Stamp() string { return fmt.Sprintf("%s.%x.%x", p.ID, p.born, p.stamp.Add(1)) }

// Answer writes a success with the replica's signature.
func (p *Replica) Answer(w http.ResponseWriter, body string) {
	w.Header().Set(HeaderStamp, p.Stamp())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// Stream writes the events from after+1 to last, whose texts text returns, and waits
// before each one. It stops early if the channel closes.
func (p *Replica) Stream(w http.ResponseWriter, r *http.Request, last int, pause func(n int), text func(n int) string) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero without it
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	version, _ := p.Version()
	h.Set(HeaderVersions, strconv.Itoa(version))
	h.Set(HeaderStamp, p.Stamp())
	rc := http.NewResponseController(w)
	for n := after + 1; n <= last; n++ {
		pause(n)
		if r.Context().Err() != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text(n)); err != nil || rc.Flush() != nil {
			return false
		}
	}
	return true
}
