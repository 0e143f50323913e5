package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// ownerRounds is the number of times that a machine is cut off in one run.
	ownerRounds = 10
	// batchesPerRound is the number of batches that are open at a time.
	batchesPerRound = 6
	// cutDelay is the time from the first submission to the cut, and cutTime the
	// length of the cut. The sheets cut machines off for up to 12 s.
	cutDelay = 2200 * time.Millisecond
	cutTime  = 5 * time.Second
	// readPeriod is the time between two reads of one client, readersPerMachine the
	// number of clients that read a batch at one machine.
	readPeriod        = 500 * time.Millisecond
	readersPerMachine = 6
	// afterHeal is how long batches are read after a cut.
	afterHeal = 1200 * time.Millisecond
	// fastestGap is the time between two events of the fastest engine. Each further
	// one takes gapStep longer.
	fastestGap = 90 * time.Millisecond
	gapStep    = 3 * time.Millisecond
)

// itemLengths are the numbers of events of a batch's items. The first ones end within
// the cut, the last one after it.
var itemLengths = []int{24, 33, 33, 33, 95}

// observations are the results that clients have read, by batch and position.
type observations struct {
	w *world

	mu     sync.Mutex
	seen   map[string]map[int]sighting
	broken int
}

// sighting is the first sight of a result.
type sighting struct {
	result  result
	machine string
}

// add compares the results of one read with those that were read before.
func (o *observations) add(id, machine string, after int, list results) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen[id] == nil {
		o.seen[id] = map[int]sighting{}
	}
	for i, r := range list.Results {
		position := after + i
		old, ok := o.seen[id][position]
		if !ok {
			o.seen[id][position] = sighting{r, machine}
			o.w.rec.printf("client: batch %s position %d read at %s: item %s %s, versions %v, score %s", id, position, machine, r.ID, r.State, r.Versions, r.Score)
			continue
		}
		if !same(old.result, r) {
			o.broken++
			o.w.rec.printf("BROKEN: batch %s position %d at %s holds item %s, score %s; before, at %s, item %s, score %s",
				id, position, machine, r.ID, r.Score, old.machine, old.result.ID, old.result.Score)
		}
	}
	o.checkItems(id)
}

// checkItems finds items that were seen at two positions.
func (o *observations) checkItems(id string) {
	at := map[string]int{}
	for _, position := range slices.Sorted(maps.Keys(o.seen[id])) {
		r := o.seen[id][position].result
		if first, ok := at[r.ID]; ok {
			o.w.rec.printf("BROKEN: batch %s: item %s stands at positions %d and %d", id, r.ID, first, position)
			o.broken++
		}
		at[r.ID] = position
	}
}

func same(a, b result) bool {
	return a.ID == b.ID && a.State == b.State && a.Output == b.Output && a.Score == b.Score && slices.Equal(a.Versions, b.Versions)
}

// replacedOwner cuts off the machine that last wrote to the store under a condition,
// while it runs the items of open batches. Rule TWICE: a position holds another result
// than before, or an item stands at two positions.
func replacedOwner(w *world) (bool, error) {
	if err := w.startRollouts(); err != nil {
		return false, err
	}
	o := &observations{w: w, seen: map[string]map[int]sighting{}}
	for round := range ownerRounds {
		if err := o.round(round); err != nil {
			return false, err
		}
	}
	w.rec.printf("%d contradictions", o.broken)
	return o.broken > 0, nil
}

// startRollouts starts the machines and replicas of the case.
func (w *world) startRollouts() error {
	w.putConfig(rolloutRoute(), scoreRoute())
	return w.startMachines(func(*http.Request) time.Duration { return 80 * time.Millisecond })
}

// startMachines starts three machines, eight engines and two replicas of the plain
// service.
func (w *world) startMachines(work func(*http.Request) time.Duration) error {
	for n := range 8 {
		err := w.addReplica(replicaOptions{
			id: fmt.Sprintf("i-e%07d", n), service: engineService, zone: zoneOf(n), engine: true,
			eventGap: fastestGap + time.Duration(n)*gapStep, events: w.events, runs: w.runs,
		})
		if err != nil {
			return err
		}
	}
	for n := range 2 {
		err := w.addReplica(replicaOptions{id: fmt.Sprintf("i-s%07d", n), service: plainService, zone: zoneOf(n), work: work})
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
	time.Sleep(2 * time.Second) // the machines find each other
	return nil
}

func zoneOf(n int) string { return []string{"mvd-a", "mvd-b", "mvd-c"}[n%3] }

// lengthOf returns the number of events of an item, whose ID ends with its index.
func lengthOf(id string) int { return itemLengths[int(id[len(id)-1]-'0')] }

func (o *observations) round(round int) error {
	w := o.w
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := make(chan struct{})
	defer close(stop)
	var ids []string
	for n := range batchesPerRound {
		b := batch{id: fmt.Sprintf("7c41e0%02d%02daaaaaa", round, n), Step: round*batchesPerRound + n, Model: modelName, Min: 1, Desired: 1}
		for i := range itemLengths {
			b.Items = append(b.Items, newItem(fmt.Sprintf("e5b29%02d%02d0c14da%d", round, n, i), "g1"))
		}
		if err := w.submit(b); err != nil {
			return err
		}
		ids = append(ids, b.id)
		for _, m := range w.machines {
			for r := range readersPerMachine {
				wg.Go(func() { o.readAll(stop, m, b.id, time.Duration(r)*readPeriod/readersPerMachine) })
			}
		}
	}
	time.Sleep(cutDelay)
	if w.trouble {
		owner := w.machineNamed(w.store.writer(ids[0]))
		if owner == nil {
			return fmt.Errorf("no machine has written to batch %s", ids[0])
		}
		w.cutOff(owner, cutTime)
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(afterHeal)
	for _, id := range ids {
		status, _, err := call(w.ctx, http.MethodDelete, w.machines[0].front, "/lots/"+id, "", nil, nil)
		w.rec.printf("trainer: batch %s ended: %d %v", id, status, err)
	}
	return nil
}

// readAll reads a batch from the start again and again.
func (o *observations) readAll(stop <-chan struct{}, m *machine, id string, offset time.Duration) {
	time.Sleep(offset)
	for {
		began := time.Now()
		status, list, err := o.w.read(m, id, 0)
		if err == nil && status == http.StatusOK {
			o.add(id, m.name, 0, list)
		}
		select {
		case <-stop:
			return
		case <-time.After(readPeriod - time.Since(began)):
		}
	}
}

func (w *world) machineNamed(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// cutOff partitions a machine from the store and from the other machines for a time.
func (w *world) cutOff(m *machine, d time.Duration) {
	w.rec.printf("TROUBLE: %s is cut off from the store and the other machines for %v", m.name, d)
	m.toStore.cut(everybody)
	m.fromPeers.cut(everybody)
	for _, other := range w.machines {
		other.fromPeers.cut(m.name)
	}
	time.Sleep(d)
	for _, other := range w.machines {
		other.fromPeers.heal(m.name)
	}
	m.fromPeers.heal(everybody)
	m.toStore.heal(everybody)
	w.rec.printf("TROUBLE: the cut of %s ends", m.name)
}
