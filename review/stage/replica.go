package main

import (
	"bufio"
	"bytes"
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

// run is one run of a request or item at a replica.
type run struct {
	id, replica string
	at          time.Time
	after       int // Last-Event-Id
	status      int // of the replica's answer
}

// history has the runs at all replicas.
type history struct {
	rec  *record
	mu   sync.Mutex
	runs []run
}

func (h *history) add(r run) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
	h.rec.logf("replica %s runs %s after %d, status %d", r.replica, r.id, r.after, r.status)
	return len(h.of(r.id))
}

// of returns the runs of a request. The caller holds mu.
func (h *history) of(id string) []run {
	var list []run
	for _, r := range h.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

func (h *history) runsOf(id string) []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.of(id))
}

// replica is a back end of a service. Its fields are set before start.
type replica struct {
	d       *deployment
	history *history
	id      string
	addr    string // free if empty
	service string
	zone    string
	slots   int
	model   string // of an engine
	version int
	// handle answers a request that the replica accepts.
	handle func(r *request) answer
	// repeats tells whether a second copy of an answer follows, late: when the next
	// request has arrived on the connection and its answer is expected.
	repeats func(a answer) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	done     chan struct{}
	seq      int
}

// request is a request at a replica, with its whole body.
type request struct {
	*http.Request
	id   string
	body []byte
}

// answer is a complete answer of a replica.
type answer struct {
	id     string // of the request that it answers
	status int
	header [][2]string
	body   []byte
}

func (a answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	b.Write(a.body)
	return b.Bytes()
}

// start starts the replica. It writes its entry at once and then with each heartbeat.
func (p *replica) start() {
	addr := p.addr
	if addr == "" {
		addr = p.d.ips.take() + ":0"
	}
	l, err := net.Listen("tcp", addr)
	check(err)
	p.addr, p.listener = l.Addr().String(), l
	p.conns, p.done = map[net.Conn]bool{}, make(chan struct{})
	p.d.rec.logf("replica %s of %s started at %s", p.id, p.service, p.addr)
	go p.accept()
}

// register writes the replica's entry now and with each heartbeat, until it crashes.
func (p *replica) register() {
	born := time.Now().UnixMilli()
	write := func() {
		p.seq++
		entry := object{
			"service": p.service, "addr": p.addr, "zone": p.zone, "version": "v1", "slots": p.slots,
			"state": "ready", "cold-left-ms": 0, "seq": p.seq, "born": born,
		}
		if p.model != "" {
			entry["stage"] = "both"
			entry["models"] = []object{{"name": p.model, "version": p.version, "adapters": []string{}}}
		}
		p.d.store.put("servers", p.id, entry)
	}
	write()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				write()
			case <-p.done:
				return
			}
		}
	}()
}

// crash ends the replica without a word. Its entry is removed after three heartbeats.
func (p *replica) crash() {
	p.d.rec.logf("replica %s crashes", p.id)
	close(p.done)
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	id := p.id
	time.AfterFunc(3*heartbeat, func() { p.d.store.remove("servers", id) })
}

func (p *replica) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.serve(c)
	}
}

// serve serves the requests of one connection, one at a time.
func (p *replica) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var late *answer // a second copy that is still to come
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &request{r, r.Header.Get("Cumincove-Attempt-Id"), body}
		if late != nil {
			p.d.rec.logf("replica %s sends a second copy of its answer %d to %q", p.id, late.status, late.id)
			_, _ = c.Write(late.bytes())
			late = nil
		}
		a := p.answer(req)
		if _, err := c.Write(a.bytes()); err != nil {
			return
		}
		if p.repeats != nil && p.repeats(a) {
			late = &a
		}
	}
}

// answer answers a request as the pages say.
func (p *replica) answer(r *request) answer {
	if want := r.Header.Get("Cumincove-Expect-Instance"); want != "" && want != p.id {
		p.d.rec.logf("replica %s answers 421 to %q, which is for %s", p.id, r.id, want)
		return answer{id: r.id, status: http.StatusMisdirectedRequest, header: [][2]string{{"Cumincove-Replica-Id", p.id}}}
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		body := fmt.Sprintf(`{"stage":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kv-used":0,"kv-total":90000,"handles":0}`, p.model, p.version)
		return answer{status: http.StatusOK, header: [][2]string{{"Content-Type", "application/json"}}, body: []byte(body)}
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		return answer{status: http.StatusOK}
	}
	a := p.handle(r)
	a.id = r.id
	a.header = append(a.header, [2]string{"Cumincove-Attempt-Id", r.id}, [2]string{"Cumincove-Response-Stamp", stampOf(p.id, r.id)})
	return a
}

// stampOf returns the signature of a replica's answer to a request.
func stampOf(replica, id string) string { return "stamp." + replica + "." + id }

// eventsOf returns the events of an item's text that follow event number after.
func eventsOf(id string, after, total int) []byte {
	var b strings.Builder
	for n := after + 1; n <= total; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, eventText(id, n))
	}
	return []byte(b.String())
}

func eventText(id string, n int) string { return "text " + strconv.Itoa(n) + " of " + id }

// textOf returns the whole output of an item.
func textOf(id string, total int) string {
	var lines []string
	for n := 1; n <= total; n++ {
		lines = append(lines, eventText(id, n))
	}
	return strings.Join(lines, "\n")
}
