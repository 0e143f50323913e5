package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// earlierTime is how long trainers submit, read and end batches before the kill.
	earlierTime = 84 * time.Second
	trainers    = 48
	// openBatches is the number of batches that are open at the kill, and killDelay the
	// time from their submission to the kill.
	openBatches = 12
	killDelay   = 3 * time.Second
	// earlierItem and openItem are the numbers of events of items, and longItem that in
	// the other cases.
	earlierItem = 1
	openItem    = 70
	longItem    = 95
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// batchBudget is the time budget of a batch, contact is contact-ms, and idleBound
	// the time for which an item may be at no replica.
	batchBudget = 12 * time.Second
	contact     = 3 * time.Second
	idleBound   = 5 * time.Second
	// calmBound is the time before the end of a batch in which no item may begin, where
	// several models are trained.
	calmBound = 3 * time.Second
)

// models are the models that the engines serve.
var models = []string{modelName, "rada7437b5", "ravo486f6a"}

// runLog has the times at which items were at replicas.
type runLog struct {
	mu       sync.Mutex
	began    map[string][]time.Time
	ended    map[string][]time.Time
	finished map[string]bool
}

func newRunLog() *runLog {
	return &runLog{began: map[string][]time.Time{}, ended: map[string][]time.Time{}, finished: map[string]bool{}}
}

func (l *runLog) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.began[id] = append(l.began[id], time.Now())
}

func (l *runLog) end(id string, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[id] = append(l.ended[id], time.Now())
	l.finished[id] = l.finished[id] || finished
}

// idle returns how long an item was at no replica from a time on, up to another time.
func (l *runLog) idle(id string, from, to time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.began[id]) > len(l.ended[id]) && l.began[id][len(l.began[id])-1].Before(from) {
		return 0 // it runs
	}
	next := to
	for _, t := range l.began[id] {
		if t.After(from) && t.Before(next) {
			next = t
		}
	}
	return next.Sub(from)
}

// beganBetween reports whether any item began between two times.
func (l *runLog) beganBetween(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.began {
		for _, t := range list {
			if t.After(from) && t.Before(to) {
				return true
			}
		}
	}
	return false
}

// openBatch is a batch that is open at the kill.
type openBatch struct {
	batch
	submitted time.Time
}

// restartedOwner kills a machine that runs open batches, after trainers have submitted,
// read and ended many others. Rule LOST: a step runs out of time while one of its items,
// which no replica has finished or failed, has been at no replica for 5 s of steady
// state.
func restartedOwner(w *world) (bool, error) {
	w.runs = newRunLog()
	if err := w.startModels(); err != nil {
		return false, err
	}
	w.submitEarlier()
	w.rec.quiet.Store(false)
	open, err := w.submitOpen()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, b := range open {
		for _, m := range w.machines {
			go w.poll(stop, m, b.id)
		}
	}
	time.Sleep(killDelay)
	owner := w.machineNamed(w.store.writer(open[0].id))
	if owner == nil {
		return false, fmt.Errorf("no machine has written to batch %s", open[0].id)
	}
	steady := time.Now().Add(contact)
	if w.trouble {
		w.rec.printf("TROUBLE: SIGKILL to %s, which is started again after %v", owner.name, restartDelay)
		owner.kill()
		time.Sleep(restartDelay)
		if err := w.restart(owner); err != nil {
			return false, err
		}
		steady = time.Now().Add(contact)
	}
	time.Sleep(batchBudget)
	return w.judgeOpen(open, steady), nil
}

// judgeOpen reports whether a batch ran out of time with an item that was at no replica.
func (w *world) judgeOpen(open []openBatch, steady time.Time) bool {
	broken := 0
	for _, b := range open {
		timeout := b.submitted.Add(batchBudget)
		if w.runs.beganBetween(timeout.Add(-calmBound), timeout) {
			w.rec.printf("excused: items began in the last %v of batch %s", calmBound, b.id)
			continue
		}
		for _, it := range b.Items {
			idle := w.runs.idle(it.ID, steady, timeout)
			w.runs.mu.Lock()
			finished := w.runs.finished[it.ID] && w.runs.ended[it.ID][len(w.runs.ended[it.ID])-1].Before(timeout)
			w.runs.mu.Unlock()
			if !finished && idle >= idleBound {
				broken++
				w.rec.printf("BROKEN: batch %s ran out of time; its item %s, which no replica has finished, was at no replica for %v of steady state", b.id, it.ID, idle.Round(time.Millisecond))
			}
		}
	}
	w.rec.printf("%d of %d items were at no replica", broken, len(open)*len(open[0].Items))
	return broken > 0
}

// startModels starts machines and engines that serve all models.
func (w *world) startModels() error {
	w.putConfig(rolloutRoute(), scoreRoute())
	w.events = func(id string) int {
		if id[0] == 'a' { // of an earlier batch
			return earlierItem
		}
		return openItem
	}
	w.rec.quiet.Store(true)
	return w.startMachines(func(*http.Request) time.Duration { return 5 * time.Millisecond })
}

// submitEarlier plays the trainers' batches before the kill: each is submitted, read
// until it is complete, and ended.
func (w *world) submitEarlier() {
	stop := time.Now().Add(earlierTime)
	var next, ended atomic.Int64
	var wg sync.WaitGroup
	for range trainers {
		wg.Go(func() {
			for time.Now().Before(stop) {
				if w.playBatch(next.Add(1)) {
					ended.Add(1)
				}
			}
		})
	}
	wg.Wait()
	w.rec.printf("trainers: %d of %d earlier batches were complete and ended", ended.Load(), next.Load())
}

// playBatch submits a batch of one item, reads its result and ends it.
func (w *world) playBatch(n int64) bool {
	b := batch{id: fmt.Sprintf("%016x", rand.Uint64()), Step: int(n), Model: models[n%3], Min: 1, Desired: 1}
	b.Items = append(b.Items, newItem(fmt.Sprintf("a%015x", n), "g1"))
	b.Items[0].Headers["Cumincove-Model"] = b.Model
	deadline := time.Now().Add(batchBudget)
	accepted := false
	for time.Now().Before(deadline) {
		m := w.machines[rand.IntN(len(w.machines))]
		ctx, cancel := context.WithTimeout(w.ctx, submitTime)
		if !accepted {
			status, _, err := call(ctx, http.MethodPost, m.front, rolloutPrefix+b.id, b.id, b, nil)
			accepted = err == nil && status == http.StatusAccepted
		} else if status, list, err := w.read(m, b.id, 0); err == nil && status == http.StatusOK && list.Next == list.Total {
			status, _, err := call(ctx, http.MethodDelete, m.front, "/lots/"+b.id, "", nil, nil)
			cancel()
			return err == nil && status == http.StatusOK
		}
		cancel()
	}
	return false
}

// submitOpen submits the batches that are open at the kill. Their IDs are among the last
// sixteenth, as those of one batch in sixteen are.
func (w *world) submitOpen() ([]openBatch, error) {
	var open []openBatch
	for n := range openBatches {
		id := fmt.Sprintf("f%015x", rand.Uint64()>>4)
		b := openBatch{batch: batch{id: id, Step: n, Model: models[0], Min: 1, Desired: 1}}
		for i := range 2 {
			b.Items = append(b.Items, newItem(fmt.Sprintf("e5b2%04d0c14da%d", n, i), "g1"))
		}
		b.submitted = time.Now()
		if err := w.submit(b.batch); err != nil {
			return nil, err
		}
		open = append(open, b)
	}
	return open, nil
}

// poll reads a batch at one machine twice a second until stop is closed.
func (w *world) poll(stop <-chan struct{}, m *machine, id string) {
	for {
		began := time.Now()
		_, _, _ = w.read(m, id, 0) // only the items' runs are judged
		select {
		case <-stop:
			return
		case <-time.After(readPeriod - time.Since(began)):
		}
	}
}
