package kit2

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store (PROTOCOL, "The platform's metadata store").
const (
	maxEntries  = 100
	maxCall     = 1_000_000
	maxRows     = 500
	maxRowBytes = 65536
	maxText     = 200
	txTime      = 5 * time.Millisecond
	readTime    = 4 * time.Millisecond
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

type rowPart struct{ table, part string }

func (k rowKey) in() rowPart { return rowPart{k.table, k.part} }

type storeAnswer struct {
	Rows    []Row    `json:"rows,omitempty"`
	More    bool     `json:"has-more"`
	Parts   []string `json:"parts,omitempty"`
	Version uint64   `json:"ver"`
	Now     int64    `json:"now-ms"`
}

// Store is a stand-in of the platform's store. Its history is never discarded, and its
// rates are not limited.
type Store struct {
	Addr string
	// OnRow, if set, is called after each write of a row, without a lock.
	OnRow func(Row)

	mu sync.Mutex
	// rows and removed are indexed by table and part, and then by key.
	rows    map[rowPart]map[string]Row
	removed map[rowKey]Row
	version uint64
	parts   map[string]*sync.Mutex // transactions of one part run one after another
	started time.Time
}

// NewStore starts a store on a loopback address.
func NewStore(ip string) (*Store, error) {
	s := &Store{rows: map[rowPart]map[string]Row{}, removed: map[rowKey]Row{}, parts: map[string]*sync.Mutex{}, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.listParts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	addr, err := serve(ip, mux)
	s.Addr = addr
	return s, err
}

// serve serves a handler on a free port of a loopback address.
func serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// Put writes a row of the unnamed part as the operator or a replica does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowKey{table, "", key}, data)
}

// set writes a row with the current version. The caller must hold mu.
func (s *Store) set(k rowKey, value []byte) Row {
	if s.rows[k.in()] == nil {
		s.rows[k.in()] = map[string]Row{}
	}
	row := Row{Table: k.table, Part: k.part, Key: k.key, Value: value, Version: s.version}
	delete(s.removed, k)
	s.rows[k.in()][k.key] = row
	return row
}

// Remove removes a row of the unnamed part.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(rowKey{table, "", key})
}

// remove removes a row with the current version. The caller must hold mu.
func (s *Store) remove(k rowKey) {
	if _, ok := s.rows[k.in()][k.key]; !ok {
		return
	}
	delete(s.rows[k.in()], k.key)
	s.removed[k] = Row{Table: k.table, Part: k.part, Key: k.key, Version: s.version, Deleted: true}
}

// Rows returns the rows of a part whose keys satisfy keep, by key.
func (s *Store) Rows(table, part string, keep func(key string) bool) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Row
	for key, r := range s.rows[rowPart{table, part}] {
		if keep(key) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return list
}

func (s *Store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.Now = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

type transaction struct {
	Expected []Row `json:"expected"`
	Puts     []Row `json:"puts"`
	Remove   []Row `json:"remove"`
	Across   bool  `json:"across"`
}

func (t transaction) check() error {
	part, seen := "", false
	all := slices.Concat(t.Expected, t.Puts, t.Remove)
	if len(all) > maxEntries {
		return fmt.Errorf("%d entries", len(all))
	}
	for _, r := range all {
		switch {
		case len(r.Table) > maxText || len(r.Part) > maxText || len(r.Key) > maxText:
			return fmt.Errorf("a name is too long")
		case r.Table == "op" || r.Table == "servers":
			return fmt.Errorf("the system may not write to %s", r.Table)
		case len(r.Value) > maxRowBytes:
			return fmt.Errorf("a row of %d bytes", len(r.Value))
		case seen && r.Part != part && !t.Across:
			return fmt.Errorf("several parts")
		}
		part, seen = r.Part, true
	}
	return nil
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(body) > maxCall {
		s.answer(w, http.StatusRequestEntityTooLarge, storeAnswer{})
		return
	}
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil || t.check() != nil {
		s.answer(w, http.StatusBadRequest, storeAnswer{})
		return
	}
	part := ""
	for _, x := range slices.Concat(t.Expected, t.Puts, t.Remove) {
		part = x.Part
	}
	s.mu.Lock()
	lock := s.parts[part]
	if lock == nil {
		lock = &sync.Mutex{}
		s.parts[part] = lock
	}
	s.mu.Unlock()
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(txTime)
	status, a := s.execute(t)
	s.answer(w, status, a)
}

func (s *Store) execute(t transaction) (int, storeAnswer) {
	s.mu.Lock()
	var current []Row
	held := true
	for _, e := range t.Expected {
		row, ok := s.rows[rowPart{e.Table, e.Part}][e.Key]
		held = held && row.Version == e.Version
		if ok {
			current = append(current, row)
		}
	}
	if !held {
		defer s.mu.Unlock()
		return http.StatusPreconditionFailed, storeAnswer{Rows: current, Version: s.version}
	}
	s.version++
	var written []Row
	for _, p := range t.Puts {
		written = append(written, s.set(rowKey{p.Table, p.Part, p.Key}, p.Value))
	}
	for _, p := range t.Remove {
		s.remove(rowKey{p.Table, p.Part, p.Key})
	}
	a := storeAnswer{Version: s.version}
	s.mu.Unlock()
	if s.OnRow != nil {
		for _, row := range written {
			s.OnRow(row)
		}
	}
	return http.StatusOK, a
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	list := s.Rows(q.Get("table"), q.Get("part"), func(key string) bool {
		return key >= q.Get("from") && (!q.Has("target") || key < q.Get("target"))
	})
	a := storeAnswer{}
	size := 0
	for i, row := range list {
		if size += len(row.Value); i >= limit || i > 0 && size > maxCall {
			a.More = true
			break
		}
		a.Rows = append(a.Rows, row)
	}
	s.mu.Lock()
	a.Version = s.version
	s.mu.Unlock()
	s.answer(w, http.StatusOK, a)
}

func (s *Store) listParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	a := storeAnswer{}
	s.mu.Lock()
	for p, rows := range s.rows {
		if p.table == q.Get("table") && len(rows) > 0 && (p.part > q.Get("after") || !q.Has("after")) {
			a.Parts = append(a.Parts, p.part)
		}
	}
	a.Version = s.version
	s.mu.Unlock()
	slices.Sort(a.Parts)
	a.Parts = a.Parts[:min(len(a.Parts), 1000)]
	s.answer(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		s.answer(w, http.StatusBadRequest, storeAnswer{})
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	until := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		a := s.changes(q.Get("table"), after)
		if len(a.Rows) > 0 || time.Now().After(until) {
			s.answer(w, http.StatusOK, a)
			return
		}
		time.Sleep(readTime)
	}
}

func (s *Store) changes(table string, after uint64) storeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Version: s.version}
	for p, rows := range s.rows {
		for _, row := range rows {
			if p.table == table && row.Version > after {
				a.Rows = append(a.Rows, row)
			}
		}
	}
	for k, row := range s.removed {
		if k.table == table && row.Version > after {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y Row) int { return cmp.Compare(x.Version, y.Version) })
	return a
}

// StartDuties starts the interface for singleton duties, which accepts every call.
func StartDuties(ip string) (string, error) {
	return serve(ip, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
}

// containsName reports whether a row's JSON text has a name as a value.
func containsName(value []byte, name string) bool {
	return strings.Contains(string(value), strconv.Quote(name))
}
