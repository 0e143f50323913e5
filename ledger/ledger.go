package ledger

import (
	"errors"
	"time"
)

var (
	// ErrCursor is returned for a cursor that is malformed or contains groups
	// that the step does not have.
	ErrCursor = errors.New("ledger: bad cursor")
	// ErrCursorBehind is returned for a cursor that lacks groups of a cursor
	// that the trainer passed before.
	ErrCursorBehind = errors.New("ledger: cursor was superseded")
	// ErrSlot is returned when the step has no such slot.
	ErrSlot = errors.New("ledger: no such slot")
	// ErrFilled is returned when the slot has a sample of this or a later
	// attempt, or the trainer has received the group.
	ErrFilled = errors.New("ledger: slot is filled")
	// ErrVersionUnknown is returned when the weight version of some token is
	// unknown.
	ErrVersionUnknown = errors.New("ledger: weight version unknown")
	// ErrTooOld is returned for a sample that exceeds the staleness bound.
	ErrTooOld = errors.New("ledger: sample is too old")
	// ErrFull is returned when Config.MaxGroups or more groups are in memory.
	ErrFull = errors.New("ledger: full")
)

// Config describes a step.
type Config struct {
	Groups    int
	GroupSize int
	// MaxStaleness is the staleness bound: the number of versions by which a sample
	// may lag behind the newest weights when it is delivered.
	MaxStaleness uint64
	// MaxGroups bounds the number of groups in memory, started or complete, that
	// the trainer has not received.
	MaxGroups int
	// BatchSamples is the number of samples from which a batch is written
	// immediately; smaller batches wait for up to Linger. A batch contains
	// complete groups, so it may be larger by less than one group.
	BatchSamples int
	Linger       time.Duration
	// BatchTokens is the number of tokens from which a batch is written
	// immediately, as with BatchSamples. Zero means that only BatchSamples
	// counts.
	BatchTokens int
	// Grace is how long groups wait for the store before they are delivered
	// from memory.
	Grace time.Duration
	// Scored is set if groups are delivered only with the Verdict of a scoring
	// service.
	Scored bool
	// BaseAttempt is added to attempt numbers. Each owner of a step passes a
	// higher one than the previous owner.
	BaseAttempt uint64
}

// Ledger is the state of one step.
type Ledger struct {
	cfg    Config
	groups []group
	// completeGroups lists the complete groups that the trainer has not received,
	// in the order in which they became complete.
	completeGroups []int
	// trainerCursor is the last cursor that the trainer passed.
	trainerCursor Cursor
	// reserved is the number of groups that count against MaxGroups.
	reserved int
	// newest is the newest weight version passed to SetNewestVersion.
	newest uint64

	seq uint64
	// batchInFlight is the batch being written, or nil.
	batchInFlight *Batch
	// unstoredSince is the later of two times: when the oldest unstored group
	// became complete, and when the last batch was stored.
	unstoredSince time.Duration
	// retryAt is when a batch is offered again after a failure.
	retryAt time.Duration
}

type group struct {
	slots  []slot
	filled int
	// reserved is set if the group counts against MaxGroups.
	reserved bool
	// verdict is the state of the group's scoring; nil means not started.
	verdict       *Verdict
	verdictStored bool
}

type slot struct {
	sample *Sample
	// attempt is the attempt number of the sample that is to fill the slot.
	attempt uint64
	stored  bool
}

// New returns the Ledger of a step without samples.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, groups: make([]group, cfg.Groups)}
	for g := range l.groups {
		l.groups[g].slots = make([]slot, cfg.GroupSize)
		for i := range l.groups[g].slots {
			l.groups[g].slots[i].attempt = cfg.BaseAttempt + 1
		}
	}
	return l
}

// Reserve reserves memory for a group, that is, counts it against
// Config.MaxGroups. It returns ErrFull if that number is reached. It does
// nothing for a group that is counted already or that the trainer has received.
func (l *Ledger) Reserve(g int) error {
	if g < 0 || g >= len(l.groups) {
		return ErrSlot
	}
	grp := &l.groups[g]
	if grp.reserved || l.trainerCursor.Has(g) {
		return nil
	}
	if l.reserved >= l.cfg.MaxGroups {
		return ErrFull
	}
	grp.reserved = true
	l.reserved++
	return nil
}

// PendingAttempt reports whether a sample for the slot has to be generated, and
// returns its attempt number.
func (l *Ledger) PendingAttempt(id Slot) (attempt uint64, ok bool) {
	s := l.slot(id)
	if s == nil || s.sample != nil || l.trainerCursor.Has(id.Group) {
		return 0, false
	}
	return s.attempt, true
}

// Fill stores a sample in its slot. For a sample that must not be delivered it
// returns ErrVersionUnknown or ErrTooOld and increments the slot's attempt
// number.
func (l *Ledger) Fill(now time.Duration, s Sample) error {
	sl := l.slot(s.Slot)
	if sl == nil {
		return ErrSlot
	}
	attempt, ok := l.PendingAttempt(s.Slot)
	if !ok || s.Attempt != attempt {
		return ErrFilled
	}
	if !s.Attributed() {
		sl.attempt++
		return ErrVersionUnknown
	}
	if l.tooOld(&s) {
		sl.attempt++
		return ErrTooOld
	}
	l.storeSample(now, s, false)
	return nil
}

// Load restores the samples and verdicts of a batch that an earlier owner wrote.
// If a slot has several samples, the one with the highest attempt is kept. Call
// Load before any other method, once for each batch in the order in which the
// batches were written.
func (l *Ledger) Load(now time.Duration, b Batch) error {
	for _, s := range b.Samples {
		sl := l.slot(s.Slot)
		if sl == nil {
			return ErrSlot
		}
		if sl.sample != nil && sl.sample.Attempt >= s.Attempt {
			continue
		}
		if !s.Attributed() {
			return ErrVersionUnknown
		}
		if sl.sample != nil {
			l.drop(s.Slot)
		}
		l.storeSample(now, s, true)
	}
	return l.loadVerdicts(b.Verdicts)
}

// SetNewestVersion sets the newest weight version. It drops the samples that
// became too old and returns their slots, whose samples have to be generated
// again. A version that is not higher than the previous one has no effect.
func (l *Ledger) SetNewestVersion(version uint64) []Slot {
	if version <= l.newest {
		return nil
	}
	l.newest = version
	var dropped []Slot
	for g := range l.groups {
		if l.trainerCursor.Has(g) {
			continue
		}
		for i := range l.groups[g].slots {
			s := l.groups[g].slots[i].sample
			if s != nil && l.tooOld(s) {
				l.drop(s.Slot)
				dropped = append(dropped, Slot{Group: g, Index: i})
			}
		}
	}
	return dropped
}

// NewestVersion returns the newest weight version passed to SetNewestVersion.
func (l *Ledger) NewestVersion() uint64 { return l.newest }

// IsVersionUsable reports whether a sample with tokens of this version could
// still be delivered.
func (l *Ledger) IsVersionUsable(version uint64) bool {
	return version != 0 && version+l.cfg.MaxStaleness >= l.newest
}

func (l *Ledger) tooOld(s *Sample) bool {
	return !l.IsVersionUsable(s.Oldest())
}

func (l *Ledger) slot(id Slot) *slot {
	if id.Group < 0 || id.Group >= len(l.groups) || id.Index < 0 || id.Index >= l.cfg.GroupSize {
		return nil
	}
	return &l.groups[id.Group].slots[id.Index]
}

func (l *Ledger) storeSample(now time.Duration, s Sample, stored bool) {
	grp := &l.groups[s.Group]
	if !grp.reserved {
		grp.reserved = true
		l.reserved++
	}
	sl := &grp.slots[s.Index]
	sl.sample = &s
	sl.stored = stored
	grp.filled++
	if grp.filled < l.cfg.GroupSize {
		return
	}
	if !stored && !l.hasUnstored() {
		l.unstoredSince = now
	}
	l.completeGroups = append(l.completeGroups, s.Group)
}

// drop removes the sample of a slot and increments the slot's attempt number.
func (l *Ledger) drop(id Slot) {
	grp := &l.groups[id.Group]
	if grp.filled == l.cfg.GroupSize {
		l.removeComplete(id.Group)
	}
	sl := &grp.slots[id.Index]
	sl.sample = nil
	sl.stored = false
	sl.attempt = max(sl.attempt, l.cfg.BaseAttempt) + 1
	grp.filled--
	grp.verdict, grp.verdictStored = nil, false
}

// removeComplete removes a group from completeGroups.
func (l *Ledger) removeComplete(g int) {
	for i, r := range l.completeGroups {
		if r == g {
			l.completeGroups = append(l.completeGroups[:i:i], l.completeGroups[i+1:]...)
			return
		}
	}
}
