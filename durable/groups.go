package durable

import (
	"cmp"
	"slices"
	"time"

	"github.com/cumincove/cumincove/rank"
)

const (
	// selectPeriod is the shortest time between two selections of groups.
	selectPeriod = 200 * time.Millisecond
	// urgentSlack is the slack below which a sample starts before those of groups
	// with less work: a little later, its group would be late.
	urgentSlack = time.Second
)

// tier is the importance of a group while samples must wait for an endpoint.
type tier int

const (
	// tierNeeded groups are waited for and can be complete by the due time.
	tierNeeded tier = iota
	// tierLate groups are waited for, but their longest sample can't end by the due time
	// even with a stream of its own.
	tierLate
	// tierSpare groups are not waited for.
	tierSpare
)

// group is a set of samples that are of use only together.
type group struct {
	samples []*sample
	// carried groups were not complete in an earlier step. They are waited for,
	// whichever other groups are complete.
	carried bool
	tier    tier
	// position is the group's position in the last selection.
	position int
	// open is the number of samples without a result, left the work that remains,
	// longest that of the longest sample, and done the work that was done.
	open                int
	left, longest, done work
}

// selection is the state of the selection of groups.
type selection struct {
	// groups are the groups of the samples, or nil if the step does not end when a
	// number of groups is complete. due is when the results are needed.
	groups []*group
	due    time.Duration
	// scarce is set while samples must wait, planned is the order in which they
	// start, selectedAt is when it was made, and selections counts the changes.
	scarce     bool
	planned    []*sample
	selectedAt time.Duration
	selections int
}

// newGroups returns the groups of the samples, or nil if the step does not end when a
// number of groups is complete.
func newGroups(spec Spec, samples []*sample) []*group {
	if spec.Groups <= 0 {
		return nil
	}
	byID := map[string]*group{}
	var list []*group
	for _, p := range samples {
		g := byID[p.Group]
		if g == nil {
			g = &group{}
			byID[p.Group] = g
			list = append(list, g)
		}
		g.samples = append(g.samples, p)
		p.group = g
	}
	return list
}

// SetDue sets the time by which the results are needed, in the clock of Tick. Without
// it, the step assumes that there is enough time.
func (s *Step) SetDue(at time.Duration) { s.due = at }

// SetCarried marks the groups that were not complete in an earlier step of the model,
// and returns their number.
func (s *Step) SetCarried(groups map[string]bool) int {
	n := 0
	for _, g := range s.groups {
		if g.carried = groups[g.samples[0].Group]; g.carried {
			n++
		}
	}
	return n
}

// GroupsByCompletion returns the IDs of the groups of which all results are stored, and
// those of the others.
func (s *Step) GroupsByCompletion() (complete, incomplete []string) {
	for _, g := range s.groups {
		id := g.samples[0].Group
		if slices.ContainsFunc(g.samples, func(p *sample) bool { return p.state != stored }) {
			incomplete = append(incomplete, id)
		} else {
			complete = append(complete, id)
		}
	}
	return complete, incomplete
}

// measureGroup estimates the work of a group.
func (s *Step) measureGroup(g *group) {
	g.open, g.left, g.longest, g.done = 0, 0, 0, 0
	for _, p := range g.samples {
		if p.state != ready && p.state != stored {
			g.open++
		}
		left := s.remaining(p)
		g.left += left
		g.longest = max(g.longest, left)
		g.done += s.finished(p)
	}
}

// startOrder returns the samples in the order in which they start: the longest first
// if all can start, and otherwise by the selection of their groups.
func (s *Step) startOrder(now time.Duration, endpoints []Endpoint) []*sample {
	wasScarce := s.scarce
	s.scarce = s.groups != nil && s.countWaiting() > s.allFreeSlots(endpoints)
	if !s.scarce {
		return s.order
	}
	if !wasScarce || now-s.selectedAt >= selectPeriod {
		s.selectGroups(now)
	}
	return s.planned
}

// selectGroups selects the groups that are waited for, and orders the samples.
func (s *Step) selectGroups(now time.Duration) {
	s.selectedAt = now
	open, needed := s.openGroups(now)
	s.assignTiers(now, open, needed)
	s.planned = s.planned[:0]
	for _, p := range s.order {
		if p.state != stored {
			s.planned = append(s.planned, p)
		}
	}
	slices.SortStableFunc(s.planned, func(a, b *sample) int { return s.compareStarts(now, a, b) })
}

// openGroups returns the groups that are not complete in the order of their
// selection, and the number of groups that the trainer still waits for. Those with
// less work go first. A group that was selected is replaced only if the other one has
// less work by more than what was done for the selected one.
func (s *Step) openGroups(now time.Duration) (open []*group, needed int) {
	needed = s.spec.Groups
	for _, g := range s.groups {
		s.measureGroup(g)
		if g.open == 0 {
			needed--
			continue
		}
		open = append(open, g)
	}
	slices.SortStableFunc(open, func(a, b *group) int {
		return cmp.Or(
			first(a.carried, b.carried),
			-first(s.isLate(now, a), s.isLate(now, b)),
			cmp.Compare(s.selectionCost(a), s.selectionCost(b)),
		)
	})
	return open, needed
}

// selectionCost returns the work by which a group is selected.
func (s *Step) selectionCost(g *group) work {
	if s.selections > 0 && g.tier == tierNeeded {
		return g.left - g.done
	}
	return g.left
}

// first compares two values so that true goes before false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// isLate reports whether a group can't be complete by the due time, even if each of its
// samples has a stream.
func (s *Step) isLate(now time.Duration, g *group) bool {
	return s.due > 0 && !s.rankOf(g.longest).Feasible(now)
}

// rankOf returns the rank of work that one stream does.
func (s *Step) rankOf(w work) rank.Work {
	return rank.Work{Deadline: s.due, Remaining: s.duration(w)}
}

// assignTiers assigns the tiers of the groups that are not complete.
func (s *Step) assignTiers(now time.Duration, open []*group, needed int) {
	changed := 0
	for i, g := range open {
		before := g.tier
		g.position = i
		switch {
		case i >= needed && !g.carried:
			g.tier = tierSpare
		case s.isLate(now, g):
			g.tier = tierLate
		default:
			g.tier = tierNeeded
		}
		if g.tier != before {
			changed++
		}
	}
	if changed > 0 {
		s.selections++
	}
}

// compareStarts compares two samples by when they start: the tier, then whether the
// group would be late if the sample started later, and then the longer one. The next
// step waits for all needed groups, so they are not completed one after the other. Of
// the other groups, those with less work go first.
func (s *Step) compareStarts(now time.Duration, a, b *sample) int {
	c := cmp.Or(
		cmp.Compare(a.group.tier, b.group.tier),
		first(s.isUrgent(now, a), s.isUrgent(now, b)),
	)
	if c == 0 && a.group.tier != tierNeeded {
		c = cmp.Compare(a.group.position, b.group.position)
	}
	return cmp.Or(c, cmp.Compare(s.remaining(b), s.remaining(a)))
}

func (s *Step) isUrgent(now time.Duration, p *sample) bool {
	return s.due > 0 && s.rankOf(s.remaining(p)).Slack(now) < urgentSlack
}

// GroupCounts counts the groups of a step.
type GroupCounts struct {
	// Complete groups have a result for every sample, which may be one without a text.
	// Of the others, Needed are waited for, Late are waited for but can't be complete
	// by the due time, and Spare are not waited for.
	Complete, Needed, Late, Spare int
	// Selections counts the changes of the selection.
	Selections int
}

// GroupCounts counts the groups as they were last selected. Before the first selection,
// which is made once samples must wait, all groups that are not complete count as needed.
func (s *Step) GroupCounts() GroupCounts {
	c := GroupCounts{Selections: s.selections}
	for _, g := range s.groups {
		s.measureGroup(g)
		switch {
		case g.open == 0:
			c.Complete++
		case g.tier == tierNeeded:
			c.Needed++
		case g.tier == tierLate:
			c.Late++
		default:
			c.Spare++
		}
	}
	return c
}

// Selections counts the changes of the selection of groups.
func (s *Step) Selections() int { return s.selections }
