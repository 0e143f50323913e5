package gossip

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/modeltest"
)

const modelNodes = 5

type injectedFault string

const (
	noFault           injectedFault = ""
	noRefutation      injectedFault = "suspicions are not refuted"
	reusedIncarnation injectedFault = "a replaced instance has its predecessor's incarnation"
)

// network connects Nodes by links that lose, delay, repeat and reorder messages.
type network struct {
	fault    injectedFault
	pick     func(int) int
	now      time.Duration
	nodes    []*Node // nil while the instance is stopped
	starts   uint64
	newest   []Entry // newest version of each node's own record
	group    []int   // nodes with the same number reach each other
	packets  []packet
	observed []observation // by node
}

// observation is the last observed result of a Node's Changes and Members.
type observation struct {
	node    *Node
	changes uint64
	members []Member
}

type packet struct {
	from, to  int
	isReply   bool
	msg       Message
	requester Entry // version of the requester's record, whose incarnation the reply is for
}

func newNetwork(pick func(int) int, fault injectedFault) *network {
	net := &network{fault: fault, pick: pick, group: make([]int, modelNodes)}
	net.nodes = make([]*Node, modelNodes)
	net.newest = make([]Entry, modelNodes)
	net.observed = make([]observation, modelNodes)
	for i := range net.nodes {
		net.start(i)
	}
	return net
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func (net *network) start(i int) {
	net.starts++
	incarnation := net.starts
	if net.fault == reusedIncarnation {
		incarnation = 1
	}
	self := Record{Name: nodeName(i), Incarnation: incarnation, Addr: fmt.Sprintf("addr%d", net.starts)}
	net.nodes[i] = NewNode(self, Options{}, rand.New(rand.NewPCG(net.starts, 1)))
	net.seed(i)
}

func (net *network) seed(i int) {
	var seeds []Seed
	for j, n := range net.nodes {
		if n != nil {
			seeds = append(seeds, Seed{Name: nodeName(j), Addr: n.Self().Addr})
		}
	}
	net.nodes[i].Seed(net.now, seeds)
}

func index(name string) int { return int(name[1] - '0') }

func (net *network) send(i int, p Peer) {
	msg := net.nodes[i].Request(p.Name)
	net.packets = append(net.packets, packet{from: i, to: index(p.Name), msg: msg, requester: net.nodes[i].Self().Entry()})
}

// deliver passes one message to its receiver. If the receiver of a request is
// not reachable, the exchange fails at the sender.
func (net *network) deliver(p packet) {
	dst := net.nodes[p.to]
	if p.isReply {
		if dst != nil && dst.Self().Incarnation == p.requester.Incarnation {
			dst.HandleReply(net.now, p.msg)
		}
		return
	}
	if dst == nil || net.group[p.from] != net.group[p.to] {
		net.fail(p)
		return
	}
	if net.fault == noRefutation {
		p.msg.Suspicions = slices.DeleteFunc(slices.Clone(p.msg.Suspicions), func(e Entry) bool { return e.Name == nodeName(p.to) })
	}
	reply := dst.HandleRequest(net.now, p.msg)
	if net.fault == noRefutation {
		reply.Suspicions = slices.DeleteFunc(reply.Suspicions, func(e Entry) bool { return e.Name == nodeName(p.from) })
	}
	net.packets = append(net.packets, packet{from: p.to, to: p.from, isReply: true, msg: reply, requester: p.requester})
}

func (net *network) fail(p packet) {
	if n := net.nodes[p.from]; n != nil && !p.isReply {
		n.ExchangeFailed(net.now, nodeName(p.to))
	}
}

func (net *network) takePacket() (packet, bool) {
	if len(net.packets) == 0 {
		return packet{}, false
	}
	at := net.pick(len(net.packets))
	p := net.packets[at]
	net.packets = slices.Delete(net.packets, at, at+1)
	return p, true
}

func (net *network) tick() {
	net.now += time.Duration(net.pick(300)) * time.Millisecond
	for i, n := range net.nodes {
		if n == nil {
			continue
		}
		n.SetNeighbours(Neighbours(nodeName(i), n.upNames()))
		for _, p := range n.Tick(net.now) {
			net.send(i, p)
		}
	}
}

// upNames returns the ring in this instance's view.
func (n *Node) upNames() []string {
	var ring []string
	for _, m := range n.Members() {
		if m.Status != Down && m.Status != Left {
			ring = append(ring, m.Name)
		}
	}
	return ring
}

// step runs one random event.
func (net *network) step() {
	i := net.pick(modelNodes)
	switch k := net.pick(20); {
	case k < 7:
		net.tick()
	case k < 14:
		if p, ok := net.takePacket(); ok {
			net.deliver(p)
		}
	case k == 14: // lost
		if p, ok := net.takePacket(); ok {
			net.fail(p)
		}
	case k == 15: // repeated
		if p, ok := net.takePacket(); ok {
			net.deliver(p)
			net.deliver(p)
		}
	case k == 16 && net.nodes[i] != nil:
		net.nodes[i].SetState([]byte{byte(net.pick(256))})
	case k == 17 && net.pick(4) == 0:
		net.nodes[i] = nil
	case k == 18 && net.nodes[i] == nil:
		net.start(i)
	case k == 19 && net.pick(4) == 0:
		for j := range net.group {
			net.group[j] = net.pick(2)
		}
	}
}

// check verifies that no Node has a record that its owner has not written yet.
func (net *network) check() error {
	for i, n := range net.nodes {
		if n != nil && net.newest[i].Before(n.Self().Entry()) {
			net.newest[i] = n.Self().Entry()
		}
	}
	for _, n := range net.nodes {
		if n == nil {
			continue
		}
		for _, m := range n.Members() {
			if net.newest[index(m.Name)].Before(m.Entry()) {
				return fmt.Errorf("%s has %+v, but the owner's newest version is %+v", n.Self().Name, m.Entry(), net.newest[index(m.Name)])
			}
		}
	}
	return nil
}

// checkChanges verifies that the result of Members changes only together with
// that of Changes.
func (net *network) checkChanges() error {
	for i, n := range net.nodes {
		if n == nil {
			continue
		}
		last := net.observed[i]
		now := observation{n, n.Changes(), n.Members()}
		if last.node == n && last.changes == now.changes && !reflect.DeepEqual(last.members, now.members) {
			return fmt.Errorf("%s returns members %+v, previously %+v, but Changes is still %d", n.Self().Name, now.members, last.members, now.changes)
		}
		net.observed[i] = now
	}
	return nil
}

// settle ends all faults and runs the network for 30 s.
func (net *network) settle() {
	clear(net.group)
	for end := net.now + 30*time.Second; net.now < end; {
		net.tick()
		for i, n := range net.nodes {
			if n != nil {
				net.seed(i)
			}
		}
		for len(net.packets) > 0 {
			p := net.packets[0]
			net.packets = net.packets[1:]
			net.deliver(p)
		}
	}
}

// converged verifies that every running Node considers exactly the running Nodes
// alive, and has their newest state and address.
func (net *network) converged() error {
	for _, n := range net.nodes {
		if n == nil {
			continue
		}
		alive := map[string]Member{}
		for _, m := range n.Members() {
			if m.Status == Alive {
				alive[m.Name] = m
			}
		}
		for j, o := range net.nodes {
			m, ok := alive[nodeName(j)]
			if ok != (o != nil) {
				return fmt.Errorf("%s considers n%d alive: %v, actual: %v", n.Self().Name, j, ok, o != nil)
			}
			if ok && !slices.Equal(m.State, o.Self().State) {
				return fmt.Errorf("%s has an old state of n%d", n.Self().Name, j)
			}
			if ok && m.Addr != o.Self().Addr {
				return fmt.Errorf("%s has an old address of n%d", n.Self().Name, j)
			}
		}
	}
	return nil
}

func failOnError(err error) {
	if err != nil {
		modeltest.Failf("%v", err)
	}
}

var model = modeltest.Model[injectedFault, *network]{
	New: func(f injectedFault, d modeltest.Draw) *network {
		return newNetwork(func(n int) int { return d(n, "pick") }, f)
	},
	Step: func(net *network, _ modeltest.Draw) {
		net.step()
		failOnError(net.check())
		failOnError(net.checkChanges())
	},
	Settle: func(net *network) {
		net.settle()
		failOnError(net.converged())
	},
}

func TestModel(t *testing.T) { model.CheckUpTo(t, 300) }

func TestModelFixedSeeds(t *testing.T) { model.CheckSeeds(t, 100, 400, func(*network) {}) }

func TestOracleCanFail(t *testing.T) {
	model.CheckDetectsFaults(t, []injectedFault{noRefutation, reusedIncarnation}, 300, 400)
}

func TestBroadcastReachesAllOnce(t *testing.T) {
	net := newNetwork(rand.New(rand.NewPCG(7, 0)).IntN, noFault)
	net.settle()
	net.nodes[0].Broadcast(net.now, Broadcast{ID: "r1", Kind: "reclaim", Body: []byte("x")})
	net.settle()
	for i, n := range net.nodes[1:] {
		if received := n.TakeBroadcasts(); len(received) != 1 || received[0].ID != "r1" {
			t.Errorf("n%d received broadcasts %v, want r1 once", i+1, received)
		}
	}
}
