package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
	"google.golang.org/protobuf/proto"
)

// loadPeriod is the minimum time between two changes of the load that this
// instance reports, in a system of up to loadPeriodInstances instances. In a
// larger system the time grows with the number of instances, since each change is
// sent to all of them.
const (
	loadPeriod          = time.Second
	loadPeriodInstances = 8
)

// setState updates this instance's state in its gossip record. Its load (the
// requests in flight and the demand) changes at most once per loadPeriod, as a
// minor change, which need not reach all instances soon. All other changes, and
// the demand when rollout work has started, are disseminated immediately. The
// caller must hold mu.
func (c *Controller) setState() {
	now := c.o.Clock.Now()
	s := c.ownState()
	inFlight := s.InFlight
	s.InFlight = c.reportedLoad
	if c.rolloutStarted(now) {
		c.refreshDemand()
		c.node.TriggerExchanges()
	}
	c.setDemand(s)
	c.node.SetState(c.encode(s))
	if now < c.loadReportDue {
		return
	}
	periods := max(1, len(c.o.Views.Load().Members)/loadPeriodInstances)
	c.loadReportDue = now + loadPeriod*time.Duration(periods)
	c.reportedLoad = inFlight
	s.InFlight = inFlight
	c.refreshDemand()
	c.setDemand(s)
	c.node.SetStateMinor(c.encode(s))
}

// ownState returns the state that this instance reports about itself, without
// its demand.
func (c *Controller) ownState() *gossipv1.InstanceState {
	s := &gossipv1.InstanceState{
		DataCentre:    c.o.Self.DataCentre,
		CallerAddr:    c.o.Self.CallerAddr,
		ConfigVersion: c.o.Views.Load().Config.Version,
	}
	if c.o.Load != nil {
		n, leaving := c.o.Load()
		s.InFlight = uint64(max(n, 0))
		s.Leaving = leaving
	}
	return s
}

func (c *Controller) encode(s *gossipv1.InstanceState) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		c.o.Log.Error("failed to encode own instance state", "error", err)
	}
	return data
}

// publish updates the View with the instances that are neither down nor left,
// and with the number of those that have rollout work. It does nothing if no
// instance changed and the next count is not due.
func (c *Controller) publish() {
	c.publishing.Lock()
	defer c.publishing.Unlock()
	c.mu.Lock()
	if c.published == c.node.Changes()+1 && c.o.Clock.Now() < c.sharersDue {
		c.mu.Unlock()
		return
	}
	c.published = c.node.Changes() + 1
	members := make(map[string]view.Member)
	all := c.node.Members()
	for _, m := range all {
		if m.Status != gossip.Down && m.Status != gossip.Left {
			members[m.Name] = c.member(m)
		}
	}
	sharers := c.countSharers(all)
	c.mu.Unlock()
	if v := c.o.Views.Load(); sharers == v.RolloutInstances && maps.Equal(members, v.Members) {
		return
	}
	neighbours := gossip.Neighbours(c.o.Self.Name, ring(members))
	c.mu.Lock()
	c.node.SetNeighbours(neighbours)
	c.mu.Unlock()
	c.o.Views.Update(func(v *view.View) {
		v.Members = members
		v.RolloutInstances = sharers
	})
	c.o.Scope.Gauge("members").Update(float64(len(members)))
}

// ring returns the names of the instances, ordered by data centre and then by
// name.
func ring(members map[string]view.Member) []string {
	list := slices.Collect(maps.Values(members))
	slices.SortFunc(list, func(a, b view.Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, len(list))
	for _, m := range list {
		names = append(names, m.Name)
	}
	return names
}

// member returns the View's entry for an instance in the gossip. Until a record of
// the instance is received, its fields are taken from the platform's list. The
// caller must hold mu.
func (c *Controller) member(m gossip.Member) view.Member {
	l, listed := c.listed[m.Name]
	out := view.Member{Name: m.Name, Incarnation: m.Incarnation, PeerAddr: m.Addr}
	var s gossipv1.InstanceState
	if m.Status == gossip.Listed || proto.Unmarshal(m.State, &s) != nil {
		out.DataCentre = l.DataCentre
		out.CallerAddr = l.CallerAddr
	} else {
		out.DataCentre = s.DataCentre
		out.CallerAddr = s.CallerAddr
		out.InFlight = int(s.InFlight)
		out.ConfigVersion = s.ConfigVersion
		out.Leaving = s.Leaving
	}
	if listed && l.State == infra.InstanceLeaving {
		out.Leaving = true
	}
	return out
}
