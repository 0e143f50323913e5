// Command 6 cuts the machine that runs some steps off from the other machine and from
// the store for a few seconds, and compares the results that clients read at both.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/review/kit2"
)

const (
	rounds = 6
	// steps is the number of steps of a round.
	steps = 8
	// maxCut bounds the cut. Site celeste-rollouts has node_cut for 12 s (scale-2).
	maxCut = 9 * time.Second
	// submitPeriod is the time between two submissions. Each is one of another trainer.
	submitPeriod = 35 * time.Millisecond
	// cutAfter is the time from the last submission to the cut.
	cutAfter = 1500 * time.Millisecond
	// followTime is how long clients read on after the cut.
	followTime = 5 * time.Second
	// maxDelay bounds the random part of the length of a cut.
	maxDelay = 300 * time.Millisecond
	events   = 40
	// firstPause is the time between two events of an item's first run, up to the cut.
	firstPause = 100 * time.Millisecond
	// readWait is the Cumincove-Wait-Ms of the trainers, which read at the machine that
	// runs their steps. Other clients of the tenant read twice a second at the other one.
	readWait   = time.Second
	readPeriod = 500 * time.Millisecond
)

// The items of a step, by name. At the machine that is cut off, A ends a few
// milliseconds before B. At the one that continues, A ends first, then C, then B:
// replicas of one service differ in speed.
var names = []string{"a", "b", "c"}

// lastPauses are the times between the last events of first runs, once the cut has begun.
var lastPauses = map[string]time.Duration{"b": time.Millisecond / 4, "c": 6 * time.Millisecond}

// laterPauses are the times between two events of later runs.
var laterPauses = map[string]time.Duration{"a": 2 * time.Millisecond, "b": 20 * time.Millisecond, "c": 6 * time.Millisecond}

func main() { kit2.Main("review/6", run) }

type world struct {
	*kit2.Env
	// cut is set when the cut has begun, so that the items at the machine that is cut
	// off may end.
	cut      atomic.Bool
	attempts sync.Map // item to *atomic.Int64
	seen     *seen
	// stored counts, by step, the results that the store has.
	mu     sync.Mutex
	stored map[string]int
}

func run(e *kit2.Env) (int, error) {
	w := &world{Env: e, seen: newSeen(e), stored: map[string]int{}}
	e.Store.OnRow = w.countResult
	for _, id := range []string{"i-engine1", "i-engine2", "i-engine3", "i-engine4", "i-engine5", "i-engine6"} {
		if err := w.addEngine(id); err != nil {
			return kit2.NotRun, err
		}
	}
	if _, err := e.AddPlain("i-app1"); err != nil {
		return kit2.NotRun, err
	}
	e.Store.Put("op", "config", kit2.Config(3, []kit2.Route{kit2.RolloutRoute(), kit2.ScoreRoute()}, kit2.Engines(), kit2.Plain()))
	links, err := w.addMachines()
	if err != nil {
		return kit2.NotRun, err
	}
	if err := e.Start(); err != nil {
		return kit2.NotRun, err
	}
	for round := range rounds {
		if err := w.round(round, links); err != nil {
			return kit2.NotRun, err
		}
	}
	return w.seen.verdict(), nil
}

// round submits steps, cuts off the machine that runs them, and reads their results.
func (w *world) round(round int, links map[string][]*kit2.Proxy) error {
	w.cut.Store(false)
	if err := w.submitAll(round); err != nil {
		return err
	}
	owner := w.Owner(stepID(round, 0))
	if owner == nil {
		return fmt.Errorf("no machine runs the step")
	}
	w.Printf("%s runs the steps", owner.Name)
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for n := range steps {
		for _, m := range w.Machines {
			readers.Go(func() { w.follow(m, stepID(round, n), m == owner, stop) })
		}
	}
	time.Sleep(cutAfter)
	w.disturb(round, links[owner.Name])
	time.Sleep(followTime)
	close(stop)
	readers.Wait()
	return nil
}

func stepID(round, n int) string { return fmt.Sprintf("7c41e09b52d6%02x%02x", round, n) }

func itemID(round, n int, name string) string {
	return fmt.Sprintf("e5b2907c%02x%02x%s", round, n, name)
}

// addMachines adds two machines. Each reaches the store and the other machine over
// links that can be cut; clients and replicas reach both at all times.
func (w *world) addMachines() (map[string][]*kit2.Proxy, error) {
	links := map[string][]*kit2.Proxy{}
	var peers []*kit2.Proxy
	for _, name := range []string{"frontend-mvd-a-1", "frontend-mvd-a-2"} {
		store, err := kit2.NewProxy(w.IP(), w.Store.Addr)
		if err != nil {
			return nil, err
		}
		m, err := w.AddMachine(name, store.Addr, 314)
		if err != nil {
			return nil, err
		}
		peer, err := kit2.NewProxy(m.IP, m.Peers)
		if err != nil {
			return nil, err
		}
		m.AdvertisePeers = peer.Addr
		links[name] = append(links[name], store)
		peers = append(peers, peer)
	}
	for name := range links { // with two machines, a machine's links are those of the other one, too
		links[name] = append(links[name], peers...)
	}
	return links, nil
}

// disturb cuts a machine's links, and heals them once the other machine has stored two
// results of each step.
func (w *world) disturb(round int, links []*kit2.Proxy) {
	if !w.Trouble {
		w.cut.Store(true)
		return
	}
	began := time.Now()
	for _, l := range links {
		l.SetCut(true)
	}
	w.Printf("the machine is cut off from the store and from the other machine")
	w.cut.Store(true)
	for time.Since(began) < maxCut && !w.allStored(round, 2) {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(rand.N(maxDelay))
	for _, l := range links {
		l.SetCut(false)
	}
	w.Printf("the cut has healed after %.1f s", time.Since(began).Seconds())
}

// countResult counts the results that the store has. The stand-in uses it only to time
// the end of the cut.
func (w *world) countResult(row kit2.Row) {
	if row.Table != "cumincove-steps" || len(row.Key) < 7 || row.Key[:7] != "result/" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stored[row.Part]++
}

func (w *world) allStored(round, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range steps {
		if w.stored[stepID(round, i)] < n {
			return false
		}
	}
	return true
}

// addEngine starts an engine. The first run of an item goes on until the cut has begun;
// a later one, at the other machine, takes a time of its own.
func (w *world) addEngine(id string) error {
	p := &kit2.Replica{ID: id, Service: kit2.EngineService, Zone: "mvd-a", Slots: 8, Engine: true}
	p.Serve = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
		item := r.Header.Get(kit2.HeaderAttempt)
		count, _ := w.attempts.LoadOrStore(item, new(atomic.Int64))
		n := count.(*atomic.Int64).Add(1)
		w.Printf("replica %s: item %s begins, run %d, after event %q", id, item, n, r.Header.Get("Last-Event-Id"))
		done := p.Stream(rw, r, events, func(int) { w.pause(r, item, n) }, func(event int) string { return fmt.Sprintf("token %d of %s", event, item) })
		w.Printf("replica %s: item %s ends, run %d, finished: %v", id, item, n, done)
	}
	return p.Start(w.IP()+":0", w.Store)
}

// pause waits before an event.
func (w *world) pause(r *http.Request, item string, run int64) {
	name := item[len(item)-1:]
	if run > 1 {
		time.Sleep(laterPauses[name])
		return
	}
	for until := time.Now().Add(firstPause); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if w.cut.Load() || r.Context().Err() != nil {
			break
		}
	}
	if w.cut.Load() {
		time.Sleep(lastPauses[name])
	}
}

// submitAll submits the steps of a round at the first machine.
func (w *world) submitAll(round int) error {
	for n := range steps {
		s := kit2.Submission{Step: round, Model: kit2.Model, MinVersion: 1, Desired: 1}
		for _, name := range names {
			s.Requests = append(s.Requests, kit2.NewItem(itemID(round, n, name), fmt.Sprintf("g%d", n), []byte("prompt")))
		}
		a := kit2.Submit(w.Machines[0].Front, stepID(round, n), s)
		w.Printf("step %s answered %d", stepID(round, n), a.Status)
		if a.Status != http.StatusAccepted {
			return fmt.Errorf("the submission was answered %d", a.Status)
		}
		time.Sleep(submitPeriod)
	}
	return nil
}

// follow reads a step's results at a machine until stop is closed. A trainer waits for
// new results.
func (w *world) follow(m *kit2.Machine, step string, trainer bool, stop chan struct{}) {
	after, wait := 0, time.Duration(0)
	if trainer {
		wait = readWait
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		status, res := kit2.Read(m.Front, step, after, wait)
		if status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		w.seen.add(m.Name, step, after, res.Results)
		if after += len(res.Results); after >= len(names) {
			after = 0 // once more from the start: a result keeps its position and content
		}
		if !trainer || after == 0 {
			time.Sleep(readPeriod)
		}
	}
}

// position is a position of a step.
type position struct {
	step string
	n    int
}

// seen has what clients have read.
type seen struct {
	e      *kit2.Env
	mu     sync.Mutex
	first  map[position]kit2.Result
	places map[string][]int // item to the positions at which it was read
	broken int
}

func newSeen(e *kit2.Env) *seen {
	return &seen{e: e, first: map[position]kit2.Result{}, places: map[string][]int{}}
}

// add checks TWICE for results that were read.
func (s *seen) add(machine, step string, after int, results []kit2.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range results {
		at := position{step, after + i}
		first, known := s.first[at]
		if !known {
			s.first[at] = r
			s.e.Printf("%s: step %s, position %d is item %s, score %s", machine, step, at.n, r.ID, r.Score)
		}
		if known && first != r {
			s.broken++
			s.e.Printf("TWICE: %s: step %s, position %d is now item %s, score %s; before it was item %s, score %s",
				machine, step, at.n, r.ID, r.Score, first.ID, first.Score)
			s.first[at] = r
		}
		if !slices.Contains(s.places[r.ID], at.n) {
			if s.places[r.ID] = append(s.places[r.ID], at.n); len(s.places[r.ID]) > 1 {
				s.broken++
				s.e.Printf("TWICE: %s: step %s, item %s stands at the positions %v", machine, step, r.ID, s.places[r.ID])
			}
		}
	}
}

func (s *seen) verdict() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.e.Printf("%d positions were read, %d breaks of TWICE", len(s.first), s.broken)
	if s.broken > 0 {
		return kit2.Broken
	}
	return kit2.Held
}
