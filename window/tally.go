package window

import (
	"maps"
	"slices"

	"github.com/cumincove/cumincove/effect"
)

// maxTries bounds the calls for one window in one pass.
const maxTries = 6

// Upsert requests a write of the totals of a window if the row has IfVersion and
// the Closed row has ClosedVersion. The result is Upserted.
type Upsert struct {
	Window        int64
	Totals        Totals
	IfVersion     uint64
	ClosedVersion uint64
}

// ReadPart requests a read of the Closed row and then of this process's row of
// the window, in this order. The result is PartRead or ReadFailed.
type ReadPart struct{ Window int64 }

// Upserted is the result of Upsert.
type Upserted struct{ Outcome effect.Outcome }

// PartRead is the result of ReadPart. A version of zero means that the row does
// not exist.
type PartRead struct {
	Closed        Closed
	ClosedVersion uint64
	Totals        Totals
	Version       uint64
}

// ReadFailed is the result of a read that failed.
type ReadFailed struct{}

// Tally counts the usage of one process. It is not safe for concurrent use.
type Tally struct {
	current int64
	parts   map[int64]*part
	closed  Closed
	// closedVersion is the version of the Closed row as last read.
	closedVersion uint64
	lastCall      any  // the call that Next returned last
	ended         bool // whether the pass has ended
	lost          Usage
}

// part is the usage of one window.
type part struct {
	totals Totals
	// stored and version are the contents and the version of the row when it
	// was last written or read.
	stored  Totals
	version uint64
	// needsRead indicates that the row must be read before the next write.
	needsRead bool
	// writeAttempted indicates that at least one write was attempted.
	writeAttempted bool
	tries          int // number of calls in this pass
}

// NewTally returns an empty Tally with the given current window.
func NewTally(current int64) *Tally {
	return &Tally{current: current, parts: map[int64]*part{}, ended: true}
}

// Add counts usage in the current window.
func (t *Tally) Add(team string, u Usage) { t.part(t.current).totals.Add(team, u) }

// AddTo counts usage in window w, which may be a past one. If w is closed, the
// usage is counted in the current window and marked late.
func (t *Tally) AddTo(w int64, team string, u Usage) { t.part(w).totals.Add(team, u) }

func (t *Tally) part(w int64) *part {
	p := t.parts[w]
	if p == nil {
		p = &part{totals: Totals{}}
		t.parts[w] = p
	}
	return p
}

// Lost returns the usage that was dropped because its window's rows were pruned
// before the Tally read its own row. It is then not possible to determine how
// much of the usage was counted.
func (t *Tally) Lost() Usage { return t.lost }

// Unwritten returns the usage that would be lost if the process died now.
func (t *Tally) Unwritten() Usage {
	var sum Usage
	for _, p := range t.parts {
		sum = sum.Plus(p.totals.minus(p.stored).Sum())
	}
	return sum
}

// Flush starts a pass over all windows. A current window that is before the
// previous one is ignored.
func (t *Tally) Flush(current int64) {
	t.current = max(t.current, current)
	t.ended = false
	for _, p := range t.parts {
		p.tries = 0
	}
}

// Next returns the next call of the pass, an Upsert or a ReadPart, or nil at
// its end.
func (t *Tally) Next() any {
	t.lastCall = nil
	if t.ended {
		return nil
	}
	for _, w := range slices.Sorted(maps.Keys(t.parts)) {
		p := t.parts[w]
		if p.tries >= maxTries {
			continue
		}
		if t.lastCall = t.nextFor(w, p); t.lastCall != nil {
			p.tries++
			return t.lastCall
		}
	}
	t.ended = true
	return nil
}

func (t *Tally) nextFor(w int64, p *part) any {
	switch {
	case !p.needsRead && p.totals.equal(p.stored):
		if w < t.current {
			delete(t.parts, w)
		}
		return nil
	case p.needsRead || w < t.closed.UpTo:
		return ReadPart{Window: w}
	}
	p.writeAttempted = true
	return Upsert{w, maps.Clone(p.totals), p.version, t.closedVersion}
}

// Step handles the result of the last call: Upserted, PartRead or ReadFailed.
func (t *Tally) Step(result any) {
	switch e := result.(type) {
	case Upserted:
		t.upserted(t.lastCall.(Upsert), e.Outcome)
	case PartRead:
		t.read(t.lastCall.(ReadPart).Window, e)
	case ReadFailed:
		t.ended = true
	}
}

func (t *Tally) upserted(u Upsert, o effect.Outcome) {
	p := t.parts[u.Window]
	switch o {
	case effect.Done:
		p.stored = u.Totals
		p.version = u.IfVersion + 1
	case effect.None:
		t.ended = true
	default:
		p.needsRead = true
	}
}

func (t *Tally) read(w int64, e PartRead) {
	t.closed = e.Closed
	t.closedVersion = e.ClosedVersion
	p := t.parts[w]
	if w >= e.Closed.UpTo {
		p.needsRead = false
		p.stored = e.Totals
		p.version = e.Version
		return
	}
	delete(t.parts, w)
	if w < e.Closed.Pruned && p.writeAttempted {
		t.lost = t.lost.Plus(p.totals.minus(p.stored).Sum())
		return
	}
	t.carryOver(p.totals.minus(e.Totals))
}

// carryOver adds the usage that was not counted in its closed window to the
// current window, which is at least the first open one, and marks it late.
func (t *Tally) carryOver(rest Totals) {
	t.current = max(t.current, t.closed.UpTo)
	for team, u := range rest {
		u.Late = u.Tokens
		t.Add(team, u)
	}
}
