package window

import "github.com/cumincove/cumincove/effect"

// Config configures a Sealer.
type Config struct {
	// Length is the length of a window, and Grace the time between the end of
	// a window and its closing, in seconds.
	Length int64
	Grace  int64
	// Keep is the number of windows for which the instances' rows are kept
	// after closing.
	Keep int64
}

// Start returns the window that contains a time in Unix seconds.
func (c Config) Start(unix int64) int64 { return unix - unix%c.Length }

// ReadState requests the Closed row, the Cursor row, and the oldest window for
// which an instance's row exists. The result is State or ReadFailed.
type ReadState struct{}

// Close requests a write of the Closed row. Like all writes of a Sealer it must
// fail unless the writer is still in charge. The result is Wrote.
type Close struct {
	Closed    Closed
	IfVersion uint64
}

// MoveCursor requests a write of the Cursor row. If Freeze is set, the same
// transaction must create the frozen row of that window. The result is Wrote.
type MoveCursor struct {
	Cursor    Cursor
	IfVersion uint64
	Freeze    *Report
}

// ListParts requests the totals of all instances for a window. The result is
// Parts or ReadFailed.
type ListParts struct{ Window int64 }

// ReadFrozen requests the frozen row of a window. The result is Frozen or
// ReadFailed.
type ReadFrozen struct{ Window int64 }

// SendReport requests that the report of a frozen window be sent. The result is
// Wrote.
type SendReport struct{ Report Report }

// State is the result of ReadState. A version of zero means that the row does not
// exist.
type State struct {
	Closed        Closed
	ClosedVersion uint64
	Cursor        Cursor
	CursorVersion uint64
	// Oldest is the oldest window for which an instance's row exists. It is
	// valid if HasOldest is true.
	Oldest    int64
	HasOldest bool
}

// Wrote is the result of Close, MoveCursor and SendReport.
type Wrote struct{ Outcome effect.Outcome }

// Parts is the result of ListParts.
type Parts struct{ Totals []Totals }

// Frozen is the result of ReadFrozen.
type Frozen struct{ Report Report }

// Sealer closes, freezes and reports windows while its process is in charge.
// It is not safe for concurrent use.
type Sealer struct {
	cfg       Config
	state     State
	stateRead bool
	// windowTotals is the sum of the rows of the next window to freeze, and
	// frozen the frozen row of the next window to report. They are nil until
	// read.
	windowTotals *Report
	frozen       *Report
	// reported indicates that the frozen window was reported, but that the cursor
	// has not been advanced yet.
	reported bool
	lastCall any  // the call that Next returned last
	ended    bool // whether the pass has ended
}

// NewSealer returns a Sealer that makes no calls until Wake is called.
func NewSealer(cfg Config) *Sealer { return &Sealer{cfg: cfg, ended: true} }

// Wake starts a pass. The pass reads the rows again, because another process may
// have been in charge in the meantime.
func (s *Sealer) Wake() { *s = Sealer{cfg: s.cfg} }

// Next returns the next call of the pass, or nil at its end. The time is in
// Unix seconds.
func (s *Sealer) Next(unix int64) any {
	s.lastCall = nil
	if !s.ended {
		s.lastCall = s.next(unix)
	}
	return s.lastCall
}

func (s *Sealer) next(unix int64) any {
	st := &s.state
	due := s.cfg.Start(unix - s.cfg.Grace)
	switch {
	case !s.stateRead:
		return ReadState{}
	case st.Closed.UpTo < due:
		pruned := min(due-s.cfg.Keep*s.cfg.Length, st.Cursor.Seal)
		return Close{Closed{due, max(st.Closed.Pruned, pruned)}, st.ClosedVersion}
	case st.CursorVersion == 0:
		first := st.Closed.UpTo
		if st.HasOldest {
			first = min(first, st.Oldest)
		}
		return MoveCursor{Cursor: Cursor{Seal: first, Report: first}}
	case st.Cursor.Seal < st.Closed.UpTo:
		return s.nextFreeze()
	case st.Cursor.Report < st.Cursor.Seal:
		return s.nextReport()
	}
	return nil
}

func (s *Sealer) nextFreeze() any {
	c := s.state.Cursor
	if s.windowTotals == nil {
		return ListParts{Window: c.Seal}
	}
	c.Seal += s.cfg.Length
	return MoveCursor{c, s.state.CursorVersion, s.windowTotals}
}

func (s *Sealer) nextReport() any {
	if s.frozen == nil {
		return ReadFrozen{Window: s.state.Cursor.Report}
	}
	if !s.reported {
		return SendReport{*s.frozen}
	}
	c := s.state.Cursor
	c.Report += s.cfg.Length
	return MoveCursor{Cursor: c, IfVersion: s.state.CursorVersion}
}

// Step handles the result of the last call.
func (s *Sealer) Step(result any) {
	switch e := result.(type) {
	case ReadFailed:
		s.ended = true
	case State:
		s.state = e
		s.stateRead = true
	case Parts:
		sum := Totals{}
		for _, t := range e.Totals {
			for team, u := range t {
				sum.Add(team, u)
			}
		}
		s.windowTotals = &Report{Window: s.state.Cursor.Seal, Teams: sum}
	case Frozen:
		s.frozen = &e.Report
	case Wrote:
		s.wrote(e.Outcome)
	}
}

// wrote handles the outcome of a write. It ends the pass unless the write
// certainly succeeded. The next pass reads the actual state.
func (s *Sealer) wrote(o effect.Outcome) {
	if o != effect.Done {
		s.ended = true
		return
	}
	switch a := s.lastCall.(type) {
	case Close:
		// No process can add a row to a closed window any more, so the oldest
		// row, which is part of the state, must be read again.
		s.stateRead = false
	case MoveCursor:
		s.state.Cursor = a.Cursor
		s.state.CursorVersion = a.IfVersion + 1
		s.windowTotals, s.frozen, s.reported = nil, nil, false
	case SendReport:
		s.reported = true
	}
}
