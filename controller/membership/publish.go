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

// loadPeriod is the least time between two changes of the load that this
// instance tells, for up to loadShare instances; it grows with their number,
// since each change goes to all.
const (
	loadPeriod = time.Second
	loadShare  = 8
)

// setState needs mu. It tells others what this instance is: at once if it
// matters, and now and then how loaded it is.
func (c *Controller) setState() {
	now := c.o.Clock.Now()
	s := c.ownState()
	inFlight := s.InFlight
	s.InFlight = c.told
	if c.beginsRollout(now) {
		c.tellDemand()
		c.node.Urge()
	}
	c.putDemand(s)
	c.node.SetState(c.encode(s))
	if now < c.loadDue {
		return
	}
	share := max(1, len(c.o.Views.Load().Members)/loadShare)
	c.loadDue = now + loadPeriod*time.Duration(share)
	c.told = inFlight
	s.InFlight = inFlight
	c.tellDemand()
	c.putDemand(s)
	c.node.SetMinor(c.encode(s))
}

// ownState is what this instance says of itself.
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
		c.o.Log.Error("own state not encoded", "error", err)
	}
	return data
}

// publish puts the instances that are not down or gone into the View, and how
// many of them have rollout work, if an instance changed or it is time to count.
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
	known := c.node.Members()
	for _, m := range known {
		if m.Status != gossip.Down && m.Status != gossip.Left {
			members[m.Name] = c.member(m)
		}
	}
	sharers := c.countSharers(known)
	c.mu.Unlock()
	if v := c.o.Views.Load(); sharers == v.RolloutInstances && maps.Equal(members, v.Members) {
		return
	}
	near := gossip.Neighbours(c.o.Self.Name, ring(members))
	c.mu.Lock()
	c.node.SetNeighbours(near)
	c.mu.Unlock()
	c.o.Views.Update(func(v *view.View) {
		v.Members = members
		v.RolloutInstances = sharers
	})
	c.o.Scope.Gauge("members").Update(float64(len(members)))
}

// ring orders instances by data centre, then by name.
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

// member needs mu. Until an instance is heard of, the platform's list says what
// is known of it.
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
