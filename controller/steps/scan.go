package steps

import (
	"context"
	"slices"
	"time"

	"github.com/cumincove/cumincove/view"
)

const (
	// stepsPage is the number of steps listed at a time.
	stepsPage = 1000
	// ineligibleScanInterval is the number of scan periods between two scans of an
	// instance that is not eligible for steps.
	ineligibleScanInterval = 10
	// maxUnreportedReads is the number of consecutive reads of the members in which
	// no instance reports a step, after which the step's owner is checked. A step
	// that was just accepted is reported within two reads.
	maxUnreportedReads = 3
	// idleReads is the number after which a step of an owner that is alive is idle.
	idleReads = 2
	// claimTimeout bounds a claim, including the calls that determine the outcome
	// of a write.
	claimTimeout = 10 * time.Second
	// requestPeriod is the time between two requests to another instance to run a step.
	requestPeriod = time.Second
	// maxClaims is the number of steps that are claimed at the same time.
	maxClaims = 16
)

// scan searches for steps that need another owner, and takes over those that are
// assigned to this instance.
func (c *Controller) scan(ctx context.Context) {
	if !c.o.MembersSynced() || c.isLeaving() || !c.isEligible() && !c.ineligibleScanDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := c.newScan()
	for after := ""; ; {
		ids, err := c.o.Steps.Parts(ctx, after, stepsPage)
		if err != nil {
			c.o.Log.Debug("steps not listed", "error", err)
			return
		}
		for _, id := range ids {
			s.checkStep(ctx, id)
			after = id
		}
		if len(ids) < stepsPage {
			break
		}
	}
	s.readUnknown()
	c.sweep(ctx)
}

// stepScan is one scan of all steps.
type stepScan struct {
	c      *Controller
	prober ownerProber
	// membersAt is when the members were last read, and reports are the owners that
	// reported that they run a step, by the step's ID.
	membersAt time.Duration
	reports   map[string]ownerReport
	// alive are the owners that are members.
	alive map[Owner]bool
	// unknown are the steps whose rows were not read yet, and the idle ones of owners
	// that are down.
	unknown []string
}

// ownerReport is the report of an instance that it runs a step. Version is the
// version of the owner's row when the instance became the owner.
type ownerReport struct {
	owner   Owner
	version uint64
}

func (c *Controller) newScan() *stepScan {
	v := c.o.Views.Load()
	alive := map[Owner]bool{}
	for name, m := range v.Members {
		alive[Owner{name, m.Incarnation}] = true
	}
	return &stepScan{
		c: c, alive: alive, prober: ownerProber{c: c, probed: map[Owner]bool{}},
		membersAt: v.MembersAt, reports: reportsOf(v),
	}
}

// reportsOf returns the members' reports by step. If several members report a step,
// the one that became its owner last counts.
func reportsOf(v *view.View) map[string]ownerReport {
	reports := map[string]ownerReport{}
	for name, steps := range v.MemberSteps {
		for id, version := range steps {
			if version > reports[id].version {
				reports[id] = ownerReport{Owner{name, v.Members[name].Incarnation}, version}
			}
		}
	}
	return reports
}

// checkStep claims a step if its owner is unknown, down, leaving or unresponsive,
// or if no instance reports that it runs the step.
func (s *stepScan) checkStep(ctx context.Context, id string) {
	c := s.c
	step, open := s.observe(id)
	switch {
	case !open:
	case !step.known || step.idle && !c.ownerAlive(step.owner):
		s.unknown = append(s.unknown, id)
	case !c.ownerAlive(step.owner) || c.ownerLeaving(step.owner):
		c.claimInBackground(id, Owner{})
		c.requestSuccessor(id, step)
	case c.successorExcept(id, step.spec, step.owner.Instance) == c.o.Self && s.prober.ownerLost(ctx, step.owner):
		c.claimInBackground(id, step.owner)
	case step.unreportedReads >= maxUnreportedReads && c.successorExcept(id, step.spec, "") == c.o.Self:
		c.resetUnreported(id)
		c.inBackground(id, func(ctx context.Context) { c.claimUnreported(ctx, id) })
	}
}

// readUnknown reads the unknown and the idle steps, those first that this instance would
// delete: each instance reads another share first, and requests the successors of the
// open steps that it finds to run them.
func (s *stepScan) readUnknown() {
	var others []string
	for _, id := range s.unknown {
		if s.c.sweeperOf(id) != s.c.o.Self {
			others = append(others, id)
			continue
		}
		s.c.readInBackground(id)
	}
	for _, id := range others {
		s.c.readInBackground(id)
	}
}

// requestSuccessor requests the instance that an open step without an owner is assigned
// to, if that is another one, to run the step: it may have started just now and not know
// the step yet.
func (c *Controller) requestSuccessor(id string, step openStep) {
	now := c.o.Clock.Now()
	recently := step.requestedAt > 0 && now-step.requestedAt < requestPeriod
	if !step.accepted || c.ownerAlive(step.owner) || recently {
		return
	}
	m, ok := c.o.Views.Load().Members[c.successorExcept(id, step.spec, "")]
	if !ok || m.Name == c.o.Self {
		return
	}
	c.mu.Lock()
	if step, ok := c.openSteps[id]; ok {
		step.requestedAt = now
		c.openSteps[id] = step
	}
	c.mu.Unlock()
	c.running.Go(func() {
		_ = c.requestAdoption(c.ctx, id, Owner{m.Name, m.Incarnation}) // the next scan tries again
	})
}

// observe updates what is known of a step with the members' reports, and returns it.
// Open is false if the step needs no owner, or runs here.
func (s *stepScan) observe(id string) (step openStep, open bool) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, closed := c.closed[id]; closed || c.runners[id] != nil {
		return openStep{}, false
	}
	step = c.openSteps[id]
	if !step.known {
		return step, true
	}
	report, reported := s.reports[id]
	switch {
	case reported && report.version >= step.ownerVersion:
		step.owner, step.ownerVersion = report.owner, report.version
		step.unreportedReads, step.idle = 0, false
	case step.membersAt != s.membersAt:
		step.unreportedReads++
		if step.unreportedReads >= idleReads && s.alive[step.owner] {
			step.idle = true
		}
	}
	step.membersAt = s.membersAt
	c.openSteps[id] = step
	return step, true
}

// resetUnreported restarts the count of the reads in which no instance reports a
// step.
func (c *Controller) resetUnreported(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if step, ok := c.openSteps[id]; ok {
		step.unreportedReads = 0
		c.openSteps[id] = step
	}
}

// isEligible reports whether steps can be assigned to this instance.
func (c *Controller) isEligible() bool {
	return slices.ContainsFunc(c.o.Views.Load().Eligible(), func(m view.Member) bool { return m.Name == c.o.Self })
}

// ineligibleScanDue reports whether this instance scans although it is not eligible
// for steps: it may own a step because of a write whose response was lost.
func (c *Controller) ineligibleScanDue() bool {
	c.ineligibleScans++
	return c.ineligibleScans%ineligibleScanInterval == 0
}
