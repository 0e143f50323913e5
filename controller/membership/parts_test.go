package membership

import (
	"flag"
	"fmt"

	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
	"google.golang.org/protobuf/proto"
)

var encrypted = flag.Bool("encrypted", false, "count the bytes that TLS adds")

// overhead is what HTTP/2 and TLS add, in bytes, as measured by
// TestMeasureConnection.
type overhead struct {
	header int // per message
	open   int // for the first exchange of a connection
}

func benchOverhead() overhead {
	if *encrypted {
		return overhead{header: 76, open: 4240}
	}
	return overhead{header: 32, open: 310}
}

// connect counts a new connection from i to j unless an open one can be reused.
func (b *bench) connect(i, j int) {
	d := b.nodes[i]
	if at, ok := d.lastExchange[j]; !ok || b.now-at > idleTimeout {
		d.parts.dials++
		d.parts.header += benchOverhead().open
	}
	d.lastExchange[j] = b.now
}

// benchRing returns the ring of n instances.
func benchRing(n int) []string {
	members := map[string]view.Member{}
	for i := range n {
		name := fmt.Sprintf("instance-%03d", i)
		members[name] = view.Member{Name: name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres(n))}
	}
	return ring(members)
}

// seqs returns the sequence number of each instance's own record.
func (b *bench) seqs() map[string]uint64 {
	out := map[string]uint64{}
	for _, d := range b.nodes {
		out[d.node.Self().Name] = d.node.Self().Seq
	}
	return out
}

// currentShare returns the share of stored records whose sequence number is not
// below the one in seqs.
func (b *bench) currentShare(seqs map[string]uint64) float64 {
	current, all := 0, 0
	for _, d := range b.nodes {
		for _, m := range d.node.Members() {
			all++
			if m.Seq >= seqs[m.Name] {
				current++
			}
		}
	}
	return float64(current) / float64(all)
}

// benchParts counts the bytes of messages by their purpose.
type benchParts struct {
	ticks, fresh                                                                                                                              int // ticks, and the ticks at which the configuration was fresh
	msgs, dials, loads, loadRequests, loadResponses, names, records, vectors, suspicions, broadcasts, freshness, withdrawals, running, header int
}

// add counts a message of size bytes. Bytes that belong to no other part count
// as names.
func (p *benchParts) add(e *gossipv1.Envelope, size int) {
	g := e.GetGossip()
	before := p.total()
	p.msgs++
	p.records += proto.Size(&gossipv1.Gossip{Records: g.GetRecords()})
	p.vectors += proto.Size(&gossipv1.Gossip{Vector: g.GetVector()})
	p.suspicions += proto.Size(&gossipv1.Gossip{Suspicions: g.GetSuspicions()})
	p.broadcasts += proto.Size(&gossipv1.Gossip{Rumours: g.GetRumours()})
	p.freshness += proto.Size(e.GetFreshness())
	p.withdrawals += proto.Size(&gossipv1.Envelope{Withdrawals: e.GetWithdrawals()})
	p.running += proto.Size(&gossipv1.Envelope{Running: e.GetRunning()})
	p.loads += proto.Size(&gossipv1.Envelope{Loads: e.GetLoads()})
	p.names += size - (p.total() - before)
	p.header += benchOverhead().header
}

func (p *benchParts) sum(o benchParts) {
	p.ticks += o.ticks
	p.fresh += o.fresh
	p.msgs += o.msgs
	p.dials += o.dials
	p.loads += o.loads
	p.loadRequests += o.loadRequests
	p.loadResponses += o.loadResponses
	p.names += o.names
	p.records += o.records
	p.vectors += o.vectors
	p.suspicions += o.suspicions
	p.broadcasts += o.broadcasts
	p.freshness += o.freshness
	p.withdrawals += o.withdrawals
	p.running += o.running
	p.header += o.header
}

func (p benchParts) total() int {
	return p.names + p.records + p.vectors + p.suspicions + p.broadcasts + p.freshness + p.withdrawals + p.running + p.header + p.loads + p.loadRequests
}

// rates formats the parts in bytes per second.
func (p benchParts) rates(seconds float64) string {
	rate := func(n int) float64 { return float64(n) / seconds }
	return fmt.Sprintf("connections opened %.2f/s; parts sent in B/s: records %.0f vectors %.0f freshness %.0f running %.0f names %.0f suspicions %.0f broadcasts %.0f withdrawals %.0f HTTP %.0f loads %.0f load requests %.0f; received the same, except %.0f from engines",
		rate(p.dials), rate(p.records), rate(p.vectors), rate(p.freshness), rate(p.running), rate(p.names),
		rate(p.suspicions), rate(p.broadcasts), rate(p.withdrawals), rate(p.header), rate(p.loads), rate(p.loadRequests), rate(p.loadResponses))
}
