package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Headers of requests and answers.
const (
	headerAttempt = "Cumincove-Attempt-Id"
	headerStamp   = "Cumincove-Response-Stamp"
	headerExpect  = "Cumincove-Expect-Instance"
	headerNotRun  = "Cumincove-Not-Executed"
	headerVersion = "Cumincove-Weight-Versions"
	headerBudget  = "Cumincove-Deadline-Ms"
	headerReplica = "Cumincove-Replica-Id"
)

const (
	// beatPeriod is the time between two entries of a replica in the store.
	beatPeriod = 1200 * time.Millisecond
	// replicaSlots is the number of requests that a replica runs at a time.
	replicaSlots = 8
	// gapSpread is the part by which the speeds of an engine's runs differ.
	gapSpread = 0.25
	// weightVersion is the version of the engines' weights in all cases.
	weightVersion = 1
)

// replicaOptions describe a replica.
type replicaOptions struct {
	id, service, zone string
	// engine is set for a model engine, which serves all models.
	engine bool
	// eventGap is the time between two events of an engine's stream, and events
	// returns the number of events of an item.
	eventGap time.Duration
	events   func(id string) int
	// work returns how long a plain replica works on a request.
	work func(r *http.Request) time.Duration
	// runs, if set, notes the runs of an engine.
	runs *runLog
	// dropped, if set, is called when a plain replica drops a request because its
	// channel closed.
	dropped func(id string)
}

// replica is a server of a service.
type replica struct {
	o      replicaOptions
	rec    *record
	store  *store
	addr   string
	server *http.Server
	born   int64
	seq    atomic.Int64
	runs   atomic.Int64
	active atomic.Int64
}

func newReplica(rec *record, s *store, o replicaOptions) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{o: o, rec: rec, store: s, addr: l.Addr().String(), born: time.Now().UnixMilli()}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r, nil
}

// beat writes the replica's entry until ctx ends.
func (r *replica) beat(ctx context.Context) {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		entry := map[string]any{
			"service": r.o.service, "addr": r.addr, "zone": r.o.zone, "version": "v1", "slots": replicaSlots,
			"state": "ready", "cold-left-ms": 0, "seq": r.seq.Add(1), "born": r.born,
		}
		if r.o.engine {
			entry["stage"] = "both"
			entry["models"] = r.models()
		}
		r.store.put("servers", r.o.id, entry)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *replica) models() []map[string]any {
	var list []map[string]any
	for _, name := range models {
		list = append(list, map[string]any{"name": name, "version": weightVersion, "adapters": []string{}})
	}
	return list
}

// ServeHTTP serves one request.
func (r *replica) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if want := hr.Header.Get(headerExpect); want != "" && want != r.o.id {
		w.Header().Set(headerReplica, r.o.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch hr.Method + " " + hr.URL.Path {
	case "GET /healthz":
		w.Header().Set(headerReplica, r.o.id)
		return
	case "GET /report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": r.models(), "busy": false, "seq": 0, "queued": 0,
			"active": r.active.Load(), "kv-used": 0, "kv-total": 46180, "handles": 0,
		})
		return
	}
	r.run(w, hr)
}

// run runs a request, or rejects it if the replica is full.
func (r *replica) run(w http.ResponseWriter, hr *http.Request) {
	id := hr.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if id == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer r.active.Add(-1)
	if r.active.Add(1) > replicaSlots {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, hr.Body); err != nil {
		return
	}
	ctx := hr.Context()
	if ms, err := strconv.ParseFloat(hr.Header.Get(headerBudget), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	n := r.runs.Add(1)
	w.Header().Set(headerStamp, fmt.Sprintf("%s.%d", r.o.id, n))
	if r.o.engine {
		r.stream(ctx, w, hr, id)
		return
	}
	r.answer(ctx, w, hr, id)
}

// answer runs a plain request. The replica drops it when the channel closes.
func (r *replica) answer(ctx context.Context, w http.ResponseWriter, hr *http.Request, id string) {
	began := time.Now()
	work := r.o.work(hr)
	r.note("replica %s begins %s %s (%v of work)", r.o.id, id, hr.URL.Path, work)
	select {
	case <-time.After(work):
	case <-ctx.Done():
		if r.o.dropped != nil {
			r.o.dropped(id)
		}
		r.note("replica %s drops %s after %v of %v of work: %v", r.o.id, id, time.Since(began).Round(time.Millisecond), work, ctx.Err())
		return
	}
	body := "answer to " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(w, body)
	r.note("replica %s answers %s after %v: %v", r.o.id, id, time.Since(began).Round(time.Millisecond), err)
}

// stream generates the events of an item that follow Last-Event-Id.
func (r *replica) stream(ctx context.Context, w http.ResponseWriter, hr *http.Request, id string) {
	after, _ := strconv.Atoi(hr.Header.Get("Last-Event-Id")) // zero without the header
	last := r.o.events(id)
	r.note("engine %s begins %s after event %d of %d", r.o.id, id, after, last)
	finished := false
	if r.o.runs != nil {
		r.o.runs.begin(id)
		defer func() { r.o.runs.end(id, finished) }()
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(headerVersion, strconv.Itoa(weightVersion))
	rc := http.NewResponseController(w)
	gap := time.Duration(float64(r.o.eventGap) * (1 - gapSpread + 2*gapSpread*rand.Float64()))
	for n := after + 1; n <= last; n++ {
		select {
		case <-time.After(gap):
		case <-ctx.Done():
			r.note("engine %s drops %s after event %d", r.o.id, id, n-1)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n)); err != nil {
			return
		}
		_ = rc.Flush() // the next write fails, too
	}
	finished = true
	r.note("engine %s ends %s after event %d", r.o.id, id, last)
}

// note records what the replica does, unless the record is quiet.
func (r *replica) note(format string, args ...any) {
	if !r.rec.quiet.Load() {
		r.rec.printf(format, args...)
	}
}

// eventText is the data of an event.
func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }
