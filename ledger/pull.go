package ledger

import (
	"time"

	"github.com/cumincove/cumincove/code"
)

// Delivery is the result of a Pull.
type Delivery struct {
	Samples []Sample
	// Next is the trainer's cursor after it has received the samples.
	Next Cursor
	// Durable is set if every sample is stored.
	Durable bool
}

// Progress counts a step's groups and samples.
type Progress struct {
	Groups    int `json:"groups"`
	Complete  int `json:"whole"`
	Stored    int `json:"stored"`
	Delivered int `json:"delivered"`
	Samples   int `json:"samples"`
	// Scored and Unscored count the groups whose scoring has ended with and
	// without scores.
	Scored   int `json:"scored,omitempty"`
	Unscored int `json:"unscored,omitempty"`
}

// Pull returns complete groups that the trainer has not received, in the order
// in which they became complete. It returns at most maxSamples samples, but
// always at least one group if one can be delivered. Call SetNewestVersion with
// the newest weight version first. A call with the same cursor returns the same
// samples again, except those that became too old in between.
func (l *Ledger) Pull(now time.Duration, cur Cursor, maxSamples int) (Delivery, error) {
	if err := l.acknowledge(cur); err != nil {
		return Delivery{}, err
	}
	d := Delivery{Next: cur, Durable: true}
	outage := l.Outage(now)
	for _, g := range l.completeGroups {
		if len(d.Samples) > 0 && len(d.Samples)+l.cfg.GroupSize > maxSamples {
			break
		}
		groupStored := l.groupStored(g)
		if (!groupStored && !outage) || !l.scoringEnded(g) {
			continue
		}
		d.Samples = append(d.Samples, l.groups[g].samplesWithScores()...)
		d.Next = d.Next.With(g)
		d.Durable = d.Durable && groupStored
	}
	return d, nil
}

// acknowledge frees the groups that the trainer has received according to cur.
func (l *Ledger) acknowledge(cur Cursor) error {
	if cur.limit() > len(l.groups) {
		return ErrCursor
	}
	for g := range l.groups {
		if l.trainerCursor.Has(g) && !cur.Has(g) {
			return ErrCursorBehind
		}
	}
	for g := range l.groups {
		if cur.Has(g) && !l.trainerCursor.Has(g) {
			l.freeGroup(g)
		}
	}
	l.trainerCursor = cur
	return nil
}

func (l *Ledger) freeGroup(g int) {
	grp := &l.groups[g]
	l.removeComplete(g)
	if grp.reserved {
		grp.reserved = false
		l.reserved--
	}
	clear(grp.slots)
	grp.filled = 0
}

// Received reports whether the trainer has received the group.
func (l *Ledger) Received(g int) bool { return l.trainerCursor.Has(g) }

// Complete reports whether the trainer has received every group.
func (l *Ledger) Complete() bool { return l.trainerCursor.Len() == len(l.groups) }

// Progress returns the current counts.
func (l *Ledger) Progress() Progress {
	p := Progress{Groups: len(l.groups), Complete: len(l.completeGroups), Delivered: l.trainerCursor.Len()}
	for _, g := range l.completeGroups {
		if l.groupStored(g) {
			p.Stored++
		}
	}
	for g := range l.groups {
		grp := &l.groups[g]
		p.Samples += grp.filled
		switch {
		case !grp.hasFinalVerdict():
		case grp.verdict.Code == code.OK:
			p.Scored++
		default:
			p.Unscored++
		}
	}
	return p
}
