package capacity

import (
	"math/bits"
	"time"
)

const (
	// disseminationTime is the base of the time until all other instances have
	// received the report that an instance has rollout work.
	// disseminationTimePerDoubling is added for each doubling of the number of
	// instances, because gossip disseminates such reports.
	disseminationTime            = 500 * time.Millisecond
	disseminationTimePerDoubling = 250 * time.Millisecond
)

// Sharers counts the instances that have rollout work, among which the room at
// endpoints is divided. The zero value is ready for use.
type Sharers struct {
	// hasRolloutWork means that this instance has reported rollout work, first at
	// the time since.
	hasRolloutWork bool
	since          time.Duration
}

// Step returns the number of instances in the list that have, or may have, rollout
// work. It returns zero if this instance has none, or if the number is not reliable
// yet: other instances do not count this one until they have received its report.
// The caller then divides the room by the number of all instances. So the
// instances whose reports are not disseminated yet can together use at most as much
// room as there is, in addition to what the others use.
func (s *Sharers) Step(now time.Duration, self string, list []InstanceReport) int {
	n := 0
	hasRolloutWork := false
	for _, instance := range list {
		if instance.mayHaveRolloutWork() {
			n++
			hasRolloutWork = hasRolloutWork || instance.Name == self
		}
	}
	if hasRolloutWork && !s.hasRolloutWork {
		s.since = now
	}
	s.hasRolloutWork = hasRolloutWork
	reliableAfter := disseminationTime + disseminationTimePerDoubling*time.Duration(bits.Len(uint(len(list))))
	if !hasRolloutWork || now-s.since < reliableAfter {
		return 0
	}
	return n
}

// mayHaveRolloutWork reports whether the instance has, or may have, rollout work. An
// instance that is confirmed alive and has sent no report has none.
func (r InstanceReport) mayHaveRolloutWork() bool {
	return r.Unconfirmed || r.Report.MayHaveRolloutWork()
}

// MayHaveRolloutWork reports whether the report contains rollout work, or is
// truncated so that it may omit some. It returns false for a nil report.
func (r *Report) MayHaveRolloutWork() bool {
	if r == nil {
		return false
	}
	for _, l := range r.Loads {
		if l.Rollout > 0 {
			return true
		}
	}
	return r.Truncated
}
