package steps

import (
	"cmp"
	"slices"
	"time"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/internal/rendezvous"
	"github.com/cumincove/cumincove/view"
)

// openStep is what this instance knows of a step that may need an owner.
type openStep struct {
	// known is set once the step's rows were read, and accepted if it was accepted then.
	known, accepted bool
	// owner is the owner as last read or reported, and ownerVersion the version of
	// its row.
	owner        Owner
	ownerVersion uint64
	// spec has no samples.
	spec durable.Spec
	// unreportedReads is the number of consecutive reads of the members in which no
	// other instance reported that it runs the step, and membersAt the time of the
	// last one.
	unreportedReads int
	membersAt       time.Duration
	// idle is set while the owner, which is a member, does not report the step: most of
	// these have ended.
	idle bool
	// requestedAt is when this instance last requested another one to run the step;
	// zero if it has not.
	requestedAt time.Duration
}

// recordOwner records the owner of a step, or that the step has ended, as read from
// its rows.
func (c *Controller) recordOwner(id string, s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ended || s.owner != c.self() {
		delete(c.loads, id)
	}
	if s.ended {
		c.closed[id] = c.o.Clock.Now()
		delete(c.openSteps, id)
		return
	}
	s.head.Spec.Samples = nil
	step := c.openSteps[id]
	step.known, step.accepted, step.spec = true, s.accepted(), s.head.Spec
	step.idle = false // until its owner, if it has one, does not report it again
	step.owner, step.ownerVersion = s.owner, s.ownerVersion
	c.openSteps[id] = step
}

// needsRead reports whether a step is unknown or idle, and does not run here.
func (c *Controller) needsRead(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, closed := c.closed[id]
	step := c.openSteps[id]
	return !closed && c.runners[id] == nil && (!step.known || step.idle)
}

// isClosed reports whether a step is known to be done or ended.
func (c *Controller) isClosed(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, closed := c.closed[id]
	return closed
}

// forgetOwner makes the next scan read the owner of a step again.
func (c *Controller) forgetOwner(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openSteps, id)
}

// ownerAlive reports whether an owner is a current member. It returns false for
// this instance: the owner is then an earlier process of it, or this process does
// not run the step.
func (c *Controller) ownerAlive(o Owner) bool {
	if o.Instance == c.o.Self {
		return false
	}
	m, ok := c.o.Views.Load().Members[o.Instance]
	return ok && m.Incarnation == o.Incarnation
}

// ownerLeaving reports whether an owner is leaving and hands off its steps.
func (c *Controller) ownerLeaving(o Owner) bool {
	return c.o.Views.Load().Members[o.Instance].Leaving
}

// successorExcept returns the name of the instance that a step without an owner is
// assigned to, other than the lost one. All instances with the same member list
// return the same name.
func (c *Controller) successorExcept(id string, spec durable.Spec, lost string) string {
	members := c.o.Views.Load().Eligible()
	members = slices.DeleteFunc(members, func(m view.Member) bool { return m.Name == lost })
	return cmp.Or(c.o.Handoff.Runner(spec, members), highestRanked(id, members))
}

// sweeperOf returns the name of the instance that deletes the rows of a step.
// It depends only on the step's ID and the member list.
func (c *Controller) sweeperOf(id string) string {
	return highestRanked(id, c.o.Views.Load().Eligible())
}

// highestRanked returns the name of the member with the highest hash for the ID.
func highestRanked(id string, members []view.Member) string {
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	return rendezvous.Highest(id, names)
}
