package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// storeDelay is the time in which the store answers, and transactionDelay the
	// time that a transaction takes besides.
	storeDelay       = 4 * time.Millisecond
	transactionDelay = 5 * time.Millisecond
	// maxRows, maxParts and maxBytes, of values, bound one answer.
	maxRows  = 500
	maxParts = 1000
	maxBytes = 1 << 20
)

// rowID names a row of the store.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store. Version is zero in conditions on rows that must not exist.
type row struct {
	rowID
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type transaction struct {
	Expected []row   `json:"expected"`
	Puts     []row   `json:"puts"`
	Remove   []rowID `json:"remove"`
}

type storeAnswer struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	More    bool     `json:"has-more"`
	Version uint64   `json:"ver"`
	NowMs   int64    `json:"now-ms"`
}

// store is the platform's store. It loses nothing and answers in order.
type store struct {
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowID]row // removed rows stay, marked as deleted
}

func newStore() *store { return &store{started: time.Now(), rows: map[rowID]row{}} }

// put writes a row as an operator, a trainer or a replica does, and returns the time of
// the confirmation.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	id := rowID{Table: table, Key: key}
	s.rows[id] = row{rowID: id, Value: data, Version: s.version}
	return time.Now()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	id := rowID{Table: table, Key: key}
	s.rows[id] = row{rowID: id, Version: s.version, Deleted: true}
}

// serve serves the store until the listener closes.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /rows-get", s.serveRows)
	mux.HandleFunc("GET /rows-parts", s.serveParts)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	_ = http.Serve(l, mux) // ends with the listener
}

func (s *store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.NowMs = time.Since(s.started).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // the caller may have gone
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay + transactionDelay)
	status, a := s.commit(tx)
	s.answer(w, status, a)
}

// commit applies all of a transaction or nothing.
func (s *store) commit(tx transaction) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, want := range tx.Expected {
		have := s.rows[want.rowID]
		if have.Deleted {
			have = row{}
		}
		holds = holds && have.Version == want.Version
		if have.Version > 0 {
			current = append(current, have)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, storeAnswer{Rows: current, Version: s.version}
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[p.rowID] = row{rowID: p.rowID, Value: p.Value, Version: s.version}
	}
	for _, id := range tx.Remove {
		s.rows[id] = row{rowID: id, Version: s.version, Deleted: true}
	}
	return http.StatusOK, storeAnswer{Version: s.version}
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	var list []row
	for id, rw := range s.rows {
		inRange := id.Key >= q.Get("from") && (q.Get("target") == "" || id.Key < q.Get("target"))
		if id.Table == q.Get("table") && id.Part == q.Get("part") && inRange && !rw.Deleted {
			list = append(list, rw)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b row) int { return compareText(a.Key, b.Key) })
	n := fitting(list[:min(limit, len(list))])
	s.answer(w, http.StatusOK, storeAnswer{Rows: list[:n], More: n < len(list), Version: version})
}

// fitting returns the number of leading rows that fit into one answer, at least one.
func fitting(list []row) int {
	size := 0
	for n, r := range list {
		if size += len(r.Value); n > 0 && size > maxBytes {
			return n
		}
	}
	return len(list)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	parts := map[string]bool{}
	s.mu.Lock()
	for id, rw := range s.rows {
		if id.Table == q.Get("table") && !rw.Deleted && (q.Get("after") == "" || id.Part > q.Get("after")) {
			parts[id.Part] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	list := slices.Sorted(maps.Keys(parts))
	s.answer(w, http.StatusOK, storeAnswer{Parts: list[:min(maxParts, len(list))], Version: version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64) // 0 reads all
	s.mu.Lock()
	var list []row
	for id, rw := range s.rows {
		if id.Table == q.Get("table") && rw.Version > after {
			list = append(list, rw)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b row) int { return int(int64(a.Version) - int64(b.Version)) })
	s.answer(w, http.StatusOK, storeAnswer{Rows: list, Version: version})
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
