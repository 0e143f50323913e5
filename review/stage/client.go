package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// host is the host of all routes, and key the key of the only tenant.
const (
	host   = "ficu95.example"
	key    = "i9n73hh2b9wu3fexd9dn"
	tenant = "kaje80"
)

var tenants = []object{{"name": tenant, "api-keys": []string{key}, "priority": 1}}

// reply is what a client got.
type reply struct {
	status int // 0: none
	header http.Header
	body   []byte
	err    error
}

// client sends requests of one tenant, each over a connection that is kept.
type client struct {
	rec  *record
	http *http.Client
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// send sends one client attempt.
func (c *client) send(method, addr, path, id string, wait time.Duration, body []byte) reply {
	return c.sendWith(http.Header{}, method, addr, path, id, wait, body)
}

// sendWith sends one client attempt with further headers.
func (c *client) sendWith(h http.Header, method, addr, path, id string, wait time.Duration, body []byte) reply {
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	check(err)
	r.Host, r.Header = host, h
	r.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		r.Header.Set("Cumincove-Attempt-Id", id)
	}
	r.Header.Set("Cumincove-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	resp, err := c.http.Do(r)
	if err != nil {
		c.rec.logf("client: %s %s %s at %s: %v", method, path, id, addr, err)
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.rec.logf("client: %s %s %s at %s: %d, %d bytes, %v", method, path, id, addr, resp.StatusCode, len(data), err)
	return reply{resp.StatusCode, resp.Header, data, err}
}

// item is an item of a batch submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"num-tokens"`
	Group   string            `json:"group-id"`
}

// result is one result of a batch submission.
type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Output   string `json:"output"`
	Versions []int  `json:"versions"`
}

type results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next-token"`
	Results []result `json:"results"`
}

// submission returns the body of a batch submission.
func submission(model string, items []item) []byte {
	body, err := json.Marshal(object{"step": 0, "model": model, "min-version": 1, "desired": 1, "requests": items})
	check(err)
	return body
}

// submit submits a batch submission and returns the answer.
func (c *client) submit(addr, path, id string, body []byte) reply {
	return c.send(http.MethodPost, addr, path, id, 12*time.Second, body)
}

// results reads results from a position on.
func (c *client) results(addr, id string, after int) (results, bool) {
	rep := c.sendWith(http.Header{"Cumincove-Wait-Ms": {"1000"}}, http.MethodGet, addr, fmt.Sprintf("/lots/%s?after=%d", id, after), "", 3*time.Second, nil)
	var list results
	ok := rep.status == http.StatusOK && json.Unmarshal(rep.body, &list) == nil
	return list, ok
}
