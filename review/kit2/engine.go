package kit2

import (
	"net/http"
	"sync"
	"time"
)

// Runs notes when items were at engines.
type Runs struct {
	mu      sync.Mutex
	items   map[string]*ItemRuns
	started time.Time
}

// ItemRuns is what is known of the runs of one item.
type ItemRuns struct {
	Started  int
	Running  int
	Finished bool
	// LeftAt is when the last run ended.
	LeftAt time.Time
}

// NewRuns returns a Runs without items.
func NewRuns() *Runs { return &Runs{items: map[string]*ItemRuns{}, started: time.Now()} }

// Begin notes that a run of an item has begun, and returns its number from one.
func (r *Runs) Begin(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	it := r.items[id]
	if it == nil {
		it = &ItemRuns{}
		r.items[id] = it
	}
	it.Started++
	it.Running++
	return it.Started
}

// End notes the end of a run.
func (r *Runs) End(id string, finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it := r.items[id]
	it.Running--
	it.Finished = it.Finished || finished
	it.LeftAt = time.Now()
}

// Of returns what is known of an item.
func (r *Runs) Of(id string) ItemRuns {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it := r.items[id]; it != nil {
		return *it
	}
	return ItemRuns{}
}

// Away returns the time since an item was last at an engine, or since the start if it
// never was at one.
func (r *Runs) Away(id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it := r.items[id]; it != nil {
		return time.Since(it.LeftAt)
	}
	return time.Since(r.started)
}

// AddEngine starts an engine whose items have a number of events, one each pause.
func (e *Env) AddEngine(id string, runs *Runs, last int, pause time.Duration) (*Replica, error) {
	p := &Replica{ID: id, Service: EngineService, Zone: "mvd-a", Slots: 8, Engine: true}
	p.Serve = func(w http.ResponseWriter, r *http.Request, _ []byte) {
		item := r.Header.Get(HeaderAttempt)
		n := runs.Begin(item)
		e.Printf("replica %s: item %s begins, run %d, after event %q", id, item, n, r.Header.Get("Last-Event-Id"))
		done := p.Stream(w, r, e.events(item, last), func(int) { time.Sleep(pause) }, func(int) string { return e.text(item) })
		runs.End(item, done)
		e.Printf("replica %s: item %s ends, finished: %v", id, item, done)
	}
	return p, p.Start(e.IP()+":0", e.Store)
}

// events returns the number of events of an item.
func (e *Env) events(item string, usual int) int {
	if e.ItemEvents != nil {
		return e.ItemEvents(item)
	}
	return usual
}

// text returns the text of an event of an item.
func (e *Env) text(item string) string {
	if e.ItemText != nil {
		return e.ItemText(item)
	}
	return "token " + item
}

// AddPlain starts a replica of the plain service that answers at once.
func (e *Env) AddPlain(id string) (*Replica, error) {
	p := &Replica{ID: id, Service: PlainService, Zone: "mvd-a", Slots: 6}
	p.Serve = func(w http.ResponseWriter, _ *http.Request, _ []byte) { p.Answer(w, "scored") }
	return p, p.Start(e.IP()+":0", e.Store)
}

// Owner returns the machine that runs a step, as its row in the store says, or nil. A
// case uses it only to choose the machine that a disturbance strikes.
func (e *Env) Owner(step string) *Machine {
	for _, row := range e.Store.Rows("cumincove-steps", step, func(key string) bool { return key == "state/owner" }) {
		for _, m := range e.Machines {
			if containsName(row.Value, m.Name) {
				return m
			}
		}
	}
	return nil
}
