package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readers is the number of clients that request the bodies of a batch's items at
	// one machine, each twice a second on a channel that it keeps.
	readers = 300
	// changeDelay is the time from the first reads to the change of the config, and
	// watchChange how long requests are sent after it.
	changeDelay = 2500 * time.Millisecond
	watchChange = 6 * time.Second
	// configApply is config-apply-ms.
	configApply = 2 * time.Second
	// probePeriod is the time between two requests of the ordinary client.
	probePeriod = 100 * time.Millisecond
	movedPrefix = "/tavo417/"
	// movedVersion is the version of the config that moves the route.
	movedVersion = configVersion + 2
)

// movedRoute is a public route that leads to a service.
func movedRoute(service string) route {
	return route{
		"name": "r-tavo", "hostname": hostname, "path-prefix": movedPrefix, "route-kind": "idempotent",
		"timeout-ms": 1500, "slo-ms": 150, "priority": 2, "service": service, "max-attempts": 2, "public": true,
	}
}

// manyReaders has many clients request the bodies of items at one machine, and moves a
// public route to another service. Rule CONFIG: a request sent later than
// config-apply-ms after the confirmation of a version is run by the old service, by a
// machine in touch.
func manyReaders(w *world) (bool, error) {
	served := &servedBy{by: map[string]string{}}
	if err := w.startMoved(served); err != nil {
		return false, err
	}
	b := batch{id: "7c41e09b52d6a3f8", Model: modelName, Min: 1, Desired: 1}
	for i := range 8 {
		b.Items = append(b.Items, newItem(fmt.Sprintf("e5b290000c14d%d4", i), "g1"))
	}
	if err := w.submit(b); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // by then the machine that runs the items has saved them
	m := w.other(w.store.writer(b.id))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	counts := &statusCounts{}
	if w.trouble {
		w.rec.printf("TROUBLE: %d clients request bodies at %s, each twice a second", readers, m.name)
		for n := range readers {
			wg.Go(func() { readBodies(stop, m, b, n, counts) })
		}
	}
	time.Sleep(changeDelay)
	w.putRoutes(movedVersion, rolloutRoute(), scoreRoute(), movedRoute("wuno97c"))
	changed := time.Now()
	broken := w.probeMoved(m, changed, served)
	w.rec.printf("answers to the readers: %s", counts)
	return broken, nil
}

// probeMoved sends requests on the moved route, and reports whether one was run by the
// old service that should not have been.
func (w *world) probeMoved(m *machine, changed time.Time, served *servedBy) bool {
	old := 0
	for n := 0; time.Since(changed) < watchChange; n++ {
		time.Sleep(probePeriod)
		id := fmt.Sprintf("9c41d07b%08d", n)
		sent := time.Since(changed)
		ctx, cancel := context.WithTimeout(w.ctx, 1500*time.Millisecond)
		status, _, err := call(ctx, http.MethodPost, m.front, movedPrefix+"2f", id, map[string]string{"to": "do"}, map[string]string{headerBudget: "1500"})
		cancel()
		by := served.get(id)
		w.rec.printf("client: %s sent to %s %v after the change: %d %v, run by %q", id, m.name, sent.Round(time.Millisecond), status, err, by)
		if sent > configApply && by == plainService {
			old++
			w.rec.printf("BROKEN: %s was sent %v after the confirmation and run by the old service", id, sent.Round(time.Millisecond))
		}
	}
	return old > 0
}

// startMoved starts three machines, engines and two plain services.
func (w *world) startMoved(served *servedBy) error {
	w.putConfig(rolloutRoute(), scoreRoute(), movedRoute(plainService))
	for n := range 2 {
		err := w.addReplica(replicaOptions{
			id: fmt.Sprintf("i-n%07d", n), service: "wuno97c", zone: zoneOf(n),
			work: func(r *http.Request) time.Duration { served.add(r, "wuno97c"); return 25 * time.Millisecond },
		})
		if err != nil {
			return err
		}
	}
	return w.startMachines(func(r *http.Request) time.Duration { served.add(r, plainService); return 25 * time.Millisecond })
}

// other returns a machine with another name.
func (w *world) other(name string) *machine {
	for _, m := range w.machines {
		if m.name != name {
			return m
		}
	}
	return nil
}

// readBodies requests the bodies of a batch's items until stop is closed.
func readBodies(stop <-chan struct{}, m *machine, b batch, n int, counts *statusCounts) {
	c := http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2500 * time.Millisecond}
	defer c.CloseIdleConnections()
	time.Sleep(time.Duration(n) * readPeriod / readers)
	for i := n; ; i++ {
		began := time.Now()
		req, err := http.NewRequest(http.MethodGet, "http://"+m.front+"/items/"+b.id+"?id="+b.Items[i%len(b.Items)].ID, nil)
		if err != nil {
			return
		}
		req.Host = hostname
		req.Header.Set("Authorization", "Bearer "+apiKey)
		resp, err := c.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
			resp.Body.Close()
			counts.add(resp.StatusCode)
		} else {
			counts.add(0)
		}
		select {
		case <-stop:
			return
		case <-time.After(readPeriod - time.Since(began)):
		}
	}
}

// statusCounts counts answers by status.
type statusCounts struct{ ok, refused, others atomic.Int64 }

func (c *statusCounts) add(status int) {
	switch status {
	case http.StatusOK:
		c.ok.Add(1)
	case http.StatusServiceUnavailable:
		c.refused.Add(1)
	default:
		c.others.Add(1)
	}
}

func (c *statusCounts) String() string {
	return fmt.Sprintf("%d with 200, %d with 503, %d others", c.ok.Load(), c.refused.Load(), c.others.Load())
}

// servedBy has the service that began to run each request, by its ID.
type servedBy struct {
	mu sync.Mutex
	by map[string]string
}

func (s *servedBy) add(r *http.Request, service string) {
	if !strings.HasPrefix(r.URL.Path, movedPrefix) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.by[r.Header.Get(headerAttempt)] = service
}

func (s *servedBy) get(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.by[id]
}
