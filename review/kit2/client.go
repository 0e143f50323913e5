package kit2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// oneShot opens a new channel for each call.
var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}

// Answer is what a client got; Status is zero without a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a request of a client on a channel of its own.
func Call(addr, method, target, id string, deadline time.Duration, header map[string]string, body []byte) Answer {
	r, err := http.NewRequest(method, "http://"+addr+target, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	r.Host = Host
	r.Header.Set("Authorization", "Bearer "+Key)
	if id != "" {
		r.Header.Set(HeaderAttempt, id)
		r.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := oneShot.Do(r)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{resp.StatusCode, resp.Header, data}
}

// Item is an item of a batch submission.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"num-tokens"`
	Group   string            `json:"group-id"`
	Scorer  *Scorer           `json:"scorer,omitempty"`
}

// Scorer is the reward call of an item.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"hostname"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Submission is a batch submission.
type Submission struct {
	Step       int    `json:"step"`
	Model      string `json:"model"`
	MinVersion int    `json:"min-version"`
	Desired    int    `json:"desired"`
	Requests   []Item `json:"requests"`
}

// NewItem returns an item with a body, and with a reward call.
func NewItem(id, group string, body []byte) Item {
	return Item{
		ID: id, Path: "/pule252/3/" + id, Group: group, Body: body, Tokens: 60,
		Headers: map[string]string{"Cumincove-Model": Model, "Cumincove-Token-Count": "10,50", "Cumincove-Length-Hint": "20"},
		Scorer:  &Scorer{ID: "5c" + id, Host: Host, Path: "/pufi791/" + id, Body: []byte("x")},
	}
}

// Submit sends a batch submission.
func Submit(addr, id string, s Submission) Answer {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return Call(addr, http.MethodPost, "/pule252/"+id, id, 12*time.Second, map[string]string{"Content-Type": "application/json"}, data)
}

// Result is a listed result.
type Result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
	Score  string `json:"score"`
}

// Results is the answer to a read of results.
type Results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next-token"`
	Results []Result `json:"results"`
}

// Read reads the results from a position on. It returns the status, zero without an
// answer.
func Read(addr, id string, after int, wait time.Duration) (int, Results) {
	header := map[string]string{}
	if wait > 0 {
		header[HeaderWait] = strconv.FormatInt(wait.Milliseconds(), 10)
	}
	a := Call(addr, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), "", 0, header, nil)
	var res Results
	if a.Status == http.StatusOK && json.Unmarshal(a.Body, &res) != nil {
		return 0, res
	}
	return a.Status, res
}

// Record is the record of a run: what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates a record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, started: time.Now()}, err
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }
