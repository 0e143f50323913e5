package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"google.golang.org/protobuf/proto"
)

// rolloutPeriod is the time between two checks for new rollout work at this
// instance, and between two counts of the instances with rollout work.
const rolloutPeriod = 200 * time.Millisecond

// refreshDemand updates the demand that this instance reports to others, or
// clears it if there is nothing to report. Every report has a new sequence
// number, so that other instances can determine its age. The caller must hold
// mu.
func (c *Controller) refreshDemand() {
	c.demand = nil
	if c.o.Demand == nil {
		return
	}
	loads, ok := c.o.Demand()
	if !ok {
		return
	}
	c.demandSeq++
	c.demand = &capacity.Report{Seq: c.demandSeq, Loads: loads}
	if ids := byLoad(loads); len(ids) > capacity.MaxServices {
		c.demand.Truncated = true
		for _, id := range ids[capacity.MaxServices:] {
			delete(loads, id)
		}
	}
}

// rolloutStarted reports whether this instance has rollout work at a service
// for which its last report contained none. The caller must hold mu.
func (c *Controller) rolloutStarted(now time.Duration) bool {
	if c.o.Demand == nil || now < c.rolloutDue || (c.demand != nil && c.demand.Truncated) {
		return false
	}
	c.rolloutDue = now + rolloutPeriod
	loads, ok := c.o.Demand()
	if !ok {
		return false
	}
	for id, l := range loads {
		if l.Rollout > 0 && (c.demand == nil || c.demand.Loads[id].Rollout == 0) {
			return true
		}
	}
	return false
}

// countSharers returns the number of instances with rollout work, among which the
// capacity for rollout work is divided. It counts them again every rolloutPeriod,
// if this instance may have rollout work itself. The caller must hold mu.
func (c *Controller) countSharers(members []gossip.Member) int {
	now := c.o.Clock.Now()
	if now < c.sharersDue {
		return c.sharers
	}
	c.sharersDue = now + rolloutPeriod
	var list []capacity.InstanceReport
	if c.demand.MayHaveRolloutWork() {
		list = reportedDemands(members)
	}
	c.sharers = c.sharerCounter.Step(now, c.o.Self.Name, list)
	return c.sharers
}

// reportedDemands returns the last demand reports of all instances except those
// that are down or have left.
func reportedDemands(members []gossip.Member) []capacity.InstanceReport {
	var list []capacity.InstanceReport
	for _, m := range members {
		if m.Status != gossip.Down && m.Status != gossip.Left {
			list = append(list, capacity.InstanceReport{
				Name:        m.Name,
				Incarnation: m.Incarnation,
				Report:      decodeDemand(m.State),
				Unconfirmed: m.Status != gossip.Alive,
			})
		}
	}
	return list
}

// byLoad returns the services by decreasing amount of work.
func byLoad(loads map[capacity.ServiceID]capacity.Load) []capacity.ServiceID {
	ids := make([]capacity.ServiceID, 0, len(loads))
	for id := range loads {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b capacity.ServiceID) int {
		x, y := loads[a], loads[b]
		return cmp.Or(cmp.Compare(y.Interactive+y.Rollout, x.Interactive+x.Rollout), cmp.Compare(a, b))
	})
	return ids
}

// setDemand copies the demand report into s, without the services that have no
// work. The caller must hold mu.
func (c *Controller) setDemand(s *gossipv1.InstanceState) {
	s.DemandSeq, s.DemandCut, s.Demand = 0, false, nil
	if c.demand == nil {
		return
	}
	s.DemandSeq = c.demand.Seq
	s.DemandCut = c.demand.Truncated
	for _, id := range byLoad(c.demand.Loads) {
		if l := c.demand.Loads[id]; l != (capacity.Load{}) {
			s.Demand = append(s.Demand, &gossipv1.Demand{
				Service: uint32(id), Interactive: uint64(l.Interactive), Rollout: uint64(l.Rollout),
			})
		}
	}
}

// DemandReports returns the last demand report of every instance that may have
// callers: those believed to be alive, and those that the platform still lists.
func (c *Controller) DemandReports() []capacity.InstanceReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []capacity.InstanceReport
	for _, m := range c.node.Members() {
		terminated := m.Status == gossip.Left || (m.Status == gossip.Down && !m.Listed)
		if !terminated {
			list = append(list, capacity.InstanceReport{Name: m.Name, Incarnation: m.Incarnation, Report: decodeDemand(m.State)})
		}
	}
	return list
}

// decodeDemand returns the demand report in an encoded InstanceState, or nil if
// there is none.
func decodeDemand(state []byte) *capacity.Report {
	var s gossipv1.InstanceState
	if proto.Unmarshal(state, &s) != nil || s.DemandSeq == 0 {
		return nil
	}
	r := &capacity.Report{Seq: s.DemandSeq, Truncated: s.DemandCut, Loads: map[capacity.ServiceID]capacity.Load{}}
	for _, d := range s.Demand[:min(len(s.Demand), capacity.MaxServices)] {
		r.Loads[capacity.ServiceID(d.Service)] = capacity.Load{Interactive: int(d.Interactive), Rollout: int(d.Rollout)}
	}
	return r
}
