package ledger

import (
	"time"

	"github.com/cumincove/cumincove/code"
)

// Verdict is the state of the scoring of a complete group. A Verdict with
// neither scores nor a code is a mark, which is stored before a call that must
// not be made twice.
type Verdict struct {
	Group int `json:"group"`
	// Attempts are the attempt numbers of the group's samples, by index. A
	// Verdict applies to these samples only.
	Attempts []uint64 `json:"attempts"`
	// Scores contains the score of each sample, by index.
	Scores []float64 `json:"scores,omitempty"`
	// Code is the reason why there are no scores.
	Code code.Number `json:"code,omitempty"`
}

// isFinal reports whether the Verdict has scores or a code, that is, whether it
// is more than a mark.
func (v *Verdict) isFinal() bool {
	return len(v.Scores) > 0 || v.Code != code.OK
}

// Unscored returns the complete groups whose scoring has not ended, in the order
// in which they became complete. It returns none if groups are not scored.
func (l *Ledger) Unscored() []int {
	var list []int
	for _, g := range l.completeGroups {
		if !l.scoringEnded(g) {
			list = append(list, g)
		}
	}
	return list
}

// CompleteGroup returns the samples of a group, or false if the group is not
// complete.
func (l *Ledger) CompleteGroup(g int) ([]Sample, bool) {
	grp := &l.groups[g]
	if grp.filled < l.cfg.GroupSize {
		return nil, false
	}
	return grp.samplesWithScores(), true
}

// MarkScoring records that the group is about to be scored by a service that
// must not be called twice. The next batch contains the mark.
func (l *Ledger) MarkScoring(now time.Duration, g int) {
	l.setVerdict(now, Verdict{Group: g, Attempts: l.groups[g].attempts()})
}

// ScoringMarked reports whether the complete group has a mark or another
// Verdict, and whether that is stored.
func (l *Ledger) ScoringMarked(g int) (marked, stored bool) {
	grp := &l.groups[g]
	return grp.verdict != nil, grp.verdictStored
}

// SetVerdict sets the Verdict that ends the scoring of a group. It returns
// ErrFilled if the scoring has ended before, or if the group no longer has the
// samples that the Verdict applies to.
func (l *Ledger) SetVerdict(now time.Duration, v Verdict) error {
	grp := &l.groups[v.Group]
	if grp.hasFinalVerdict() || !grp.hasAttempts(v.Attempts) {
		return ErrFilled
	}
	l.setVerdict(now, v)
	return nil
}

// HasAttempts reports whether a group is complete and its samples have these
// attempt numbers.
func (l *Ledger) HasAttempts(g int, attempts []uint64) bool {
	return l.groups[g].hasAttempts(attempts)
}

func (l *Ledger) setVerdict(now time.Duration, v Verdict) {
	if !l.hasUnstored() {
		l.unstoredSince = now
	}
	grp := &l.groups[v.Group]
	grp.verdict, grp.verdictStored = &v, false
}

// markVerdictStored records that a Verdict is stored, unless another one has
// replaced it.
func (l *Ledger) markVerdictStored(v Verdict) {
	grp := &l.groups[v.Group]
	if grp.verdict != nil && grp.hasAttempts(v.Attempts) && grp.verdict.isFinal() == v.isFinal() {
		grp.verdictStored = true
	}
}

// loadVerdicts restores the verdicts that an earlier owner stored, except those
// that apply to other samples than the loaded ones.
func (l *Ledger) loadVerdicts(list []Verdict) error {
	for _, v := range list {
		if v.Group < 0 || v.Group >= len(l.groups) {
			return ErrSlot
		}
		grp := &l.groups[v.Group]
		if !l.cfg.Scored || grp.hasFinalVerdict() || !grp.hasAttempts(v.Attempts) {
			continue
		}
		grp.verdict, grp.verdictStored = &v, true
	}
	return nil
}

// scoringEnded reports whether the group's scoring has ended, or the step's
// groups are not scored.
func (l *Ledger) scoringEnded(g int) bool {
	return !l.cfg.Scored || l.groups[g].hasFinalVerdict()
}

func (grp *group) hasFinalVerdict() bool {
	return grp.verdict != nil && grp.verdict.isFinal()
}

// hasAttempts reports whether the group is complete and its samples have these
// attempt numbers.
func (grp *group) hasAttempts(attempts []uint64) bool {
	if grp.filled < len(grp.slots) || len(attempts) != len(grp.slots) {
		return false
	}
	for i, s := range grp.slots {
		if s.sample.Attempt != attempts[i] {
			return false
		}
	}
	return true
}

// attempts returns the attempt numbers of the samples of a complete group.
func (grp *group) attempts() []uint64 {
	list := make([]uint64, len(grp.slots))
	for i, s := range grp.slots {
		list[i] = s.sample.Attempt
	}
	return list
}

// samplesWithScores returns the samples of a complete group with their scores,
// or the code that replaces them.
func (grp *group) samplesWithScores() []Sample {
	list := make([]Sample, len(grp.slots))
	for i, s := range grp.slots {
		list[i] = *s.sample
		if !grp.hasFinalVerdict() {
			continue
		}
		list[i].ScoreCode = grp.verdict.Code
		if grp.verdict.Code == code.OK {
			list[i].Score = &grp.verdict.Scores[i]
		}
	}
	return list
}
