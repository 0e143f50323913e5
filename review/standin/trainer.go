package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Scorer is the reward call of an item.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"hostname"`
	Path string `json:"path"`
	Body []byte `json:"body"`
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

// Batch is a batch submission.
type Batch struct {
	Step       int    `json:"step"`
	Model      string `json:"model"`
	MinVersion int    `json:"min-version"`
	Desired    int    `json:"desired"`
	Items      []Item `json:"requests"`
}

// Result is a result of a batch submission.
type Result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Output   string   `json:"output"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

// Results is the answer to a read.
type Results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next-token"`
	Results []Result `json:"results"`
}

// Trainer sends the calls of a trainer, each on a new channel.
type Trainer struct {
	Host, Key string
	Record    *Record
}

// Call sends a call and returns the status and the body of the answer. The status is
// zero if there was no whole answer.
func (t Trainer) Call(method, addr, path, id string, body []byte, wait time.Duration) (int, []byte) {
	status, data, err := t.call(method, addr, path, id, body, wait)
	t.Record.Add("client %s %s %s at %s: status %d, error %v", method, path, id, addr, status, err)
	return status, data
}

func (t Trainer) call(method, addr, path, id string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host, r.Close = t.Host, true
	r.Header.Set("Authorization", "Bearer "+t.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerDeadline, strconv.FormatInt(wait.Milliseconds(), 10))
	if id != "" {
		r.Header.Set(HeaderAttempt, id)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, data, nil
}

// Submit submits a batch submission, again after each failure, at the addresses in
// turn. It returns an error unless it is accepted within the time.
func (t Trainer) Submit(addrs []string, path, id string, b Batch, within time.Duration) error {
	body, err := json.Marshal(b)
	if err != nil {
		return err
	}
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		status, _ := t.Call(http.MethodPost, addrs[i%len(addrs)], path, id, body, 2*time.Second)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("batch submission %s was not accepted", id)
}

// Read reads results from a position.
func (t Trainer) Read(addr, id string, after int) (Results, int) {
	status, data := t.Call(http.MethodGet, addr, fmt.Sprintf("/lots/%s?after=%d", id, after), "", nil, 2500*time.Millisecond)
	var res Results
	if status == http.StatusOK && json.Unmarshal(data, &res) != nil {
		return Results{}, 0
	}
	return res, status
}
