package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes one call of a client on a new channel, and returns the status and the body.
func call(ctx context.Context, method, addr, path, attempt string, body any, header map[string]string) (int, []byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Host = hostname
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if attempt != "" {
		req.Header.Set(headerAttempt, attempt)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// item is one item of a batch submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"num-tokens"`
	Group   string            `json:"group-id"`
	Scorer  scorer            `json:"scorer"`
}

type scorer struct {
	ID   string `json:"id"`
	Host string `json:"hostname"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// batch is a batch submission of a trainer.
type batch struct {
	id      string
	Step    int    `json:"step"`
	Model   string `json:"model"`
	Min     int    `json:"min-version"`
	Desired int    `json:"desired"`
	Items   []item `json:"requests"`
}

func newItem(id, group string) item {
	return item{
		ID: id, Path: rolloutPrefix + "3/" + id, Group: group, Body: []byte("prompt of " + id), Tokens: 271,
		Headers: map[string]string{
			"Cumincove-Model": modelName, "Cumincove-Token-Count": "271,200", "Cumincove-Prefix-Hash": "9c2e41:255," + id[:6] + ":16",
		},
		Scorer: scorer{ID: "40c8" + id[4:], Host: hostname, Path: scorePrefix + "5e/" + id, Body: []byte("reward")},
	}
}

// submitTime bounds one attempt to submit a batch.
const submitTime = 5 * time.Second

// submit submits a batch at each machine in turn until it is accepted.
func (w *world) submit(b batch) error {
	for n := range 10 {
		m := w.machines[n%len(w.machines)]
		ctx, cancel := context.WithTimeout(w.ctx, submitTime)
		status, _, err := call(ctx, http.MethodPost, m.front, rolloutPrefix+b.id, b.id, b, nil)
		cancel()
		w.rec.printf("trainer: batch %s of %d items sent to %s: %d %v", b.id, len(b.Items), m.name, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("batch %s was not accepted", b.id)
}

// result is one result of a batch.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Output   string   `json:"output"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

type results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next-token"`
	Results []result `json:"results"`
}

// read reads the results of a batch from a position on at one machine.
func (w *world) read(m *machine, id string, after int) (int, results, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 2500*time.Millisecond)
	defer cancel()
	status, data, err := call(ctx, http.MethodGet, m.front, fmt.Sprintf("/lots/%s?after=%d", id, after), "", nil,
		map[string]string{"Cumincove-Wait-Ms": "1000"})
	var list results
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(data, &list)
	}
	return status, list, err
}
