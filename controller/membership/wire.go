package membership

import (
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

func toProto(m gossip.Message) *gossipv1.Gossip {
	g := &gossipv1.Gossip{
		Vector:     entriesToProto(m.Vector),
		Suspicions: entriesToProto(m.Suspicions),
		Digest:     m.Digest,
	}
	for _, r := range m.Records {
		g.Records = append(g.Records, &gossipv1.Record{
			Name: r.Name, Incarnation: r.Incarnation, Seq: r.Seq, Addr: r.Addr, Left: r.Left, State: r.State, Minor: r.Minor,
		})
	}
	for _, r := range m.Broadcasts {
		g.Rumours = append(g.Rumours, &gossipv1.Rumour{Id: r.ID, Kind: r.Kind, Body: r.Body})
	}
	return g
}

func fromProto(from string, g *gossipv1.Gossip) gossip.Message {
	m := gossip.Message{
		From:       from,
		Vector:     entriesFromProto(g.GetVector()),
		Suspicions: entriesFromProto(g.GetSuspicions()),
		Digest:     g.GetDigest(),
	}
	for _, r := range g.GetRecords() {
		m.Records = append(m.Records, gossip.Record{
			Name: r.Name, Incarnation: r.Incarnation, Seq: r.Seq, Addr: r.Addr, Left: r.Left, State: r.State, Minor: r.Minor,
		})
	}
	for _, r := range g.GetRumours() {
		m.Broadcasts = append(m.Broadcasts, gossip.Broadcast{ID: r.Id, Kind: r.Kind, Body: r.Body})
	}
	return m
}

func entriesToProto(list []gossip.Entry) []*gossipv1.Entry {
	out := make([]*gossipv1.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, &gossipv1.Entry{Name: e.Name, Incarnation: e.Incarnation, Seq: e.Seq})
	}
	return out
}

func entriesFromProto(list []*gossipv1.Entry) []gossip.Entry {
	out := make([]gossip.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, gossip.Entry{Name: e.Name, Incarnation: e.Incarnation, Seq: e.Seq})
	}
	return out
}
