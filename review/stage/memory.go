package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryPoll is the time between two looks at a process's memory.
	memoryPoll = 20 * time.Millisecond
	// restartDelay is the time until a killed process is started again.
	restartDelay = time.Second
)

// residentBytes returns the memory that an instance's process uses, or 0 if it has ended.
func residentBytes(in *instance) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", in.pid.Load()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // the kernel writes numbers
	return pages * int64(os.Getpagesize())
}

// watchMemory returns the highest use of memory of any process, as it is known so far.
func (s *stage) watchMemory(stop <-chan struct{}) *atomic.Int64 {
	peak := new(atomic.Int64)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryPoll):
			}
			for _, in := range s.instances {
				peak.Store(max(peak.Load(), residentBytes(in)))
			}
		}
	}()
	return peak
}

// guardMemory plays the platform's limit on memory: it kills each process that exceeds
// it, and starts the process again. It returns the highest use of any process so far, and
// how often each process was killed.
func (s *stage) guardMemory(stop <-chan struct{}, wg *sync.WaitGroup) (peak *atomic.Int64, kills []atomic.Int64) {
	peak, kills = new(atomic.Int64), make([]atomic.Int64, len(s.instances))
	for i, in := range s.instances {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(memoryPoll):
				}
				used := residentBytes(in)
				peak.Store(max(peak.Load(), used))
				if used <= memoryMB<<20 {
					continue
				}
				kills[i].Add(1)
				s.rec.logf("instance %s uses %d MB of %d, and is killed", in.name, used>>20, memoryMB)
				s.signal(in, syscall.SIGKILL)
				_ = in.cmd.Wait() // it was killed
				time.Sleep(restartDelay)
				s.run(in)
			}
		})
	}
	return peak, kills
}

// largeSteps shows processes that exceed the memory of their machine again and again: one
// instance runs all batch submissions of a model, and holds the bodies of all their items.
func largeSteps(s *stage) {
	const (
		lots     = 16 // of each model
		trainers = 4  // of each model
		perLot   = 32
		length   = 95 * time.Second
		service  = "huvo11a"
		// Of the rule: a tenth of the machines, but two at least, and three ends of each.
		minMachines, maxEnds = 2, 3
	)
	models := []string{"daka510000", "rada7437b5", "ravo486f6a"}
	bodyBytes := 600
	if s.trouble {
		bodyBytes = 740 << 10 // 32.4 MB a batch submission
	}
	s.putConfig(1, []object{{
		"name": "r-roll", "hostname": host, "path-prefix": "/pule252/", "route-kind": "rollout",
		"timeout-ms": 10000, "slo-ms": 500, "run-deadline-ms": 60000, "queue-ttl-s": 90, "priority": 0,
		"service": service, "max-attempts": 3, "public": false,
	}}, []object{{
		"name": service, "health-path": "/healthz", "max-conns": 140, "protocol": "h1", "tls": false,
		"engine": object{"slots": 8, "kv-capacity": 46180},
	}}, tenants)
	for i, model := range models {
		s.store.put("op", "version/"+model, object{"model": model, "version": 1})
		s.startSlowEngine(fmt.Sprintf("i-e%03d", i), service, model)
	}
	s.start(3)
	began := time.Now()
	stop, over := make(chan struct{}), make(chan struct{})
	var guards, wg sync.WaitGroup
	peak, kills := s.guardMemory(stop, &guards)
	body := []byte(strings.Repeat("0123456789abcdef", bodyBytes/16))
	for m, model := range models {
		for t := range trainers {
			wg.Go(func() {
				for n := t; n < lots; n += trainers {
					lot := fmt.Sprintf("lot-%d-%d", m, n)
					s.submitUntil(over, lot, model, n, itemsWithBody(itemIDs(lot, perLot), model, body))
				}
			})
		}
	}
	for time.Since(began) < length && failing(kills, maxEnds) < minMachines {
		time.Sleep(memoryPoll)
	}
	close(over)
	wg.Wait()
	close(stop)
	guards.Wait()
	s.rec.logf("highest use of memory: %d MB", peak.Load()>>20)
	for i := range kills {
		s.rec.logf("instance %s was killed %d times", s.instances[i].name, kills[i].Load())
	}
	if n := failing(kills, maxEnds); n >= minMachines {
		s.breakf("Fault: %d machines exceeded their memory %d times or more", n, maxEnds)
	}
}

// failing counts the machines whose process was killed as often as given, or more.
func failing(kills []atomic.Int64, ends int64) int {
	n := 0
	for i := range kills {
		if kills[i].Load() >= ends {
			n++
		}
	}
	return n
}

// startSlowEngine starts an engine that takes two seconds for an item.
func (s *stage) startSlowEngine(id, service, model string) {
	const (
		events = 10
		work   = 2 * time.Second
	)
	e := &replica{d: s.deployment, history: s.history, id: id, service: service, zone: "zone-a", slots: 8, model: model, version: 1}
	e.handle = func(q *request) answer {
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 without it
		s.history.add(run{id: q.id, replica: e.id, at: time.Now(), after: from, status: http.StatusOK})
		time.Sleep(work)
		header := [][2]string{{"Content-Type", "text/event-stream"}, {"Cumincove-Weight-Versions", "1"}}
		return answer{status: http.StatusOK, header: header, body: eventsOf(q.id, from, events)}
	}
	e.start()
	e.register()
}

func itemsWithBody(ids []string, model string, body []byte) []item {
	items := itemsOf(ids, model)
	for i := range items {
		items[i].Body = body
	}
	return items
}

// submitUntil submits a batch submission, at one instance after the other, until it is
// accepted or the case is over.
func (s *stage) submitUntil(over <-chan struct{}, lot, model string, first int, items []item) {
	const pause = 300 * time.Millisecond
	c := newClient(s.rec)
	body := submission(model, items)
	for try := first; ; try++ {
		select {
		case <-over:
			return
		case <-time.After(pause):
		}
		in := s.instances[try%len(s.instances)]
		if c.submit(in.callers, "/pule252/"+lot, lot, body).status == http.StatusAccepted {
			return
		}
	}
}
