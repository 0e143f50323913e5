package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// txTime is the time of a transaction or a read.
	txTime = 4 * time.Millisecond
	// maxRows and maxParts bound a response of the store.
	maxRows  = 500
	maxParts = 1000
)

// storeRow is a row of the store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is the platform's metadata store.
type store struct {
	start time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowID]storeRow
	history []storeRow
	// lastWriter is the machine that last wrote under a condition, by part of the
	// table of steps.
	lastWriter map[string]string
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowID]storeRow{}, lastWriter: map[string]string{}}
}

type storeTx struct {
	Expected []storeRow `json:"expected"`
	Puts     []storeRow `json:"puts"`
	Remove   []storeRow `json:"remove"`
}

// put writes a row without a condition, as the operator and the replicas do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Value: data, Version: s.version})
}

func (s *store) set(r storeRow) {
	s.rows[rowID{r.Table, r.Part, r.Key}] = r
	s.history = append(s.history, r)
}

func (s *store) delete(id rowID) {
	if _, ok := s.rows[id]; !ok {
		return
	}
	delete(s.rows, id)
	s.history = append(s.history, storeRow{Table: id.table, Part: id.part, Key: id.key, Version: s.version, Deleted: true})
}

// writer returns the machine that last wrote under a condition in a part of a table
// whose name contains "steps".
func (s *store) writer(part string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter[part]
}

// handler returns the store's interface as one machine sees it.
func (s *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, machine) })
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	Parts   []string   `json:"parts,omitempty"`
	More    bool       `json:"has-more"`
	Version uint64     `json:"ver"`
	NowMs   int64      `json:"now-ms"`
}

func (s *store) write(w http.ResponseWriter, status int, a storeAnswer) {
	time.Sleep(txTime)
	a.NowMs = time.Since(s.start).Milliseconds()
	if a.Rows == nil {
		a.Rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // the caller may have gone
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, machine string) {
	var tx storeTx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, a := s.apply(tx, machine)
	s.write(w, status, a)
}

func (s *store) apply(tx storeTx, machine string) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	holds := true
	for _, c := range tx.Expected {
		row, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, row)
		}
		holds = holds && row.Version == c.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, storeAnswer{Rows: current, Version: s.version}
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.set(p)
		if len(tx.Expected) > 0 && strings.Contains(p.Table, "steps") {
			s.lastWriter[p.Part] = machine
		}
	}
	for _, d := range tx.Remove {
		s.delete(rowID{d.Table, d.Part, d.Key})
	}
	return http.StatusOK, storeAnswer{Version: s.version}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.write(w, http.StatusOK, s.list(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit))
}

func (s *store) list(table, part, from, to string, limit int) storeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for id, row := range s.rows {
		if id.table == table && id.part == part && id.key >= from && (to == "" || id.key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	return storeAnswer{Rows: rows[:min(len(rows), limit)], More: more, Version: s.version}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	seen := map[string]bool{}
	var parts []string
	for id := range s.rows {
		if id.table == q.Get("table") && id.part > q.Get("after") && !seen[id.part] {
			seen[id.part] = true
			parts = append(parts, id.part)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.Sort(parts)
	more := len(parts) > maxParts
	s.write(w, http.StatusOK, storeAnswer{Parts: parts[:min(len(parts), maxParts)], More: more, Version: version})
}

// feed answers at once: the program never waits for changes.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var rows []storeRow
	for _, row := range s.history {
		if row.Table == q.Get("table") && row.Version > after {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	s.write(w, http.StatusOK, storeAnswer{Rows: rows, Version: version})
}
