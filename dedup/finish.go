package dedup

import "github.com/cumincove/cumincove/effect"

// Put is a write of the row of one generation that is conditional on the row's
// version. Its result is a WriteResult.
type Put struct {
	Position Position
	Row      Row
}

// ReadAt is a read of the row of one generation. Its result is a Versioned or a
// ReadFailed.
type ReadAt struct{ Generation uint64 }

// Finish records the result of a claimed request.
type Finish struct {
	position Position
	row      Row
	// claimUncertain indicates that the claim itself may not have been written.
	claimUncertain bool
	// needsRead indicates that the next call is a read.
	needsRead bool
	calls     int
	done      bool
}

// maxFinishCalls bounds the calls of one Finish.
const maxFinishCalls = 8

// NewFinish returns the Finish of a request whose claim succeeded. The state of
// the row is the result of the request.
func NewFinish(p Position, row Row) *Finish {
	return &Finish{position: p, row: row}
}

// NewRelease returns a Finish that releases a claim whose write may have taken
// effect, or may still do so. The write of the Finish is conditional on the same
// version, and so prevents the claim's write from taking effect later.
func NewRelease(w Write) *Finish {
	row := w.Row
	row.State = Released
	return &Finish{position: Position{w.Generation, w.IfVersion}, row: row, claimUncertain: true}
}

// Next returns a Put, a ReadAt or, at the end, nil. The caller must wait before
// it retries after a failed call.
func (f *Finish) Next() any {
	if f.done || f.calls >= maxFinishCalls {
		return nil
	}
	f.calls++
	if f.needsRead {
		return ReadAt{f.position.Generation}
	}
	return Put{f.position, f.row}
}

// Done reports whether the result is written or no longer needs to be written.
func (f *Finish) Done() bool { return f.done }

// Step handles the result of the call that Next returned. No other process
// writes a row that is claimed, so a version conflict normally means that an
// earlier Put took effect, and the Finish is done. But if the claim may not
// have been written, the conflict may come from the claim's own write, so the
// row must be read.
func (f *Finish) Step(result any) {
	switch r := result.(type) {
	case WriteResult:
		f.needsRead = r.Outcome == effect.Conflict && f.claimUncertain
		f.done = r.Outcome == effect.Done || (r.Outcome == effect.Conflict && !f.claimUncertain)
	case Versioned:
		f.needsRead, f.claimUncertain = false, false
		f.position.Version = r.Version
		f.done = r.Version == 0 || r.Row.Nonce != f.row.Nonce || r.Row.State != Claimed
	}
}
