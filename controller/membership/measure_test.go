package membership

import (
	"container/heap"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cumincove/cumincove/controller/endpoints"
	"github.com/cumincove/cumincove/controller/load"
	"github.com/cumincove/cumincove/freshness"
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
	"google.golang.org/protobuf/proto"
)

// The measurement runs the state machines of many instances under fake time and
// counts the bytes of the encoded messages:
//
//	go test ./controller/membership -run Measure -v -sizes 8,16,65,130,260,520
var (
	sizes  = flag.String("sizes", "8", "numbers of instances to measure")
	bound  = flag.Duration("freshness", 2*time.Second, "freshness bound")
	period = flag.Duration("period", gossip.DefaultPeriod, "period of exchanges")
	events = flag.Int("events", 8, "changes and withdrawals for each size")
)

const (
	benchOneWay      = 1500 * time.Microsecond // latency of a message
	benchWarm        = 20 * time.Second        // before the measurement
	benchSteady      = 10 * time.Second        // during which bytes are counted
	benchGap         = 6 * time.Second         // for a change or withdrawal to reach all instances
	benchMembers     = 15                      // of the member list, at most
	benchDataCentres = 10                      // at most
)

type benchEvent struct {
	at  time.Duration
	run func()
}

type benchQueue []benchEvent

func (q benchQueue) Len() int           { return len(q) }
func (q benchQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q benchQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *benchQueue) Push(x any)        { *q = append(*q, x.(benchEvent)) }
func (q *benchQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type benchNode struct {
	node         *gossip.Node
	reader       *freshness.Reader
	tracker      *freshness.Tracker
	confirmed    map[string]uint64     // highest version confirmed by each member
	withdrawals  map[int]bool          // by ID, until they are committed
	receivedAt   map[int]time.Duration // when each withdrawal was received
	installedAt  map[uint64]time.Duration
	load         uint64
	loadDue      time.Duration
	parts        benchParts
	watches      []endpoints.Watch // by data centre
	views        *view.Store
	loads        *load.Controller
	lastExchange map[int]time.Duration // when the last exchange with each peer was started
}

type bench struct {
	now         time.Duration
	queue       benchQueue
	nodes       []*benchNode
	names       map[string]int
	members     []string
	rnd         *rand.Rand
	version     uint64
	quorum      map[int]*freshness.Quorum // by withdrawal
	origin      map[int]int               // by withdrawal, the instance that received the request
	partitioned func(i, j int) bool       // nil if all instances can reach each other
}

func newBench(n int) *bench {
	b := &bench{
		names: map[string]int{}, rnd: rand.New(rand.NewPCG(uint64(n), 1)), version: 1,
		quorum: map[int]*freshness.Quorum{}, origin: map[int]int{},
	}
	var seeds []gossip.Seed
	for i := range n {
		name := fmt.Sprintf("instance-%03d", i)
		b.names[name] = i
		seeds = append(seeds, gossip.Seed{Name: name, Addr: "10.0.0.1:7000"})
		if i < benchMembers {
			b.members = append(b.members, name)
		}
	}
	for i, s := range seeds {
		d := &benchNode{
			node:         gossip.NewNode(gossip.Record{Name: s.Name, Incarnation: uint64(i) + 1<<60, Addr: s.Addr}, gossip.Options{Period: *period}, rand.New(rand.NewPCG(uint64(i), 2))),
			reader:       freshness.NewReader(s.Name, *bound),
			tracker:      freshness.NewTracker(*bound),
			lastExchange: map[int]time.Duration{},
			watches:      make([]endpoints.Watch, dataCentres(n)),
			confirmed:    map[string]uint64{}, withdrawals: map[int]bool{}, receivedAt: map[int]time.Duration{}, installedAt: map[uint64]time.Duration{},
		}
		d.loadDue = time.Duration(b.rnd.Int64N(int64(loadEvery(n))))
		d.node.Seed(0, slices.DeleteFunc(slices.Clone(seeds), func(o gossip.Seed) bool { return o.Name == s.Name }))
		b.nodes = append(b.nodes, d)
		if i < benchMembers {
			d.node.Prefer(b.members)
		}
		d.node.SetNeighbours(gossip.Neighbours(s.Name, benchRing(n)))
		b.install(i, 1)
		d.reader.HandleStoreRead(0, 1)
		b.at(time.Duration(b.rnd.Int64N(int64(tickPeriod))), func() { b.tick(i) })
	}
	b.addLoads(n)
	return b
}

func (b *bench) name(i int) string { return b.nodes[i].node.Self().Name }

func (b *bench) at(d time.Duration, f func()) { heap.Push(&b.queue, benchEvent{b.now + d, f}) }

func (b *bench) run(d time.Duration) {
	end := b.now + d
	for b.queue[0].at <= end {
		e := heap.Pop(&b.queue).(benchEvent)
		b.now = e.at
		e.run()
	}
	b.now = end
}

func (b *bench) install(i int, v uint64) {
	d := b.nodes[i]
	if v <= d.reader.Version() {
		return
	}
	_ = d.reader.Install(v, b.members)
	d.tracker.Install(v, b.members)
	d.installedAt[v] = b.now
	b.setState(i, d.node.SetState)
}

func (b *bench) setState(i int, set func([]byte)) {
	d := b.nodes[i]
	state, _ := proto.Marshal(&gossipv1.InstanceState{DataCentre: fmt.Sprintf("dc-%d", i%dataCentres(len(b.nodes))), CallerAddr: "10.0.0.1:8080", ConfigVersion: d.reader.Version(), InFlight: d.load})
	set(state)
}

func (b *bench) tick(i int) {
	d := b.nodes[i]
	if d.reader.Vouches() {
		d.tracker.Confirm(d.node.Self().Name, d.reader.Version())
	}
	d.tracker.Tick(b.now)
	if b.now >= d.loadDue { // the number of requests in flight changes constantly
		d.loadDue = b.now + loadEvery(len(b.nodes))
		d.load = b.rnd.Uint64N(1000)
		b.setState(i, d.node.SetStateMinor)
	}
	d.parts.ticks++
	if d.reader.Fresh(b.now) {
		d.parts.fresh++
	}
	b.observe(i)
	b.startExchanges(i)
	b.at(tickPeriod, func() { b.tick(i) })
}

func loadEvery(n int) time.Duration { return loadPeriod * time.Duration(max(1, n/loadPeriodInstances)) }

func (b *bench) startExchanges(i int) {
	for _, p := range b.nodes[i].node.Tick(b.now) {
		b.exchange(i, b.names[p.Name])
	}
}

func (b *bench) envelope(i int, peer string, m gossip.Message, request *gossipv1.Envelope) *gossipv1.Envelope {
	d := b.nodes[i]
	e := &gossipv1.Envelope{Name: m.From, Incarnation: d.node.Self().Incarnation, Gossip: toProto(m)}
	for id := range d.withdrawals {
		digest := make([]byte, 32)
		digest[0] = byte(id)
		e.Withdrawals = append(e.Withdrawals, &gossipv1.Withdrawal{Name: "key", Who: "operator", Digest: digest})
	}
	e.Freshness = b.freshness(d, request != nil)
	b.fillRunning(i, e, request)
	d.loads.Fill(e, peer, request)
	return e
}

// freshness returns the version and, for responses, the freshness reports.
func (b *bench) freshness(d *benchNode, response bool) *gossipv1.Freshness {
	fr := &gossipv1.Freshness{Version: d.reader.Version(), Vouches: d.reader.Vouches(), List: freshness.ListDigest(b.members)}
	if !response {
		return fr
	}
	fr.Ages = freshness.Pack(b.members, d.reader.Reports(b.now))
	behind := make([]uint64, len(b.members))
	for i, m := range b.members {
		if m != d.node.Self().Name {
			behind[i] = fr.Version - min(fr.Version, d.confirmed[m])
		}
	}
	if slices.Max(behind) > 0 {
		fr.Behind = behind
	}
	return fr
}

// send encodes, counts and decodes a message.
func (b *bench) send(i int, e *gossipv1.Envelope) *gossipv1.Envelope {
	data, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	b.nodes[i].parts.add(e, len(data))
	out := &gossipv1.Envelope{}
	if err := proto.Unmarshal(data, out); err != nil {
		panic(err)
	}
	return out
}

func (b *bench) exchange(i, j int) {
	if b.partitioned != nil && b.partitioned(i, j) {
		return
	}
	b.connect(i, j)
	started := b.now
	req := b.send(i, b.envelope(i, b.name(j), b.nodes[i].node.Request(b.name(j)), nil))
	b.at(benchOneWay, func() {
		reply := b.nodes[j].node.HandleRequest(b.now, fromProto(req.Name, req.Gossip))
		b.nodes[j].loads.HandlePush(context.Background(), req)
		b.apply(j, req)
		wait := benchOneWay
		if req.Freshness.Version > b.nodes[j].reader.Version() {
			wait += 2 * benchOneWay // fetches the State first
			b.install(j, req.Freshness.Version)
			b.nodes[j].node.TriggerExchanges()
			b.startExchanges(j)
		}
		resp := b.send(j, b.envelope(j, req.Name, reply, req))
		b.at(wait, func() { b.absorb(i, started, resp) })
	})
}

func (b *bench) absorb(i int, started time.Duration, e *gossipv1.Envelope) {
	d := b.nodes[i]
	d.node.HandleReply(b.now, fromProto(e.Name, e.Gossip))
	d.loads.HandleResponse(context.Background(), started, e)
	b.apply(i, e)
	b.install(i, e.Freshness.Version)
	reports := freshness.Unpack(b.members, e.Freshness.Ages)
	d.reader.HandleReply(started, e.Name, e.Freshness.Version, reports)
	for id, q := range b.quorum {
		if b.origin[id] == i {
			q.Confirm(b.now, b.now, d.node.Self().Name, 1)
			if slices.ContainsFunc(e.Withdrawals, func(w *gossipv1.Withdrawal) bool { return w.Digest[0] == byte(id) }) {
				q.Confirm(b.now, started, e.Name, e.Incarnation)
			}
		}
	}
}

// apply handles the parts that requests and responses have in common.
func (b *bench) apply(i int, e *gossipv1.Envelope) {
	b.receiveRunning(i, e)
	d := b.nodes[i]
	b.confirm(d, e)
	for _, w := range e.Withdrawals {
		id := int(w.Digest[0])
		if !d.withdrawals[id] {
			d.withdrawals[id] = true
			d.receivedAt[id] = b.now
			d.node.TriggerExchanges()
			b.startExchanges(i)
		}
	}
}

func (b *bench) confirm(d *benchNode, e *gossipv1.Envelope) {
	f := e.Freshness
	confirm := func(member string, version uint64) {
		d.confirmed[member] = max(d.confirmed[member], version)
		d.tracker.Confirm(member, version)
	}
	if f.Vouches {
		confirm(e.Name, f.Version)
	}
	for i, n := range f.Ages {
		switch {
		case n == 0:
		case len(f.Behind) == 0:
			confirm(b.members[i], f.Version)
		default:
			confirm(b.members[i], f.Version-f.Behind[i])
		}
	}
}
