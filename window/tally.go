package window

import (
	"maps"
	"slices"

	"github.com/cumincove/cumincove/effect"
)

// maxTries bounds the calls for one window in one pass.
const maxTries = 6

// Upsert asks to write the totals of a window if the row has IfVersion and the
// Closed row has ClosedVersion. The answer is Upserted.
type Upsert struct {
	Window        int64
	Totals        Totals
	IfVersion     uint64
	ClosedVersion uint64
}

// ReadPart asks for the Closed row, and then for this process's row of the
// window. The answer is PartRead or ReadFailed.
type ReadPart struct{ Window int64 }

// Upserted answers Upsert.
type Upserted struct{ Outcome effect.Outcome }

// PartRead answers ReadPart. Versions of zero stand for rows that do not
// exist.
type PartRead struct {
	Closed        Closed
	ClosedVersion uint64
	Totals        Totals
	Version       uint64
}

// ReadFailed answers a read when nothing was learnt.
type ReadFailed struct{}

// Tally is one process's usage. It is not safe for concurrent use.
type Tally struct {
	current int64
	parts   map[int64]*part
	closed  Closed
	// closedVersion is the version of the Closed row as last read.
	closedVersion uint64
	asked         any
	over          bool // no more calls in this pass
	lost          Usage
}

// part is the usage of one window.
type part struct {
	totals Totals
	// stored and version are the row as last written or read.
	stored  Totals
	version uint64
	// unread says that the row must be read before the next write, and sent
	// that a write was ever tried.
	unread bool
	sent   bool
	tries  int
}

// NewTally returns an empty Tally whose current window is given.
func NewTally(current int64) *Tally {
	return &Tally{current: current, parts: map[int64]*part{}, over: true}
}

// Add counts usage into the current window.
func (t *Tally) Add(team string, u Usage) { t.part(t.current).totals.Add(team, u) }

// AddTo counts usage into a window, which may be past. Usage of a window that is
// closed goes into the current one, marked late.
func (t *Tally) AddTo(w int64, team string, u Usage) { t.part(w).totals.Add(team, u) }

func (t *Tally) part(w int64) *part {
	p := t.parts[w]
	if p == nil {
		p = &part{totals: Totals{}}
		t.parts[w] = p
	}
	return p
}

// Lost is the usage that could not be told from what was counted, and was
// therefore dropped: it waited until the window's rows were pruned.
func (t *Tally) Lost() Usage { return t.lost }

// Unwritten is the usage that would be lost if the process died now.
func (t *Tally) Unwritten() Usage {
	var sum Usage
	for _, p := range t.parts {
		sum = sum.Plus(p.totals.minus(p.stored).Sum())
	}
	return sum
}

// Flush starts a pass over all windows. The current window never goes back.
func (t *Tally) Flush(current int64) {
	t.current = max(t.current, current)
	t.over = false
	for _, p := range t.parts {
		p.tries = 0
	}
}

// Next returns the next call of the pass, an Upsert or a ReadPart, or nil at
// its end.
func (t *Tally) Next() any {
	t.asked = nil
	if t.over {
		return nil
	}
	for _, w := range slices.Sorted(maps.Keys(t.parts)) {
		p := t.parts[w]
		if p.tries >= maxTries {
			continue
		}
		if t.asked = t.nextFor(w, p); t.asked != nil {
			p.tries++
			return t.asked
		}
	}
	t.over = true
	return nil
}

func (t *Tally) nextFor(w int64, p *part) any {
	switch {
	case !p.unread && p.totals.equal(p.stored):
		if w < t.current {
			delete(t.parts, w)
		}
		return nil
	case p.unread || w < t.closed.UpTo:
		return ReadPart{Window: w}
	}
	p.sent = true
	return Upsert{w, maps.Clone(p.totals), p.version, t.closedVersion}
}

// Step takes in the answer to the last call: Upserted, PartRead or ReadFailed.
func (t *Tally) Step(answer any) {
	switch e := answer.(type) {
	case Upserted:
		t.upserted(t.asked.(Upsert), e.Outcome)
	case PartRead:
		t.read(t.asked.(ReadPart).Window, e)
	case ReadFailed:
		t.over = true
	}
}

func (t *Tally) upserted(u Upsert, o effect.Outcome) {
	p := t.parts[u.Window]
	switch o {
	case effect.Done:
		p.stored = u.Totals
		p.version = u.IfVersion + 1
	case effect.None:
		t.over = true
	default:
		p.unread = true
	}
}

func (t *Tally) read(w int64, e PartRead) {
	t.closed = e.Closed
	t.closedVersion = e.ClosedVersion
	p := t.parts[w]
	if w >= e.Closed.UpTo {
		p.unread = false
		p.stored = e.Totals
		p.version = e.Version
		return
	}
	delete(t.parts, w)
	if w < e.Closed.Pruned && p.sent {
		t.lost = t.lost.Plus(p.totals.minus(p.stored).Sum())
		return
	}
	t.carry(p.totals.minus(e.Totals))
}

// carry moves usage that missed its window into the first open one.
func (t *Tally) carry(rest Totals) {
	t.current = max(t.current, t.closed.UpTo)
	for team, u := range rest {
		u.Late = u.Tokens
		t.Add(team, u)
	}
}
