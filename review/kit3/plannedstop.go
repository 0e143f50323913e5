package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is the time from SIGTERM to SIGKILL, and lastSixth the time after SIGTERM
	// from which on a request may be cut if its replica is still at work.
	grace     = 8 * time.Second
	lastSixth = grace * 5 / 6
	// lead is the time from the requests to SIGTERM.
	lead = time.Second
	// copies is the number of requests of each length.
	copies = 3
	// longBudget is the time that the clients of long requests wait.
	longBudget = 12 * time.Second
)

// endsAfterTerm are the times after SIGTERM at which the replicas are done with the
// requests.
var endsAfterTerm = []time.Duration{
	3 * time.Second, 6 * time.Second, 6300 * time.Millisecond,
	6600 * time.Millisecond, 6630 * time.Millisecond, 7200 * time.Millisecond, 7500 * time.Millisecond,
}

// longRoute is a route of requests that take seconds.
func longRoute() route {
	return route{
		"name": "r-lohu", "hostname": hostname, "path-prefix": longPrefix, "route-kind": "non_idempotent",
		"timeout-ms": 10000, "slo-ms": 8000, "priority": 2, "service": plainService, "max-attempts": 2, "public": false,
	}
}

// outcomeOf is what became of one request.
type outcomeOf struct {
	id     string
	end    time.Duration // planned, after SIGTERM
	status int
	err    error
	// at is when the answer was complete or the channel ended, after SIGTERM.
	at time.Duration
}

// plannedStop stops a machine with SIGTERM while it has requests at replicas, as the
// platform does in planned work. Rule LOST: a process has read a whole request, and the
// channel ends without a complete answer once it has been passed on to a replica.
func plannedStop(w *world) (bool, error) {
	drops := &dropTimes{at: map[string]time.Time{}}
	if err := w.startLong(drops); err != nil {
		return false, err
	}
	m := w.machines[0]
	term := time.Now().Add(lead)
	var mu sync.Mutex
	var list []outcomeOf
	var wg sync.WaitGroup
	for i, end := range endsAfterTerm {
		for c := range copies {
			id := fmt.Sprintf("9c41d07be2a3%02d%02d", i, c)
			wg.Go(func() {
				o := w.sendLong(m, id, term, end)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, o)
			})
		}
	}
	time.Sleep(time.Until(term))
	if w.trouble {
		w.rec.printf("TROUBLE: SIGTERM to %s", m.name)
		if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		go func() {
			select {
			case <-m.exited:
			case <-time.After(grace):
				w.rec.printf("TROUBLE: SIGKILL to %s", m.name)
				m.kill()
			}
		}()
	}
	wg.Wait()
	return w.judgeLong(list, drops, term), nil
}

// startLong starts three machines and four replicas whose work is in the path.
func (w *world) startLong(drops *dropTimes) error {
	w.putConfig(longRoute())
	for n := range 4 {
		err := w.addReplica(replicaOptions{
			id: fmt.Sprintf("i-s%07d", n), service: plainService, zone: zoneOf(n), work: workOf, dropped: drops.add,
		})
		if err != nil {
			return err
		}
	}
	for n := range 3 {
		if _, err := w.addMachine(fmt.Sprintf("frontend-%s-1", zoneOf(n)), zoneOf(n)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

// contactTime is contact-ms: the calm before the planned work.
const contactTime = 3500 * time.Millisecond

// workOf returns the work of a request, whose path ends with the milliseconds.
func workOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *world) sendLong(m *machine, id string, term time.Time, end time.Duration) outcomeOf {
	work := time.Until(term.Add(end))
	ctx, cancel := context.WithTimeout(w.ctx, longBudget)
	defer cancel()
	path := fmt.Sprintf("%s%s/%d", longPrefix, id, work.Milliseconds())
	w.rec.printf("client: %s sent to %s, done %v after SIGTERM", id, m.name, end)
	status, body, err := call(ctx, http.MethodPost, m.front, path, id, map[string]string{"to": "do"},
		map[string]string{headerBudget: strconv.FormatInt(longBudget.Milliseconds(), 10)})
	o := outcomeOf{id: id, end: end, status: status, err: err, at: time.Since(term)}
	w.rec.printf("client: %s, done %v after SIGTERM: status %d, %q, %v, %v after SIGTERM", id, end, status, body, err, o.at.Round(time.Millisecond))
	return o
}

// judgeLong reports whether a request was lost that no excuse of the rule covers.
func (w *world) judgeLong(list []outcomeOf, drops *dropTimes, term time.Time) bool {
	broken := false
	for _, o := range list {
		if o.err == nil {
			continue
		}
		dropped, ok := drops.get(o.id)
		switch {
		case ok && dropped.Sub(term) >= lastSixth:
			w.rec.printf("excused: the replica was at work on %s in the last sixth of the grace time", o.id)
		case ok:
			broken = true
			w.rec.printf("BROKEN: the channel of %s ended without an answer %v after SIGTERM; its replica was at work until %v, and the last sixth begins at %v",
				o.id, o.at.Round(time.Millisecond), dropped.Sub(term).Round(time.Millisecond), lastSixth)
		default:
			w.rec.printf("not judged: %s was not at a replica: %v", o.id, o.err)
		}
	}
	return broken
}

// dropTimes are the times at which replicas saw the channels of requests close.
type dropTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (d *dropTimes) add(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at[id] = time.Now()
}

func (d *dropTimes) get(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.at[id]
	return at, ok
}
