package window

import (
	"maps"
	"testing"

	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/internal/modeltest"
)

const (
	length = 60
	grace  = 5
	keep   = 3
)

// fault names a rule that a run of the simulation breaks on purpose.
type fault string

const (
	noCloseCheck  fault = "instance's write without checking the closed row"
	noFence       fault = "write of a former sealer goes through"
	carryAll      fault = "late usage carried without reading what was counted"
	unknownIsDone fault = "unknown outcome assumed to be success"
	sendUnfrozen  fault = "sums reported instead of the frozen row"
)

type partKey struct {
	window   int64
	instance int
}

type row[T any] struct {
	value   T
	version uint64
}

type instance struct {
	id    int
	skew  int64
	tally *Tally
}

type delayedCall struct {
	epoch    int
	instance int
	call     any
}

// simulation simulates the rows, instances whose clocks differ, and a sequence of
// sealers. It is also the oracle.
type simulation struct {
	fault        fault
	unix         int64
	down         bool
	closed       row[Closed]
	cursor       row[Cursor]
	parts        map[partKey]row[Totals]
	lastTotals   map[partKey]Totals // last totals of all rows, including pruned ones
	frozen       map[int64]Report
	instances    []*instance
	nextID       int
	epoch        int
	sealer       *Sealer
	delayedCalls []delayedCall

	added    Usage
	lost     Usage // not written before a crash, or dropped because its row was pruned
	reported map[int64]Totals
	reports  int
}

func newSimulation(f fault, _ modeltest.Draw) *simulation {
	sim := &simulation{fault: f, unix: 6000, parts: map[partKey]row[Totals]{}, lastTotals: map[partKey]Totals{},
		frozen: map[int64]Report{}, reported: map[int64]Totals{}}
	for i := range 3 {
		sim.instances = append(sim.instances, sim.newInstance(int64(i-1)*3))
	}
	sim.replaceSealer()
	return sim
}

func (sim *simulation) newInstance(skew int64) *instance {
	sim.nextID++
	return &instance{id: sim.nextID, skew: skew, tally: NewTally(sim.start(skew))}
}

func (sim *simulation) cfg() Config { return Config{Length: length, Grace: grace, Keep: keep} }

func (sim *simulation) start(skew int64) int64 { return sim.cfg().Start(sim.unix + skew) }

func (sim *simulation) replaceSealer() {
	sim.epoch++
	sim.sealer = NewSealer(sim.cfg())
}

func (sim *simulation) step(d modeltest.Draw) {
	in := sim.instances[d(len(sim.instances), "instance")]
	switch k := d(100, "op"); {
	case k < 20:
		sim.unix += int64(d(20, "s"))
	case k < 50:
		u := Usage{Requests: 1, Tokens: uint64(1 + d(9, "tokens"))}
		in.tally.Add(string(rune('a'+d(2, "team"))), u)
		sim.added = sim.added.Plus(u)
	case k < 70:
		sim.flush(in, d)
	case k < 85:
		sim.seal(d)
	case k < 90:
		sim.runDelayedCall(d)
	case k < 93:
		sim.down = !sim.down
	case k < 96:
		sim.replaceSealer()
	case k < 98:
		sim.crash(in)
	default:
		sim.unix += int64(d(5*length, "long"))
	}
}

// crash replaces an instance. Its unwritten usage is lost, which is the usage
// that it added, less the totals of its rows after all delayed calls were
// executed.
func (sim *simulation) crash(in *instance) {
	for len(sim.delayedCalls) > 0 {
		sim.runDelayedCall(func(int, string) int { return 0 })
	}
	for win, p := range in.tally.parts {
		sim.countLost(in, win, p)
	}
	*in = *sim.newInstance(in.skew)
}

// countLost counts the usage of a part that is not in its row as lost.
func (sim *simulation) countLost(in *instance, win int64, p *part) {
	sim.lost = sim.lost.Plus(p.totals.minus(sim.lastTotals[partKey{win, in.id}]).Sum())
}

func (sim *simulation) flush(in *instance, d modeltest.Draw) {
	in.tally.Flush(sim.start(in.skew))
	for a := in.tally.Next(); a != nil; a = in.tally.Next() {
		before := maps.Clone(in.tally.parts)
		lost := in.tally.Lost()
		in.tally.Step(sim.call(delayedCall{instance: in.id, call: a}, d))
		if in.tally.Lost() != lost { // dropped because the row was pruned
			win := a.(ReadPart).Window
			sim.countLost(in, win, before[win])
		}
	}
}

func (sim *simulation) seal(d modeltest.Draw) {
	sim.sealer.Wake()
	for range 1 + d(12, "calls") {
		a := sim.sealer.Next(sim.unix)
		if a == nil {
			return
		}
		sim.sealer.Step(sim.call(delayedCall{epoch: sim.epoch, call: a}, d))
	}
}

// call executes a call now, later or not at all, and returns its outcome or an
// unknown one.
func (sim *simulation) call(c delayedCall, d modeltest.Draw) any {
	k := d(10, "call")
	switch {
	case sim.down:
		return resultWithOutcome(c.call, effect.None)
	case k == 0:
		sim.delayedCalls = append(sim.delayedCalls, c)
		return sim.unknown(c.call)
	case k == 1:
		sim.execute(c)
		return sim.unknown(c.call)
	}
	return sim.execute(c)
}

func (sim *simulation) unknown(call any) any {
	if sim.fault == unknownIsDone {
		return resultWithOutcome(call, effect.Done)
	}
	return resultWithOutcome(call, effect.Unknown)
}

func resultWithOutcome(call any, o effect.Outcome) any {
	switch call.(type) {
	case Upsert:
		return Upserted{o}
	case Close, MoveCursor, SendReport:
		return Wrote{o}
	}
	return ReadFailed{}
}

func (sim *simulation) runDelayedCall(d modeltest.Draw) {
	if c, ok := modeltest.TakeRandom(d, &sim.delayedCalls, "late"); ok {
		sim.execute(c)
	}
}

func (sim *simulation) execute(c delayedCall) any {
	switch a := c.call.(type) {
	case Upsert:
		return Upserted{sim.upsert(a, c.instance)}
	case ReadPart:
		p := sim.parts[partKey{a.Window, c.instance}]
		if sim.fault == carryAll {
			p.value = nil
		}
		return PartRead{sim.closed.value, sim.closed.version, maps.Clone(p.value), p.version}
	case ReadState:
		s := State{sim.closed.value, sim.closed.version, sim.cursor.value, sim.cursor.version, 0, false}
		for k := range sim.parts {
			if !s.HasOldest || k.window < s.Oldest {
				s.Oldest, s.HasOldest = k.window, true
			}
		}
		return s
	case ListParts:
		var list []Totals
		for k, p := range sim.parts {
			if k.window == a.Window {
				list = append(list, p.value)
			}
		}
		return Parts{list}
	case ReadFrozen:
		if sim.fault == sendUnfrozen {
			sum := Totals{}
			for k, p := range sim.parts {
				if k.window == a.Window {
					for team, u := range p.value {
						sum.Add(team, u)
					}
				}
			}
			return Frozen{Report{a.Window, sum}}
		}
		return Frozen{sim.frozen[a.Window]}
	}
	return Wrote{sim.write(c)}
}

func (sim *simulation) upsert(a Upsert, instance int) effect.Outcome {
	k := partKey{a.Window, instance}
	if sim.parts[k].version != a.IfVersion || sim.closed.version != a.ClosedVersion && sim.fault != noCloseCheck {
		return effect.Conflict
	}
	sim.parts[k] = row[Totals]{a.Totals, a.IfVersion + 1}
	sim.lastTotals[k] = a.Totals
	return effect.Done
}

func (sim *simulation) write(c delayedCall) effect.Outcome {
	if send, ok := c.call.(SendReport); ok {
		sim.report(send.Report)
		return effect.Done
	}
	if c.epoch != sim.epoch && sim.fault != noFence {
		return effect.Conflict
	}
	switch a := c.call.(type) {
	case Close:
		if sim.closed.version != a.IfVersion && sim.fault != noFence {
			return effect.Conflict
		}
		sim.closed = row[Closed]{a.Closed, sim.closed.version + 1}
		for k := range sim.parts {
			if k.window < a.Closed.Pruned {
				delete(sim.parts, k)
			}
		}
	case MoveCursor:
		if sim.cursor.version != a.IfVersion && sim.fault != noFence {
			return effect.Conflict
		}
		sim.cursor = row[Cursor]{a.Cursor, sim.cursor.version + 1}
		if a.Freeze != nil {
			sim.frozen[a.Freeze.Window] = *a.Freeze
		}
	}
	return effect.Done
}

func (sim *simulation) report(r Report) {
	sim.reports++
	if before, ok := sim.reported[r.Window]; ok && !before.equal(r.Teams) {
		modeltest.Failf("window %d was reported as %v and as %v", r.Window, before, r.Teams)
	}
	sim.reported[r.Window] = r.Teams
}

// settle ends all faults, runs all pending work, and compares the reported usage
// with the added usage.
func (sim *simulation) settle() {
	sim.down = false
	neverFails := func(int, string) int { return 9 }
	for range 6 {
		for len(sim.delayedCalls) > 0 {
			sim.runDelayedCall(func(int, string) int { return 0 })
		}
		for _, in := range sim.instances {
			sim.flush(in, neverFails)
		}
		sim.unix += length + grace + 3
		for range 200 {
			sim.seal(neverFails)
		}
	}
	var sum Usage
	for _, teams := range sim.reported {
		sum = sum.Plus(teams.Sum())
	}
	want := sim.added
	sum, want = sum.Plus(sim.lost), Usage{want.Requests, want.Tokens, 0}
	if sum.Requests != want.Requests || sum.Tokens != want.Tokens {
		modeltest.Failf("added usage is %v, but reported plus lost usage is %v, of which %v is lost", want, sum, sim.lost)
	}
	for win := sim.cursor.value.Report - length; win > sim.cursor.value.Report-3*length; win -= length {
		if _, ok := sim.reported[win]; !ok {
			modeltest.Failf("window %d was not reported", win)
		}
	}
}

var model = modeltest.Model[fault, *simulation]{New: newSimulation, Step: (*simulation).step, Settle: (*simulation).settle}

func TestReportedAndLostUsageEqualsAdded(t *testing.T) {
	model.Check(t, 200)
	var reports int
	var added, lost Usage
	model.CheckSeeds(t, 200, 500, func(sim *simulation) {
		reports += sim.reports
		added, lost = added.Plus(sim.added), lost.Plus(sim.lost)
	})
	t.Logf("200 seeded runs: %d reports, %d requests, %d of them lost because of crashes", reports, added.Requests, lost.Requests)
}

// TestOracleDetectsFaults breaks one rule at a time and checks that the oracle
// detects it.
func TestOracleDetectsFaults(t *testing.T) {
	model.CheckDetectsFaults(t, []fault{noCloseCheck, noFence, carryAll, unknownIsDone, sendUnfrozen}, 500, 500)
}
