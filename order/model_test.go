package order

import (
	"testing"
	"time"

	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/internal/modeltest"
)

const (
	retry  = time.Second
	settle = 20 * time.Second
)

// fault names a rule that a run of the model breaks on purpose.
type fault string

const (
	assumeDone      fault = "unknown outcome assumed to be success"
	noFence         fault = "intent written without checking the epoch"
	missingIsZero   fault = "a failed observation taken for no endpoints"
	ignoreIntents   fault = "successor does not read open intents"
	sendBeforeWrite fault = "order sent before its intent was written"
)

var allSets = []Set{{"a", "cheap"}, {"a", "ondemand"}, {"b", "cheap"}}

// orderModel is the model and its oracle: rows with the current epoch, a
// receiver, and a sequence of holders.
type orderModel struct {
	fault   fault
	now     time.Duration
	outage  bool
	epoch   uint64
	m       *Machine
	rows    map[Set]Stored
	counts  map[Set]int
	desired map[Set]int
	// countByID is the count with which each order ID was received.
	countByID map[string]int
	// matched has the IDs whose count the receiver had while they were open.
	matched map[string]bool
	// reached has the IDs whose count an observation has reported.
	reached map[string]bool
	// delayed are writes and orders whose call timed out and which may still
	// arrive.
	delayed    []delayedCall
	ordersSent int
}

type delayedCall struct {
	epoch  uint64
	action Action
}

func newOrderModel(f fault, _ modeltest.Draw) *orderModel {
	om := &orderModel{fault: f, rows: map[Set]Stored{}, counts: map[Set]int{}, desired: map[Set]int{},
		countByID: map[string]int{}, matched: map[string]bool{}, reached: map[string]bool{}}
	om.takeOver()
	return om
}

// takeOver replaces the holder. The lease guarantees that no order of the
// previous holder can still arrive; its writes to the table can.
func (om *orderModel) takeOver() {
	var writes []delayedCall
	for _, call := range om.delayed {
		if _, ok := call.action.(Write); ok {
			writes = append(writes, call)
		}
	}
	om.delayed = writes
	om.epoch++
	om.m = New(Config{DataCentre: "x", Retry: retry, Settle: settle})
	om.m.Begin(om.epoch)
	om.m.SetDesired(om.desired)
}

func (om *orderModel) step(d modeltest.Draw) {
	switch k := d(100, "op"); {
	case k < 30:
		om.now += time.Duration(d(3000, "ms")) * time.Millisecond
	case k < 65:
		om.tick(d)
	case k < 80:
		om.observe(!om.outage && d(3, "gap") > 0)
	case k < 85:
		om.executeDelayed(d)
	case k < 88:
		om.outage = !om.outage
	case k < 91:
		om.takeOver()
	case k < 93: // all endpoints of a set are lost
		om.counts[allSets[d(len(allSets), "set")]] = 0
	case k < 95: // no desired count: the set keeps its last order
		delete(om.desired, allSets[d(len(allSets), "set")])
		om.m.SetDesired(om.desired)
	default:
		om.desired[allSets[d(len(allSets), "set")]] = d(5, "count")
		om.m.SetDesired(om.desired)
	}
	om.recordMatches()
}

// recordMatches records the intents whose count the receiver has now.
func (om *orderModel) recordMatches() {
	for s, row := range om.rows {
		if om.counts[s] == row.Intent.Count {
			om.matched[row.Intent.ID] = true
		}
	}
}

func (om *orderModel) tick(d modeltest.Draw) {
	for _, a := range om.m.Tick(om.now) {
		var e Event
		switch k := d(10, "call"); {
		case om.outage:
			e = failedResult(a)
		case k == 0: // delayed: may still arrive after its time-out
			om.delayed = append(om.delayed, delayedCall{om.epoch, a})
			e = om.unknownResult(a)
		case k == 1: // executed, response lost
			om.execute(a, om.epoch)
			e = om.unknownResult(a)
		default:
			e = om.execute(a, om.epoch)
		}
		om.m.Step(om.now, e)
	}
}

func failedResult(a Action) Event {
	switch a.(type) {
	case Load:
		return LoadFailed{}
	case Write:
		return WriteDone{effect.None}
	}
	return SendDone{effect.None}
}

func (om *orderModel) unknownResult(a Action) Event {
	switch a.(type) {
	case Load:
		return LoadFailed{}
	case Write:
		if om.fault == sendBeforeWrite {
			return WriteDone{effect.Done}
		}
		return WriteDone{effect.Unknown}
	}
	if om.fault == assumeDone {
		return SendDone{effect.Done}
	}
	return SendDone{effect.Unknown}
}

func (om *orderModel) executeDelayed(d modeltest.Draw) {
	if call, ok := modeltest.TakeRandom(d, &om.delayed, "late"); ok {
		om.execute(call.action, call.epoch)
	}
}

func (om *orderModel) execute(a Action, by uint64) Event {
	switch a := a.(type) {
	case Write:
		return WriteDone{om.write(a, by)}
	case Send:
		om.receive(a)
		return SendDone{effect.Done}
	}
	rows := map[Set]Stored{}
	for s, row := range om.rows {
		if om.fault == ignoreIntents {
			row.Intent = Intent{Done: true}
		}
		rows[s] = row
	}
	return Loaded{rows}
}

func (om *orderModel) write(a Write, by uint64) effect.Outcome {
	if om.rows[a.Set].Version != a.IfVersion || (by != om.epoch && om.fault != noFence) {
		return effect.Conflict
	}
	if by != om.epoch {
		modeltest.Failf("a former holder changed an intent")
	}
	if a.Intent.Seq < om.rows[a.Set].Intent.Seq {
		modeltest.Failf("the sequence number of orders decreased")
	}
	old := om.rows[a.Set].Intent
	if a.Intent.Done && a.Intent.Seq != old.Seq {
		modeltest.Failf("order %s recorded as done, but was not open", a.Intent.ID)
	}
	if a.Intent.Done && a.Intent.Seq > 0 && !old.Done && !om.matched[a.Intent.ID] {
		modeltest.Failf("order %s recorded as done, but never took effect", a.Intent.ID)
	}
	if a.Intent.ObservedRunning > a.Intent.Count || a.Intent.ObservedRunning > old.ObservedRunning && !om.reached[a.Intent.ID] {
		modeltest.Failf("order %s recorded with a number of running endpoints that was not observed: %+v", a.Intent.ID, a.Intent)
	}
	om.rows[a.Set] = Stored{a.Intent, a.IfVersion + 1}
	return effect.Done
}

func (om *orderModel) receive(a Send) {
	om.ordersSent++
	if c, ok := om.countByID[a.Intent.ID]; ok && c != a.Intent.Count {
		modeltest.Failf("order %s sent with counts %d and %d", a.Intent.ID, c, a.Intent.Count)
	}
	if row := om.rows[a.Set]; row.Intent.Seq < a.Intent.Seq {
		modeltest.Failf("order %s sent before its intent was written", a.Intent.ID)
	}
	om.countByID[a.Intent.ID] = a.Intent.Count
	om.counts[a.Set] = a.Intent.Count
	om.recordMatches()
}

func (om *orderModel) observe(ok bool) {
	counts := map[Set]int{}
	if ok {
		for s, c := range om.counts {
			counts[s] = c
			om.reached[om.rows[s].Intent.ID] = om.reached[om.rows[s].Intent.ID] || c >= om.rows[s].Intent.Count
		}
	}
	if ok || om.fault == missingIsZero {
		om.m.Step(om.now, Observed{Started: om.now, Counts: counts})
	}
}

// settle ends all faults and checks that the counts become the desired ones.
func (om *orderModel) settle() {
	om.outage = false
	none := func(int, string) int { return 9 }
	for len(om.delayed) > 0 {
		om.executeDelayed(func(int, string) int { return 0 })
	}
	for range 400 {
		om.now += 200 * time.Millisecond
		om.tick(none)
		om.observe(true)
	}
	for s, n := range om.desired {
		if om.counts[s] != n {
			modeltest.Failf("%v has %d endpoints, want %d", s, om.counts[s], n)
		}
	}
	for s, row := range om.rows {
		if !row.Intent.Done || om.counts[s] != row.Intent.Count {
			modeltest.Failf("%v has %d endpoints after settling, its row contains %+v", s, om.counts[s], row.Intent)
		}
	}
}

var model = modeltest.Model[fault, *orderModel]{New: newOrderModel, Step: (*orderModel).step, Settle: (*orderModel).settle}

func TestCountsConverge(t *testing.T) {
	model.Check(t, 200)
	ordersSent := 0
	model.CheckSeeds(t, 200, 500, func(om *orderModel) { ordersSent += om.ordersSent })
	t.Logf("200 seeded runs sent %d orders", ordersSent)
}

// TestOracleDetectsFaults breaks one rule at a time and checks that the oracle
// detects it.
func TestOracleDetectsFaults(t *testing.T) {
	model.CheckDetectsFaults(t, []fault{assumeDone, noFence, missingIsZero, ignoreIntents, sendBeforeWrite}, 500, 500)
}
