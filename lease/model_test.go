package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/internal/modeltest"
)

const (
	ms                 = time.Millisecond
	modelTerm          = 5 * time.Second
	modelOperationTime = 2 * time.Second
)

// fault names a rule that a run of the model breaks on purpose.
type fault string

const (
	termFromResponse fault = "term counted from the answer"
	noTakeoverWait   fault = "takeover without outwaiting"
	noWriteCheck     fault = "no check at the write"
	lostWriteRenews  fault = "a lost answer taken for a renewal"
	noDrain          fault = "release with acts under way"
	candidateWait    fault = "the candidate's own term outwaited instead of the holder's"
)

// cluster is the model and its oracle. It has the true time, one row, and
// processes whose clocks run at different rates and whose calls may be delayed
// arbitrarily. Processes are paused, killed and replaced.
type cluster struct {
	fault           fault
	now             time.Duration
	row             Row
	version         uint64
	storeDown       bool
	processes       []*process
	calls           []*storeCall
	operations      []*operation
	lastIncarnation uint64
	// arrivals counts the operations that reached the receiver.
	arrivals         int
	maxEpoch         uint64
	maxReceivedEpoch uint64
	acquired         int
	handoffs         int
}

type process struct {
	name        string
	incarnation uint64
	offset      time.Duration
	rate        float64
	paused      bool
	m           *Machine
	// observedTerm is the term that the process uses to start and check
	// operations.
	observedTerm Term
}

// storeCall is a call in transit to the store or back.
type storeCall struct {
	from      *process
	m         *Machine
	action    Action
	response  Event // nil until the store has executed the call
	abandoned bool  // the process no longer waits for the response
}

// operation is started by a process, sent after a second check, and received
// within modelOperationTime after that.
type operation struct {
	holder      *process
	m           *Machine
	epoch       uint64
	written     bool
	sentAt      time.Duration
	endReported bool
}

func newCluster(f fault, d modeltest.Draw) *cluster {
	c := &cluster{fault: f}
	for i := range 3 {
		p := &process{name: string(rune('a' + i)), offset: time.Duration(d(100000, "offset")) * ms}
		p.rate = 1 + float64(d(3, "rate")-1)*0.004
		c.processes = append(c.processes, p)
		c.start(p)
	}
	return c
}

func (c *cluster) start(p *process) {
	c.lastIncarnation++
	c.operations = slices.DeleteFunc(c.operations, func(op *operation) bool { return op.holder == p && !op.written })
	p.incarnation, p.paused, p.observedTerm = c.lastIncarnation, false, Term{}
	cfg := Config{Holder: p.name, Incarnation: p.incarnation, Duration: c.term(p), MaxOperationTime: modelOperationTime, Poll: 200 * ms}.withDefaults()
	if c.fault == noTakeoverWait {
		cfg.Drift, cfg.MaxOperationTime = -1, 1 // a wait of nearly zero
	}
	p.m = New(cfg)
	p.m.SetCandidate(true, "")
}

// term returns the length of a process's terms. Processes may differ in it.
func (c *cluster) term(p *process) time.Duration {
	if p.name == "a" {
		return modelTerm / 2
	}
	return modelTerm
}

func (c *cluster) clock(p *process) time.Duration {
	return p.offset + time.Duration(float64(c.now)*p.rate)
}

// step performs one random action. Progress is more likely than a fault.
func (c *cluster) step(d modeltest.Draw) {
	switch k := d(100, "op"); {
	case k < 25:
		c.advanceClock(time.Duration(1+d(300, "ms")) * ms)
	case k < 75:
		c.deliver(d)
	case k < 78:
		c.abandonCall(d)
	case k < 80:
		c.storeDown = !c.storeDown
	case k < 83:
		p := c.pick(d)
		p.paused = !p.paused
	case k < 84:
		c.start(c.pick(d))
	case k < 85:
		c.setPreferred(c.pick(d).name)
	case k < 86:
		c.pick(d).m.Release()
	case k < 87:
		c.advanceClock(time.Duration(d(8000, "long")) * ms)
	case k < 94:
		c.startOperation()
	default:
		c.advanceOperation(d)
	}
	c.checkHolders()
}

func (c *cluster) pick(d modeltest.Draw) *process { return c.processes[d(len(c.processes), "node")] }

func (c *cluster) setPreferred(name string) {
	for _, p := range c.processes {
		p.m.SetCandidate(true, name)
	}
}

// advanceClock moves time forward in small steps, so that operations are
// received within modelOperationTime.
func (c *cluster) advanceClock(dt time.Duration) {
	for end := c.now + dt; c.now < end; {
		c.now = min(end, c.now+50*ms)
		for _, op := range slices.Clone(c.operations) {
			if op.written && c.now-op.sentAt >= modelOperationTime-50*ms {
				c.receiveOperation(op)
			}
		}
		for _, p := range c.processes {
			c.tick(p)
		}
		c.checkHolders()
	}
}

func (c *cluster) tick(p *process) {
	if p.paused {
		return
	}
	next := p.m.Next()
	for _, a := range p.m.Tick(c.clock(p)) {
		if next > c.clock(p) {
			modeltest.Failf("Tick returned an action before Next")
		}
		c.calls = append(c.calls, &storeCall{from: p, m: p.m, action: a})
	}
	c.syncTerm(p)
}

// deliver moves a random call forward: to the store, or its response to the
// process.
func (c *cluster) deliver(d modeltest.Draw) {
	if len(c.calls) == 0 {
		return
	}
	i := d(len(c.calls), "call")
	call := c.calls[i]
	if call.response == nil {
		call.response = c.execute(call.action)
		if !call.abandoned {
			return
		}
	}
	if call.from.paused && !call.abandoned && call.from.m == call.m {
		return
	}
	c.calls = append(c.calls[:i], c.calls[i+1:]...)
	if !call.abandoned {
		c.deliverResponse(call, call.response)
	}
}

// abandonCall makes a process abandon a call that may still take effect.
func (c *cluster) abandonCall(d modeltest.Draw) {
	if len(c.calls) == 0 {
		return
	}
	call := c.calls[d(len(c.calls), "lost")]
	if call.abandoned || call.from.paused {
		return
	}
	call.abandoned = true
	if _, ok := call.action.(Write); ok {
		o := effect.Unknown
		if c.fault == lostWriteRenews {
			o = effect.Done
		}
		c.deliverResponse(call, WriteDone{Outcome: o})
	} else {
		c.deliverResponse(call, ReadFailed{})
	}
}

func (c *cluster) deliverResponse(call *storeCall, e Event) {
	p := call.from
	if p.m != call.m {
		return // the process was killed after the call
	}
	p.m.Step(c.clock(p), e)
	c.syncTerm(p)
	if done, ok := e.(WriteDone); ok && done.Outcome == effect.Done && c.fault == termFromResponse && p.observedTerm.Epoch != 0 {
		p.observedTerm.Until = c.clock(p) + c.term(p)
	}
}

func (c *cluster) syncTerm(p *process) {
	t := p.m.Term()
	if c.fault == termFromResponse && t.Epoch == p.observedTerm.Epoch && t.Until < p.observedTerm.Until {
		return
	}
	p.observedTerm = t
}

func (c *cluster) execute(a Action) Event {
	wr, ok := a.(Write)
	if c.fault == candidateWait {
		wr.Row.TakeoverWait = 0
	}
	switch {
	case !ok && c.storeDown:
		return ReadFailed{}
	case !ok:
		return ReadDone{Row: c.row, Version: c.version}
	case c.storeDown:
		return WriteDone{Outcome: effect.None}
	case wr.IfVersion != c.version:
		return WriteDone{Outcome: effect.Conflict}
	}
	if wr.Acquire {
		c.acquired++
		if c.row.Released && c.row.Holder != wr.Row.Holder {
			c.handoffs++
		}
	}
	c.row = wr.Row
	c.version++
	return WriteDone{Outcome: effect.Done}
}

func (c *cluster) valid(p *process) bool { return p.observedTerm.Valid(c.clock(p)) }

// startOperation starts an operation at a process whose term is valid.
func (c *cluster) startOperation() {
	i := slices.IndexFunc(c.processes, func(p *process) bool { return !p.paused && c.valid(p) })
	if i < 0 {
		return
	}
	p := c.processes[i]
	if c.fault != noDrain {
		p.m.Step(c.clock(p), OperationStarted{})
	}
	c.operations = append(c.operations, &operation{holder: p, m: p.m, epoch: p.observedTerm.Epoch})
}

// advanceOperation picks a random operation. It sends the operation after a
// second check, or delivers it if it was sent. For some operations that it
// sends, it reports the end without a response.
func (c *cluster) advanceOperation(d modeltest.Draw) {
	if len(c.operations) == 0 {
		return
	}
	op := c.operations[d(len(c.operations), "act")]
	if op.holder.paused || op.holder.m != op.m {
		return
	}
	if op.written {
		c.receiveOperation(op)
		return
	}
	if c.fault != noWriteCheck && (!c.valid(op.holder) || op.holder.observedTerm.Epoch != op.epoch) {
		c.removeOperation(op, true) // never sent, so it can have no later effect
		return
	}
	op.written, op.sentAt = true, c.now
	if d(4, "unanswered") == 0 {
		c.reportEnd(op, false)
	}
}

// receiveOperation delivers an operation to its receiver and the response to
// the process.
func (c *cluster) receiveOperation(op *operation) {
	c.arrivals++
	c.checkOperation(op)
	c.removeOperation(op, true)
}

func (c *cluster) removeOperation(op *operation, responseReceived bool) {
	c.operations = slices.DeleteFunc(slices.Clone(c.operations), func(other *operation) bool { return op == other })
	c.reportEnd(op, responseReceived)
}

func (c *cluster) reportEnd(op *operation, responseReceived bool) {
	if op.holder.m != op.m || op.endReported || c.fault == noDrain {
		return
	}
	op.holder.m.Step(c.clock(op.holder), OperationEnded{ResponseReceived: responseReceived})
	op.endReported = true
}

// checkOperation fails the run if, when an operation is received, another
// process has a valid term or an operation of a later epoch was received
// before.
func (c *cluster) checkOperation(op *operation) {
	for _, p := range c.processes {
		if p.m != op.m && c.valid(p) {
			modeltest.Failf("operation of %s/%d received while %s/%d holds the lease", op.holder.name, op.holder.incarnation, p.name, p.incarnation)
		}
	}
	if op.epoch < c.maxReceivedEpoch {
		modeltest.Failf("operation of epoch %d received after one of epoch %d", op.epoch, c.maxReceivedEpoch)
	}
	c.maxReceivedEpoch = op.epoch
}

func (c *cluster) checkHolders() {
	var holders []string
	for _, p := range c.processes {
		if c.valid(p) {
			holders = append(holders, fmt.Sprintf("%s/%d until %v", p.name, p.incarnation, p.observedTerm.Until-c.clock(p)))
			if p.observedTerm.Epoch < c.maxEpoch {
				modeltest.Failf("epoch fell from %d to %d", c.maxEpoch, p.observedTerm.Epoch)
			}
			c.maxEpoch = p.observedTerm.Epoch
		}
	}
	if len(holders) > 1 {
		modeltest.Failf("two holders: %v", holders)
	}
}

var model = modeltest.Model[fault, *cluster]{New: newCluster, Step: (*cluster).step}

func TestOneHolderAtATime(t *testing.T) { model.Check(t, 300) }

// TestModelCoverage checks long runs, and that the model's random steps lead to
// acquisitions, handoffs and received operations.
func TestModelCoverage(t *testing.T) {
	var acquired, handoffs, arrivals int
	model.CheckSeeds(t, 200, 1000, func(c *cluster) {
		acquired += c.acquired
		handoffs += c.handoffs
		arrivals += c.arrivals
	})
	t.Logf("200 runs: %d acquisitions, %d of them after a release by another process, %d operations received", acquired, handoffs, arrivals)
	if acquired < 200 || handoffs == 0 || arrivals == 0 {
		t.Fatal("too few acquisitions, no handoff or no received operation: the runs don't exercise the model")
	}
}

// TestOracleDetectsFaults breaks one rule at a time and checks that the oracle
// detects it.
func TestOracleDetectsFaults(t *testing.T) {
	model.CheckDetectsFaults(t, []fault{termFromResponse, noTakeoverWait, noWriteCheck, lostWriteRenews, noDrain, candidateWait}, 500, 1000)
}
