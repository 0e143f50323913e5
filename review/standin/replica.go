package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of requests and responses.
const (
	HeaderAttempt  = "Cumincove-Attempt-Id"
	headerDeadline = "Cumincove-Deadline-Ms"
	headerStamp    = "Cumincove-Response-Stamp"
	headerInstance = "Cumincove-Expect-Instance"
	headerReplica  = "Cumincove-Replica-Id"
	headerNotRun   = "Cumincove-Not-Executed"
	headerVersions = "Cumincove-Weight-Versions"
	headerResume   = "Last-Event-Id"
	headerLeaving  = "Server-Leaving"
)

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// Run is one run of a request at a replica.
type Run struct {
	ID      string
	Replica string
	// Path is the path and the query as received.
	Path     string
	From, To time.Time // To is zero while it runs
	// Complete is set if the last event was sent, or the answer.
	Complete bool
	Status   int
}

// Runs lists the runs at all replicas.
type Runs struct {
	mu   sync.Mutex
	list []*Run
}

// All returns copies of the runs.
func (rs *Runs) All() []Run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var list []Run
	for _, r := range rs.list {
		list = append(list, *r)
	}
	return list
}

func (rs *Runs) begin(id, replica, path string) *Run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := &Run{ID: id, Replica: replica, Path: path, From: time.Now()}
	rs.list = append(rs.list, r)
	return r
}

func (rs *Runs) end(r *Run, status int, complete bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.To, r.Status, r.Complete = time.Now(), status, complete
}

// Replica is a replica of a service.
type Replica struct {
	ID      string
	Service string
	Addr    string
	Slots   int
	// Model is the model of an engine; empty means a plain service.
	Model string
	// Events returns the number of events of an item's text, and EventTime is the time
	// between two.
	Events    func(id string) int
	EventTime time.Duration
	// PauseAfter is the event after which a stream pauses for PauseTime, as one does
	// whose request is preempted and read in again. Zero means none.
	PauseAfter int
	PauseTime  time.Duration
	// WorkTime is the time of a request of a plain service.
	WorkTime time.Duration
	// Answer returns the body of an answer of a plain service; nil is the usual one.
	Answer func(id string) string

	Record *Record
	Runs   *Runs

	zone   string
	born   time.Time
	server *http.Server
	mu     sync.Mutex
	seq    int
	busy   int
	// draining is set once the replica leaves, and gone once its entry is removed.
	draining, gone bool
}

// Start starts a replica and writes its entry to the store until the process ends.
func (r *Replica) Start(ip, zone string, s *Store) error {
	if err := r.Listen(ip); err != nil {
		return err
	}
	r.zone, r.born = zone, time.Now()
	go func() {
		for r.writeEntry(s) {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// writeEntry writes the replica's entry, and returns false once it is removed.
func (r *Replica) writeEntry(s *Store) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.gone {
		s.Put("servers", r.ID, r.entry())
	}
	return !r.gone
}

// Leave reports that the replica is draining, serves for some time, removes the entry
// and ends.
func (r *Replica) Leave(s *Store, serve time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.writeEntry(s)
	r.Record.Add("replica %s is draining", r.ID)
	time.Sleep(serve)
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	s.Remove("servers", r.ID)
	r.server.Close()
	r.Record.Add("replica %s has left", r.ID)
}

// Listen serves requests without an entry in the store.
func (r *Replica) Listen(ip string) (err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerReplica, r.ID) })
	mux.HandleFunc("/", r.run)
	r.Addr, r.server, err = serve(ip, mux)
	return err
}

func (r *Replica) models() []map[string]any {
	if r.Model == "" {
		return nil
	}
	return []map[string]any{{"name": r.Model, "version": 1, "adapters": []string{}}}
}

// entry returns the replica's entry. The caller must hold mu.
func (r *Replica) entry() map[string]any {
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": r.Service, "addr": r.Addr, "zone": r.zone, "version": "v1", "slots": r.Slots,
		"state": state, "cold-left-ms": 0, "seq": r.seq, "born": r.born.UnixMilli(),
	}
	if r.Model != "" {
		e["stage"], e["models"] = "both", r.models()
	}
	return e
}

func (r *Replica) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	r.mu.Lock()
	active := r.busy
	r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": r.models(), "busy": false, "seq": 0, "queued": 0, "active": active,
		"kv-used": 0, "kv-total": 100000, "handles": 0,
	})
}

// acquire takes a slot, and returns false if there is none.
func (r *Replica) acquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy >= r.Slots {
		return false
	}
	r.busy++
	return true
}

func (r *Replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

func (r *Replica) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// Busy returns the number of requests that the replica runs.
func (r *Replica) Busy() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy
}

func (r *Replica) run(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id, h := q.Header.Get(HeaderAttempt), w.Header()
	h.Set(HeaderAttempt, id)
	if r.isDraining() {
		h.Set(headerLeaving, "1")
	}
	if want := q.Header.Get(headerInstance); want != "" && want != r.ID {
		h.Set(headerReplica, r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || !r.acquire() {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.release()
	run := r.Runs.begin(id, r.ID, q.RequestURI)
	r.Record.Add("replica %s runs %s %s %s, events after %q", r.ID, q.Method, q.RequestURI, id, q.Header.Get(headerResume))
	complete := r.answer(w, q, id)
	r.Runs.end(run, http.StatusOK, complete)
	r.Record.Add("replica %s ended %s, complete %v", r.ID, id, complete)
}

// answer sends the answer, and reports whether it was sent whole.
func (r *Replica) answer(w http.ResponseWriter, q *http.Request, id string) bool {
	w.Header().Set(headerStamp, "stamp-"+id)
	if r.Model == "" {
		if !sleep(q, r.WorkTime) {
			return false
		}
		body := "answer to " + id
		if r.Answer != nil {
			body = r.Answer(id)
		}
		_, err := io.WriteString(w, body)
		return err == nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerVersions, "1")
	after, _ := strconv.Atoi(q.Header.Get(headerResume)) // zero without the header
	rc := http.NewResponseController(w)
	for i := after + 1; i <= r.Events(id); i++ {
		if !sleep(q, r.EventTime) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", i, id, i); err != nil || rc.Flush() != nil {
			return false
		}
		if i == r.PauseAfter && !r.pause(q, id) {
			return false
		}
	}
	return true
}

func (r *Replica) pause(q *http.Request, id string) bool {
	r.Record.Add("replica %s preempts %s", r.ID, id)
	return sleep(q, r.PauseTime)
}

// sleep waits, and returns false if the request's channel closes before.
func sleep(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

// StartDuties starts a stand-in for the platform's interface for duties, which
// accepts all calls.
func StartDuties(ip string) (addr string, err error) {
	addr, _, err = serve(ip, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		w.WriteHeader(http.StatusOK)
	}))
	return addr, err
}
