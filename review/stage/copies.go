package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// misdirectedCopy shows a non-idempotent request that runs twice. A replica restarts at
// its address with another id and answers 421 to a request for the earlier id; a second
// copy of that answer comes late, on the same connection.
func misdirectedCopy(s *stage) {
	const (
		period   = 20 * time.Millisecond // between two requests of a client
		before   = 3 * time.Second       // of traffic until the crash
		downtime = 300 * time.Millisecond
		silence  = 1100 * time.Millisecond // from the new start to its first entry
		after    = 6 * time.Second
		restarts = 3
		others   = 5 // replicas beside the one that restarts
		budget   = 1500 * time.Millisecond
	)
	const service = "huvo11a"
	s.putConfig(1, []object{{
		"name": "r-once", "hostname": host, "path-prefix": "/lohu930/", "route-kind": "non_idempotent",
		"timeout-ms": 1500, "slo-ms": 150, "priority": 2, "service": service, "max-attempts": 2, "public": false,
	}}, []object{{"name": service, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false}}, tenants)

	newReplica := func(id, addr, zone string) *replica {
		r := &replica{d: s.deployment, history: s.history, id: id, addr: addr, service: service, zone: zone, slots: 6}
		r.handle = func(q *request) answer {
			s.history.add(run{id: q.id, replica: r.id, at: time.Now(), status: http.StatusOK})
			return answer{status: http.StatusOK, body: []byte("answer to " + q.id)}
		}
		r.repeats = func(a answer) bool { return s.trouble && a.status == http.StatusMisdirectedRequest }
		r.start()
		return r
	}
	flaky := newReplica("i-0000", "", "zone-a")
	flaky.register()
	for n := range others {
		newReplica(fmt.Sprintf("i-900%d", n), "", "zone-b").register()
	}
	s.start(2)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n, in := range s.instances {
		c := newClient(s.rec)
		wg.Go(func() { s.sendUntil(stop, c, in, fmt.Sprintf("c%d", n), period, budget) })
	}
	time.Sleep(before)
	for n := range restarts {
		addr := flaky.addr
		flaky.crash()
		time.Sleep(downtime)
		flaky = newReplica(fmt.Sprintf("i-%04d", n+1), addr, "zone-a")
		time.Sleep(silence)
		flaky.register()
		time.Sleep(after)
	}
	close(stop)
	wg.Wait()
}

// sendUntil sends requests one after the other, and checks that each ran once at most,
// and not at all if it was refused.
func (s *stage) sendUntil(stop <-chan struct{}, c *client, in *instance, name string, period, budget time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
		id := fmt.Sprintf("%s-%05d", name, n)
		rep := c.send(http.MethodPost, in.callers, "/lohu930/2f", id, budget, []byte("body of "+id))
		s.checkOnce(id, rep)
	}
}

func (s *stage) checkOnce(id string, rep reply) {
	runs := s.history.runsOf(id)
	if len(runs) > 1 {
		s.breakf("TWICE: %s ran at %s and at %s", id, runs[0].replica, runs[1].replica)
	}
	switch rep.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(runs) > 0 {
			s.breakf("REFUSED: %s was answered %d and ran at %s", id, rep.status, runs[0].replica)
		}
	}
}

// failureCopy shows an item that is given up too early. Its only run so far was answered
// 500; a second copy of that answer comes late, on the same connection.
func failureCopy(s *stage) {
	const (
		events   = 12
		rounds   = 4
		sound    = 60 // items that never fail, in a lot before that of the failing item
		attempts = 2
		lotTime  = 12 * time.Second
		service  = "huvo11a"
		model    = "daka510000"
	)
	s.putConfig(1, []object{{
		"name": "r-roll", "hostname": host, "path-prefix": "/pule252/", "route-kind": "rollout",
		"timeout-ms": 10000, "slo-ms": 500, "run-deadline-ms": 7500, "queue-ttl-s": 12, "priority": 0,
		"service": service, "max-attempts": attempts, "public": false,
	}}, []object{{
		"name": service, "health-path": "/healthz", "max-conns": 140, "protocol": "h1", "tls": false,
		"engine": object{"slots": 8, "kv-capacity": 46180, "models": []object{{"name": model}}},
	}}, tenants)
	s.store.put("op", "version/"+model, object{"model": model, "version": 1})

	engine := &replica{d: s.deployment, history: s.history, id: "i-e001", service: service, zone: "zone-a", slots: 8, model: model, version: 1}
	engine.handle = func(q *request) answer {
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 without it
		status := http.StatusOK
		if strings.HasPrefix(q.id, failingItem) && len(s.history.runsOf(q.id)) == 0 {
			status = http.StatusInternalServerError
		}
		s.history.add(run{id: q.id, replica: engine.id, at: time.Now(), after: from, status: status})
		time.Sleep(20 * time.Millisecond)
		if status != http.StatusOK {
			return answer{status: status}
		}
		header := [][2]string{{"Content-Type", "text/event-stream"}, {"Cumincove-Weight-Versions", "1"}}
		return answer{status: status, header: header, body: eventsOf(q.id, from, events)}
	}
	engine.repeats = func(a answer) bool { return s.trouble && a.status == http.StatusInternalServerError }
	engine.start()
	engine.register()
	// The service's other engine has another model.
	other := &replica{d: s.deployment, history: s.history, id: "i-e002", service: service, zone: "zone-b", slots: 8, model: "rada7437b5", version: 1, handle: engine.handle}
	other.start()
	other.register()
	s.start(2)

	c := newClient(s.rec)
	for n := range rounds {
		in := s.instances[n%len(s.instances)]
		for lot, ids := range map[string][]string{
			fmt.Sprintf("lot%d-sound", n):   itemIDs(fmt.Sprintf("sound%d", n), sound),
			fmt.Sprintf("lot%d-failing", n): itemIDs(fmt.Sprintf("%s%d", failingItem, n), 1),
		} {
			rep := c.submit(in.callers, "/pule252/"+lot, lot, submission(model, itemsOf(ids, model)))
			if rep.status != http.StatusAccepted {
				check(fmt.Errorf("%s: not accepted: %d", lot, rep.status))
			}
			s.checkResults(c, in, lot, len(ids), events, attempts, lotTime)
		}
	}
}

// failingItem begins the IDs of the items whose first run fails.
const failingItem = "failing"

func itemIDs(prefix string, n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("%s-item-%d", prefix, i))
	}
	return ids
}

// itemsOf returns items of one group.
func itemsOf(ids []string, model string) []item {
	var items []item
	for _, id := range ids {
		items = append(items, item{
			ID: id, Path: "/pule252/3/91c4", Body: []byte(id), Tokens: 40, Group: "g1",
			Headers: map[string]string{"Cumincove-Model": model, "Cumincove-Token-Count": "16,24", "Cumincove-Prefix-Hash": "9c2e41:16"},
		})
	}
	return items
}

// checkResults reads a lot's results, and checks that each is the whole output of its
// item, or that the item failed as often as the route allows.
func (s *stage) checkResults(c *client, in *instance, lot string, total, events, attempts int, wait time.Duration) {
	next := 0
	for end := time.Now().Add(wait); next < total && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		list, ok := c.results(in.callers, lot, next)
		if !ok {
			continue
		}
		next = list.Next
		for _, r := range list.Results {
			s.checkResult(r, events, attempts)
		}
	}
	if next < total {
		s.rec.logf("%s: %d of %d results in time", lot, next, total)
	}
	c.send(http.MethodDelete, in.callers, "/lots/"+lot, "", 3*time.Second, nil)
}

func (s *stage) checkResult(r result, events, attempts int) {
	failures := 0
	for _, run := range s.history.runsOf(r.ID) {
		if run.status == http.StatusInternalServerError {
			failures++
		}
	}
	s.rec.logf("result %s: %s, %d runs failed", r.ID, r.State, failures)
	switch {
	case r.State == "completed" && r.Output != textOf(r.ID, events):
		s.breakf("MIXED: %s is completed with another text", r.ID)
	case r.State == "unreachable" && failures < attempts:
		s.breakf("MIXED: %s is unreachable after %d of %d failed runs", r.ID, failures, attempts)
	}
}
