package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// cancelTime is the rule's cancel-ms.
	cancelTime = 3 * time.Second
	// endedLots is the number of batch submissions that are open at once.
	endedLots = 16
)

// endedSteps shows items that run after their batch submission has ended. The machine that
// runs the submissions is stopped as planned, and another one takes them over. While that
// one reads them from the store, their trainers end them. It starts their items once it
// has read all, without another look at whether the submissions are still open.
func endedSteps(s *stage) {
	const (
		perLot    = 20
		bodyBytes = 640 << 10 // 17 MB a batch submission
		service   = "huvo11a"
		model     = "daka510000"
		engines   = 2
		warm      = 4 * time.Second // between the last 202 and the stop
		watch     = 12 * time.Second
	)
	s.putConfig(1, []object{{
		"name": "r-roll", "hostname": host, "path-prefix": "/pule252/", "route-kind": "rollout",
		"timeout-ms": 10000, "slo-ms": 500, "run-deadline-ms": 60000, "queue-ttl-s": 90, "priority": 0,
		"service": service, "max-attempts": 3, "public": false,
	}}, []object{{
		"name": service, "health-path": "/healthz", "max-conns": 140, "protocol": "h1", "tls": false,
		"engine": object{"slots": 8, "kv-capacity": 46180},
	}}, tenants)
	s.store.put("op", "version/"+model, object{"model": model, "version": 1})
	for i := range engines {
		s.startSlowEngine(fmt.Sprintf("i-e%03d", i), service, model)
	}
	s.start(3)
	stop, over := make(chan struct{}), make(chan struct{})
	defer close(stop)
	var wg, readers sync.WaitGroup
	peak := s.watchMemory(stop)
	body := []byte(strings.Repeat("0123456789abcdef", bodyBytes/16))
	for n := range endedLots {
		wg.Go(func() {
			s.submitUntil(over, lotID(n), model, n, itemsWithBody(itemIDs(lotID(n), perLot), model, body))
		})
	}
	wg.Wait()
	for n := range endedLots {
		readers.Go(func() { s.readUntil(over, lotID(n), n) })
	}
	time.Sleep(warm)
	if s.trouble {
		in := s.largest()
		s.signal(in, syscall.SIGTERM)
		wg.Go(func() {
			_ = in.cmd.Wait() // it was stopped
			s.rec.logf("instance %s has ended", in.name)
		})
	}
	ends := s.endAll()
	time.Sleep(watch)
	close(over)
	readers.Wait()
	wg.Wait()
	s.rec.logf("highest use of memory: %d MB of %d", peak.Load()>>20, memoryMB)
	if peak.Load() > memoryMB<<20 {
		check(errors.New("a process exceeded its memory"))
	}
	for n, end := range ends {
		s.checkEnded(lotID(n), end)
	}
}

func lotID(n int) string { return "lot" + strconv.Itoa(n) }

// endAll ends the lots, one shortly after the other, and returns when each end was
// confirmed. An end without a confirmation has the zero time.
func (s *stage) endAll() []time.Time {
	const (
		first = 1300 * time.Millisecond // from the SIGTERM
		gap   = 50 * time.Millisecond
	)
	ends := make([]time.Time, endedLots)
	var wg sync.WaitGroup
	for n := range ends {
		wg.Go(func() {
			time.Sleep(first + time.Duration(n)*gap)
			in := s.instances[n%len(s.instances)]
			rep := newClient(s.rec).send(http.MethodDelete, in.callers, "/lots/"+lotID(n), "", cancelTime, nil)
			if rep.status == http.StatusOK {
				ends[n] = time.Now()
			}
		})
	}
	wg.Wait()
	return ends
}

// checkEnded checks that no item of a lot reached a replica later after the confirmation of
// its end than the rule allows. The machines that run the lots by then were never disturbed:
// the stopped one has given them away, and stays away.
func (s *stage) checkEnded(lot string, end time.Time) {
	if end.IsZero() {
		return
	}
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, r := range s.history.runs {
		if late := r.at.Sub(end); strings.HasPrefix(r.id, lot+"-") && late > cancelTime {
			s.breakf("UNASKED: %s ran %v after the end of %s", r.id, late.Round(time.Millisecond), lot)
		}
	}
}

// readUntil reads a lot's results again and again, at one instance after the other.
func (s *stage) readUntil(over <-chan struct{}, lot string, first int) {
	const pause = 100 * time.Millisecond
	c := newClient(s.rec)
	next := 0
	for try := first; ; try++ {
		select {
		case <-over:
			return
		case <-time.After(pause):
		}
		if list, ok := c.results(s.instances[try%len(s.instances)].callers, lot, next); ok {
			next = list.Next
		}
	}
}

// largest returns the instance that uses the most memory: it runs the submissions.
func (s *stage) largest() *instance {
	best := s.instances[0]
	for _, in := range s.instances[1:] {
		if residentBytes(in) > residentBytes(best) {
			best = in
		}
	}
	return best
}
