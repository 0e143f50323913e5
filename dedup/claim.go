package dedup

import (
	"time"

	"github.com/cumincove/cumincove/effect"
)

const (
	// maxTries bounds the number of writes and the number of reads of a Claim.
	maxTries = 4
	// usablePercent is the percentage of Retention.Keep, the promised time, within
	// which a request may be sent to an endpoint. The rest is a margin for clocks
	// of different rates.
	usablePercent = 90
)

// Write is a write of the ID's row of the newest generation. It must be done in
// one transaction that is conditional on Generation being the newest one, on
// the version of the ID's row of the previous generation, and on the version of
// the row itself. Its result is a WriteResult.
type Write struct {
	Generation uint64
	// IfPrevious is the required version of the row of the previous generation,
	// and IfVersion that of the row to write. Zero means that the row must not
	// exist.
	IfPrevious uint64
	IfVersion  uint64
	Row        Row
}

// Read is a read of the newest generation, and then of the ID's rows of that
// generation and of the previous one. Its result is a ReadResult or a
// ReadFailed.
type Read struct{}

// WriteResult is the result of a Write.
type WriteResult struct{ Outcome effect.Outcome }

// ReadResult is the result of a Read.
type ReadResult struct {
	Newest   Generation
	Current  Versioned
	Previous Versioned
}

// ReadFailed is the result of a Read that returned nothing.
type ReadFailed struct{}

// Verdict is the result of a Claim.
type Verdict int

// The verdicts.
const (
	// Acquired means that the request may run.
	Acquired Verdict = iota
	// Duplicate means that the ID was claimed before by a request with the same
	// content.
	Duplicate
	// OtherContent means that the ID was claimed before by a request with other
	// content.
	OtherContent
	// Unavailable means that the table is unavailable. The request must not run.
	Unavailable
)

// Decision is the last result of Claim.Next.
type Decision struct {
	Verdict Verdict
	// SendBy is the time by which the request must be sent to an endpoint if
	// the verdict is Acquired.
	SendBy time.Duration
	// Position is the position of the row if the verdict is Acquired.
	Position Position
	// Row is the row of the other request if the verdict is Duplicate, or
	// OtherContent unless that row is released.
	Row Row
	// Uncertain is set if the verdict is Unavailable and a write of the claim
	// may have taken effect, or may still do so. NewRelease returns the Finish
	// that releases it.
	Uncertain *Write
}

// Claim is the claim of one request.
type Claim struct {
	row    Row
	newest Generation
	// previous and current are the versions of the rows of the previous and of
	// the newest generation on which the next write is conditional.
	previous, current uint64

	// needsRead indicates that the next call is a read.
	needsRead bool
	writes    int
	reads     int
	// sendBy is the earliest deadline that follows from a write.
	sendBy time.Duration
	// uncertain is the last write whose response was lost.
	uncertain *Write
	last      Write
	decision  *Decision
}

// NewClaim returns a claim. Newest may be outdated, which costs an additional
// read.
func NewClaim(row Row, newest Generation) *Claim {
	row.State = Claimed
	return &Claim{row: row, newest: newest, needsRead: newest.Number == 0}
}

// Next returns a Write, a Read or, at the end, a Decision.
func (c *Claim) Next(now time.Duration) any {
	switch {
	case c.decision != nil:
		return *c.decision
	case c.needsRead && c.reads < maxTries:
		c.reads++
		return Read{}
	case c.needsRead || c.writes >= maxTries:
		return Decision{Verdict: Unavailable, Uncertain: c.uncertain}
	}
	c.writes++
	by := now + c.newest.Keep*usablePercent/100
	if c.writes == 1 || by < c.sendBy {
		c.sendBy = by
	}
	c.last = Write{
		Generation: c.newest.Number,
		IfPrevious: c.previous,
		IfVersion:  c.current,
		Row:        c.row,
	}
	return c.last
}

// Step handles the result of the call that Next returned.
func (c *Claim) Step(result any) {
	switch r := result.(type) {
	case WriteResult:
		c.handleWrite(r.Outcome)
	case ReadResult:
		c.handleRead(r)
	}
}

func (c *Claim) handleWrite(o effect.Outcome) {
	switch o {
	case effect.Done:
		c.acquire(Position{c.last.Generation, c.last.IfVersion + 1})
	case effect.None:
		if c.uncertain == nil {
			c.decision = &Decision{Verdict: Unavailable}
			return
		}
		c.needsRead = true
	case effect.Unknown:
		w := c.last
		c.uncertain = &w
		c.needsRead = true
	case effect.Conflict:
		c.needsRead = true
	}
}

func (c *Claim) acquire(p Position) {
	c.decision = &Decision{Verdict: Acquired, SendBy: c.sendBy, Position: p}
}

func (c *Claim) handleRead(r ReadResult) {
	c.needsRead = r.Newest.Number == 0 // until a process has started the first generation
	c.newest, c.previous, c.current = r.Newest, r.Previous.Version, r.Current.Version
	switch {
	case c.own(r.Current):
		c.acquire(Position{r.Newest.Number, r.Current.Version})
	case !r.Current.claimable():
		c.refuseFor(r.Current.Row)
	case c.own(r.Previous):
		c.acquire(Position{r.Newest.Number - 1, r.Previous.Version})
	case !r.Previous.claimable():
		c.refuseFor(r.Previous.Row)
	case r.Current.Version > 0 && r.Current.Row.Digest != c.row.Digest,
		r.Previous.Version > 0 && r.Previous.Row.Digest != c.row.Digest:
		c.decision = &Decision{Verdict: OtherContent}
	}
}

// own reports whether a row was written by this claim.
func (c *Claim) own(v Versioned) bool {
	return v.Version > 0 && v.Row.Nonce == c.row.Nonce && v.Row.State == Claimed
}

// refuseFor ends the claim because of the row of another request.
func (c *Claim) refuseFor(other Row) {
	verdict := Duplicate
	if other.Digest != c.row.Digest {
		verdict = OtherContent
	}
	c.decision = &Decision{Verdict: verdict, Row: other}
}
