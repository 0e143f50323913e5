package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the store's calls, as the settings of a process name them.
const (
	answerTime      = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
	maxRows         = 500
	maxParts        = 1000
	maxEntries      = 100
	// minLate and maxLate bound the delay of transactions that are executed late.
	minLate = time.Second
	maxLate = 6 * time.Second
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

// rowKey identifies a row.
type rowKey struct{ Table, Part, Key string }

type condition struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version uint64 `json:"ver"`
}

// Transaction is the body of a call of /rows-tx.
type Transaction struct {
	Conditions []condition `json:"expected"`
	Puts       []Row       `json:"puts"`
	Removed    []rowKey    `json:"remove"`
}

type answer struct {
	Rows    []Row    `json:"rows"`
	More    bool     `json:"has-more"`
	Parts   []string `json:"parts,omitempty"`
	Version uint64   `json:"ver"`
	NowMs   int64    `json:"now-ms"`
}

// Store is a stand-in for the platform's store.
type Store struct {
	Addr string

	handler http.Handler

	mu      sync.Mutex
	rows    map[rowKey]Row
	removed map[rowKey]Row
	version uint64
	started time.Time
	// slow is the factor by which answers take longer.
	slow time.Duration
	// partLocks make the transactions of a part run one after another.
	partLocks map[string]*sync.Mutex
	// late is the share of transactions that are executed late and not answered.
	late float64
	// lose decides whether the answer of an executed transaction is lost.
	lose func(Transaction) bool
}

// NewStore starts a store.
func NewStore(ip string) (*Store, error) {
	s := &Store{rows: map[rowKey]Row{}, removed: map[rowKey]Row{}, started: time.Now(), slow: 1, partLocks: map[string]*sync.Mutex{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.read(s.get))
	mux.HandleFunc("GET /rows-parts", s.read(s.parts))
	mux.HandleFunc("GET /rows-feed", s.read(s.feed))
	s.handler = mux
	addr, _, err := serve(ip, mux)
	s.Addr = addr
	return s, err
}

// Link is an instance's way to the store.
type Link struct {
	Addr string

	mu  sync.Mutex
	cut bool
}

// NewLink opens a way to the store at an address of its own.
func (s *Store) NewLink(ip string) (*Link, error) {
	l := &Link{}
	addr, _, err := serve(ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isCut() { // nothing comes on this channel
			<-r.Context().Done()
			return
		}
		s.handler.ServeHTTP(w, r)
	}))
	l.Addr = addr
	return l, err
}

// SetCut cuts the way, silently, or heals it.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// SetSlow makes answers take longer by a factor.
func (s *Store) SetSlow(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = time.Duration(factor)
}

// SetLose sets the function that decides which answers of transactions are lost.
func (s *Store) SetLose(f func(Transaction) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = f
}

// SetLate makes a share of the transactions be executed some seconds later, without an
// answer.
func (s *Store) SetLate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = share
}

// Put writes a row, as the operator or a replica does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("standin: encode a row: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.removed, rowKey{table, "", key})
	s.rows[rowKey{table, "", key}] = Row{Table: table, Key: key, Value: data, Version: s.version}
}

// Remove removes a row, as its writer does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{table, "", key}
	delete(s.rows, k)
	s.removed[k] = Row{Table: table, Key: key, Version: s.version, Deleted: true}
}

// Find returns the first row whose key and value the function accepts.
func (s *Store) Find(accept func(Row) bool) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows {
		if accept(row) {
			return row, true
		}
	}
	return Row{}, false
}

func (s *Store) isLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.late
}

func (s *Store) factor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

func (s *Store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.partLocks[part]
	if l == nil {
		l = new(sync.Mutex)
		s.partLocks[part] = l
	}
	return l
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx Transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part, ok := tx.part()
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.isLate() {
		time.AfterFunc(minLate+rand.N(maxLate-minLate), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(tx)
		})
		<-r.Context().Done()
		return
	}
	l := s.partLock(part)
	l.Lock()
	time.Sleep(transactionTime * s.factor())
	s.mu.Lock()
	status, resp := s.apply(tx)
	lost := s.lose != nil && status == http.StatusOK && s.lose(tx)
	s.mu.Unlock()
	l.Unlock()
	if lost { // nothing more comes on this channel
		<-r.Context().Done()
		return
	}
	s.write(w, status, resp)
}

// part returns the one part of a transaction, and false if the transaction is not
// valid.
func (tx Transaction) part() (string, bool) {
	var parts []string
	for _, c := range tx.Conditions {
		parts = append(parts, c.Part)
	}
	for _, p := range tx.Puts {
		parts = append(parts, p.Part)
	}
	for _, k := range tx.Removed {
		parts = append(parts, k.Part)
	}
	n := len(parts)
	parts = slices.Compact(slices.Sorted(slices.Values(parts)))
	if len(parts) != 1 || n > maxEntries {
		return "", false
	}
	return parts[0], true
}

// apply executes a transaction. The caller must hold mu.
func (s *Store) apply(tx Transaction) (int, answer) {
	resp := answer{Rows: []Row{}}
	conflict := false
	for _, c := range tx.Conditions {
		row, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		conflict = conflict || row.Version != c.Version
		if ok {
			resp.Rows = append(resp.Rows, row)
		}
	}
	if conflict {
		resp.Version = s.version
		return http.StatusPreconditionFailed, resp
	}
	s.version++
	for _, p := range tx.Puts {
		k := rowKey{p.Table, p.Part, p.Key}
		p.Version = s.version
		s.rows[k] = p
		delete(s.removed, k)
	}
	for _, k := range tx.Removed {
		delete(s.rows, k)
		s.removed[k] = Row{Table: k.Table, Part: k.Part, Key: k.Key, Version: s.version, Deleted: true}
	}
	return http.StatusOK, answer{Version: s.version}
}

// read returns the handler of a call that reads.
func (s *Store) read(f func(query func(string) string) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(answerTime * s.factor())
		s.mu.Lock()
		resp := f(r.URL.Query().Get)
		resp.Version = s.version
		s.mu.Unlock()
		s.write(w, http.StatusOK, resp)
	}
}

func (s *Store) write(w http.ResponseWriter, status int, resp answer) {
	resp.NowMs = time.Since(s.started).Milliseconds()
	if resp.Rows == nil {
		resp.Rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(resp) // the caller may be gone
}

func (s *Store) get(query func(string) string) answer {
	limit, err := strconv.Atoi(query("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	var resp answer
	for _, row := range s.sorted(query("table")) {
		if row.Part != query("part") || row.Key < query("from") || query("target") != "" && row.Key >= query("target") {
			continue
		}
		if len(resp.Rows) == limit {
			resp.More = true
			break
		}
		resp.Rows = append(resp.Rows, row)
	}
	return resp
}

func (s *Store) parts(query func(string) string) answer {
	var resp answer
	for _, row := range s.sorted(query("table")) {
		n := len(resp.Parts)
		if row.Part <= query("after") || n > 0 && resp.Parts[n-1] == row.Part {
			continue
		}
		if n == maxParts {
			break
		}
		resp.Parts = append(resp.Parts, row.Part)
	}
	return resp
}

func (s *Store) feed(query func(string) string) answer {
	after, _ := strconv.ParseUint(query("after"), 10, 64) // zero asks for all
	var resp answer
	for _, rows := range []map[rowKey]Row{s.removed, s.rows} {
		for _, row := range rows {
			if row.Table == query("table") && row.Version > after {
				resp.Rows = append(resp.Rows, row)
			}
		}
	}
	slices.SortFunc(resp.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return resp
}

// sorted returns the rows of a table in order of part and key. The caller must hold
// mu.
func (s *Store) sorted(table string) []Row {
	var list []Row
	for _, row := range s.rows {
		if row.Table == table {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(strings.Compare(a.Part, b.Part), strings.Compare(a.Key, b.Key))
	})
	return list
}
