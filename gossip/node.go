package gossip

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Options configures a Node. The zero value of a field selects its default.
type Options struct {
	// Period is the time between two exchanges that a Node starts.
	Period time.Duration
	// SuspectTimeout is the time within which a suspect must refute a
	// suspicion.
	SuspectTimeout time.Duration
	// RecordRetention is how long a Node keeps the record of an instance that is
	// down or has left, and is no longer listed.
	RecordRetention time.Duration
	// BroadcastRetention is how long a Node keeps a broadcast.
	BroadcastRetention time.Duration
	// MaxRecords bounds the number of records in a message, and also the number of
	// suspicions and that of broadcasts.
	MaxRecords int
	// Fanout bounds the number of peers that a broadcast is sent to at once.
	Fanout int
}

// Defaults of Options.
const (
	DefaultPeriod             = 250 * time.Millisecond
	DefaultSuspectTimeout     = 2 * time.Second
	DefaultRecordRetention    = time.Minute
	DefaultBroadcastRetention = time.Minute
	DefaultMaxRecords         = 64
	DefaultFanout             = 16
)

const (
	// maxBroadcasts bounds the number of broadcasts that a Node keeps.
	maxBroadcasts = 1024
	// fullVectorRecords is the number of records up to which every request
	// carries the complete version vector. With n times as many records, one
	// request in n does.
	fullVectorRecords = 32
	// initialSends is how many times an instance sends its record after its
	// start, and minorOwnSends how many times it does after a minor change. Other
	// instances forward a minor change minorForwards times.
	initialSends  = 16
	minorOwnSends = 4
	minorForwards = 2
	// equalDigestFactor is the factor by which the interval between complete
	// vectors grows while all digests are equal.
	equalDigestFactor = 8
	// anyPeerInterval is the interval, in exchanges, at which a Node with
	// neighbours chooses among all peers.
	anyPeerInterval = 16
	// downRetryInterval is the interval, in exchanges, at which a Node tries an
	// instance that is down.
	downRetryInterval = 8
)

func (o Options) withDefaults() Options {
	o.Period = cmp.Or(o.Period, DefaultPeriod)
	o.SuspectTimeout = cmp.Or(o.SuspectTimeout, DefaultSuspectTimeout)
	o.RecordRetention = cmp.Or(o.RecordRetention, DefaultRecordRetention)
	o.BroadcastRetention = cmp.Or(o.BroadcastRetention, DefaultBroadcastRetention)
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	o.Fanout = cmp.Or(o.Fanout, DefaultFanout)
	return o
}

// member is a Node's state of an instance.
type member struct {
	rec         Record
	status      Status
	listed      bool
	statusSince time.Duration // time of the last change of status
	sendsLeft   int           // number of times that the record is still sent unrequested
	digestSum   uint64        // digest of the record
	digestEntry Entry         // version from which digestSum was computed
}

// Node is one instance's side of the gossip. It is not safe for concurrent
// use.
type Node struct {
	opt                 Options
	rnd                 *rand.Rand
	self                string
	members             map[string]*member
	changes             uint64        // increases with each change of a member
	unvisited           []string      // peers not visited yet in the rotation of all
	nextExchange        time.Duration // time of the next periodic exchange
	rounds              int           // number of periodic exchanges
	preferred           rotation
	neighbours          rotation
	requestsSinceVector int  // requests since the last one with the complete vector
	digestsDiffer       bool // whether a peer's digest has differed since that request

	broadcasts     map[string]receivedBroadcast
	received       []Broadcast // received, and not returned by TakeBroadcasts yet
	fanOutDue      bool        // whether the next Tick starts exchanges up to the fanout
	triggeredNames []string    // peers to start exchanges with at the next Tick
}

type receivedBroadcast struct {
	Broadcast
	at    time.Duration
	sends int
}

// NewNode returns the Node of an instance that has just started. The record's
// incarnation must be higher than at any previous start.
func NewNode(self Record, opt Options, rnd *rand.Rand) *Node {
	self.Seq = max(self.Seq, 1)
	n := &Node{
		opt:        opt.withDefaults(),
		rnd:        rnd,
		self:       self.Name,
		members:    make(map[string]*member),
		broadcasts: make(map[string]receivedBroadcast),
	}
	n.members[self.Name] = &member{rec: self, status: Alive, sendsLeft: initialSends}
	return n
}

// sendsPerChange returns how many times a changed record is sent unrequested. It
// grows with the number of instances, so that the record reaches nearly all of
// them.
func (n *Node) sendsPerChange() int { return bits.Len(uint(len(n.members))) }

// Changes returns a number that increases whenever the result of Members may
// have changed.
func (n *Node) Changes() uint64 { return n.changes }

// Self returns this instance's own record.
func (n *Node) Self() Record { return n.members[n.self].rec }

// SetState replaces this instance's state.
func (n *Node) SetState(state []byte) {
	m := n.members[n.self]
	if slices.Equal(m.rec.State, state) {
		return
	}
	m.rec.State = slices.Clone(state)
	n.advanceSeq()
}

// SetStateMinor is like SetState for a change that need not reach all instances
// soon.
func (n *Node) SetStateMinor(state []byte) {
	m := n.members[n.self]
	if slices.Equal(m.rec.State, state) {
		return
	}
	n.changes++
	m.rec.State = slices.Clone(state)
	m.rec.Seq++
	m.rec.Minor++
	m.sendsLeft = max(m.sendsLeft, minorOwnSends)
}

// Leave marks this instance as shut down in an orderly way.
func (n *Node) Leave() {
	n.members[n.self].rec.Left = true
	n.advanceSeq()
}

// advanceSeq increases the sequence number of this instance's record.
func (n *Node) advanceSeq() {
	n.changes++
	m := n.members[n.self]
	m.rec.Seq++
	m.rec.Minor = 0
	m.sendsLeft = n.sendsPerChange()
}

// Seed replaces the platform's list of instances.
func (n *Node) Seed(now time.Duration, seeds []Seed) {
	n.changes++
	for _, m := range n.members {
		m.listed = false
	}
	for _, s := range seeds {
		m, ok := n.members[s.Name]
		if !ok {
			m = &member{rec: Record{Name: s.Name, Addr: s.Addr}, statusSince: now}
			n.members[s.Name] = m
		}
		m.listed = true
		if m.status == Listed || m.status == Down {
			m.rec.Addr = s.Addr // the instance may have been replaced at another address
		}
	}
}

// Members returns all instances that the Node has learned of, including this
// one, sorted by name.
func (n *Node) Members() []Member {
	list := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		list = append(list, Member{Record: m.rec, Status: m.status, Listed: m.listed})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Tick handles the timeouts at now and returns the peers to start an exchange
// with.
func (n *Node) Tick(now time.Duration) []Peer {
	n.expire(now)
	urgent := n.peersByName(n.triggeredNames)
	n.triggeredNames = nil
	if n.fanOutDue {
		n.fanOutDue = false
		urgent = append(urgent, n.Peers(n.opt.Fanout)...)
	}
	if len(urgent) > 0 {
		return urgent
	}
	if now < n.nextExchange {
		return nil
	}
	n.nextExchange = now + n.jitter(n.opt.Period)
	if p, ok := n.nextPeer(); ok {
		return []Peer{p}
	}
	return nil
}

// jitter returns a duration between three and five quarters of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(n.rnd.Int64N(int64(d)/2+1))
}

func (n *Node) expire(now time.Duration) {
	for name, m := range n.members {
		switch {
		case m.status == Suspect && now-m.statusSince >= n.opt.SuspectTimeout:
			n.changes++
			m.status = Down
			m.statusSince = now
		case (m.status == Down || m.status == Left) && !m.listed && now-m.statusSince >= n.opt.RecordRetention:
			n.forget(name)
		case m.status == Listed && !m.listed:
			n.forget(name)
		}
	}
	for id, b := range n.broadcasts {
		if now-b.at >= n.opt.BroadcastRetention {
			delete(n.broadcasts, id)
		}
	}
}

func (n *Node) forget(name string) {
	n.changes++
	delete(n.members, name)
}

// Peers returns up to limit peers in random order, without those that are down
// or have left.
func (n *Node) Peers(limit int) []Peer {
	var list []Peer
	for _, name := range n.shuffled() {
		m := n.members[name]
		if m.status != Down && m.status != Left && len(list) < limit {
			list = append(list, Peer{Name: name, Addr: m.rec.Addr})
		}
	}
	return list
}

// peersByName returns the named peers, up to the fanout, without those that are
// down or have left.
func (n *Node) peersByName(names []string) []Peer {
	var list []Peer
	for _, name := range names {
		m, ok := n.members[name]
		if ok && name != n.self && m.status != Down && m.status != Left && len(list) < n.opt.Fanout {
			list = append(list, Peer{Name: name, Addr: m.rec.Addr})
		}
	}
	return list
}

func (n *Node) shuffled() []string {
	names := make([]string, 0, len(n.members))
	for name := range n.members {
		if name != n.self {
			names = append(names, name)
		}
	}
	n.shuffle(names)
	return names
}

// shuffle sorts names before it shuffles them, so that the order depends only on
// the random source.
func (n *Node) shuffle(names []string) {
	slices.Sort(names)
	n.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// Prefer makes every second periodic exchange go to one of these instances. It
// is meant for instances that depend most on each other's messages. An empty
// list prefers none.
func (n *Node) Prefer(names []string) { n.preferred.names = names }

// SetNeighbours makes most periodic exchanges go to these instances, which
// limits the number of connections; see Neighbours. If the list is empty,
// exchanges go to all peers.
func (n *Node) SetNeighbours(names []string) { n.neighbours.names = names }

// rotation visits instances in random order, each once before any again. An instance
// that does not respond thus takes no more turns than each of the others.
type rotation struct {
	names, unvisited []string
}

// next returns the next peer of a rotation. It returns false if there is none, or if
// that one is down or has left.
func (n *Node) next(r *rotation) (Peer, bool) {
	if len(r.unvisited) == 0 {
		r.unvisited = slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return name == n.self })
		n.shuffle(r.unvisited)
	}
	if len(r.unvisited) == 0 {
		return Peer{}, false
	}
	name := r.unvisited[0]
	r.unvisited = r.unvisited[1:]
	m, ok := n.members[name]
	if !ok || m.status == Down || m.status == Left {
		return Peer{}, false
	}
	return Peer{Name: name, Addr: m.rec.Addr}, true
}

// nextPeer returns the peer of the next periodic exchange: in turn a preferred one, a
// neighbour, or any, each of these lists in a rotation of its own. Every
// downRetryInterval exchanges any may be a peer that is down. Otherwise the two sides of
// a network partition would never exchange messages again after each considers the
// other down.
func (n *Node) nextPeer() (Peer, bool) {
	n.rounds++
	if n.rounds%2 != 0 {
		if p, ok := n.next(&n.preferred); ok {
			return p, true
		}
	}
	if n.rounds%anyPeerInterval != 0 {
		if p, ok := n.next(&n.neighbours); ok {
			return p, true
		}
	}
	tryDown := n.rounds%downRetryInterval == 0
	for range 2 {
		for len(n.unvisited) > 0 {
			name := n.unvisited[0]
			n.unvisited = n.unvisited[1:]
			m, ok := n.members[name]
			if !ok || m.status == Left || (m.status == Down && !tryDown) {
				continue
			}
			return Peer{Name: name, Addr: m.rec.Addr}, true
		}
		n.unvisited = n.shuffled()
	}
	return Peer{}, false
}
