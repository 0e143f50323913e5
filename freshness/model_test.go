package freshness

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The model simulates instances and one store with random events. Its oracle has
// the true time and every version that a Tracker has returned. The types under
// test have only their own clocks and messages.

const (
	modelBound     = 2 * time.Second
	modelInstances = 6
)

// injectedFault names a fault that the model injects into the rules.
type injectedFault string

const (
	noFault injectedFault = "none"
	// The fast paths declare that a version is in force, without the wait, once
	// all members have it: those of its own list, or also those of the list
	// before the last change.
	fastPathOwnList       injectedFault = "fast path that forgets a member just removed"
	fastPathBoth          injectedFault = "fast path over both lists"
	countPushedReports    injectedFault = "pushed words count"
	ageFromReply          injectedFault = "age counted from the answer"
	noWait                injectedFault = "bound not waited out"
	multiMemberChange     injectedFault = "list changed by several at once"
	vouchWithoutStoreRead injectedFault = "replaced instance vouches without a read"
	vouchWithoutMajority  injectedFault = "replaced instance vouches without meeting a majority"
	oneRound              injectedFault = "fact counted in one round"
	storeReadSuffices     injectedFault = "a store read makes fresh whatever the members hold"
)

type chooser func(n int) int

type version struct {
	members   []string
	changedAt uint64
	facts     map[int]bool
}

type instance struct {
	name        string
	incarnation uint64
	rate        time.Duration // parts per thousand
	reader      *Reader
	tracker     *Tracker
	facts       map[int]bool
	quorums     map[int]*Quorum
}

// message is an exchange between two instances, or a read of the store. It has
// the request and, if served is set, the reply.
type message struct {
	from, to    int // to is -1 for the store
	incarnation uint64
	started     time.Duration
	pushed      []Report
	pushedAt    uint64
	facts       map[int]bool

	served     bool
	version    uint64
	listDigest uint64 // of the replier's member list
	ages       []uint32
	vouches    bool
	replier    uint64 // incarnation of the replier
	replyFacts map[int]bool
}

type simulation struct {
	pick      chooser
	fault     injectedFault
	now       time.Duration
	instances []*instance
	group     []int // instances with the same number reach each other; the last entry is the store's
	storeUp   bool
	log       []version
	messages  []*message
	declared  uint64 // highest version that a Tracker returned as in force
	facts     int    // number of facts so far
	// acked has the time at which the Quorum of each fact was done.
	acked map[int]time.Duration
	// majorityHad contains the facts that a majority has had at the same time.
	majorityHad map[int]bool
}

func newSimulation(pick chooser, fault injectedFault) *simulation {
	s := &simulation{
		pick:        pick,
		fault:       fault,
		group:       make([]int, modelInstances+1),
		storeUp:     true,
		acked:       make(map[int]time.Duration),
		majorityHad: make(map[int]bool),
	}
	names := make([]string, modelInstances)
	for i := range names {
		names[i] = fmt.Sprintf("i%d", i)
	}
	s.log = []version{{}, {members: names[:3+pick(3)], changedAt: 1}}
	for _, name := range names {
		n := &instance{name: name, rate: time.Duration(pick(5) - 2)}
		s.start(n)
		s.instances = append(s.instances, n)
	}
	for i := range s.instances {
		s.exchange(i, -1)
	}
	for i := range s.instances {
		for j := range s.instances {
			s.exchange(i, j)
		}
	}
	return s
}

func (s *simulation) start(n *instance) {
	n.incarnation++
	n.reader = NewReader(n.name, modelBound)
	n.tracker = NewTracker(modelBound)
	n.facts = make(map[int]bool)
	n.quorums = make(map[int]*Quorum)
	if n.incarnation > 1 && s.fault == vouchWithoutStoreRead {
		n.reader.storeRead = true
		n.reader.storeReadAt = -time.Hour
	}
	if n.incarnation > 1 && s.fault == vouchWithoutMajority {
		for _, o := range s.instances {
			n.reader.contacted[o.name] = true
		}
	}
}

func (s *simulation) clock(n *instance) time.Duration { return s.now + s.now*n.rate/1000 }

func (s *simulation) install(n *instance, v uint64) {
	if v <= n.reader.Version() {
		return
	}
	_ = n.reader.Install(v, s.log[v].members)
	n.tracker.Install(v, s.log[v].members)
	for _, q := range n.quorums {
		q.Install(s.log[v].members)
	}
	maps.Copy(n.facts, s.log[v].facts)
}

func (s *simulation) reach(i, j int) bool {
	if j < 0 {
		return s.storeUp && s.group[i] == s.group[modelInstances]
	}
	return s.group[i] == s.group[j]
}

// exchange runs a complete exchange without a delay.
func (s *simulation) exchange(i, j int) {
	m := s.startExchange(i, j)
	s.serve(m)
	s.deliver(m)
}

func (s *simulation) startExchange(i, j int) *message {
	n := s.instances[i]
	at := s.clock(n)
	return &message{
		from: i, to: j, incarnation: n.incarnation, started: at,
		pushed: n.reader.Reports(at), pushedAt: n.reader.Version(), facts: maps.Clone(n.facts),
	}
}

func (s *simulation) serve(m *message) {
	if m.served || m.from == m.to || !s.reach(m.from, m.to) {
		return
	}
	m.served = true
	if m.to < 0 {
		m.version = uint64(len(s.log) - 1)
		return
	}
	n := s.instances[m.to]
	at := s.clock(n)
	maps.Copy(n.facts, m.facts)
	s.install(n, m.pushedAt)
	if s.fault == countPushedReports {
		n.reader.HandleReply(at, s.instances[m.from].name, m.pushedAt, m.pushed)
	}
	m.version = n.reader.Version()
	m.listDigest = ListDigest(n.reader.Members())
	m.ages = Pack(n.reader.Members(), n.reader.Reports(at))
	m.vouches = n.reader.Vouches()
	m.replier = n.incarnation
	m.replyFacts = maps.Clone(n.facts)
}

func (s *simulation) deliver(m *message) {
	n := s.instances[m.from]
	if !m.served || n.incarnation != m.incarnation {
		return
	}
	if s.pick(8) > 0 {
		s.install(n, m.version)
	}
	started := m.started
	if s.fault == ageFromReply {
		started = s.clock(n)
	}
	if m.to < 0 {
		n.reader.HandleStoreRead(started, m.version)
		return
	}
	maps.Copy(n.facts, m.replyFacts)
	peer := s.instances[m.to].name
	var reports []Report
	if members := n.reader.Members(); ListDigest(members) == m.listDigest {
		reports = Unpack(members, m.ages)
	}
	counts := n.reader.HandleReply(started, peer, m.version, reports)
	if m.vouches {
		n.tracker.Confirm(peer, m.version)
	}
	for f, q := range n.quorums {
		if counts && m.replyFacts[f] {
			q.Confirm(s.clock(n), m.started, peer, m.replier)
		}
	}
}

// commit adds a version if the instance reaches the store and has the newest
// version.
func (s *simulation) commit(i int, members []string, changed bool) {
	n := s.instances[i]
	if !s.reach(i, -1) || n.reader.Version() != uint64(len(s.log)-1) {
		return
	}
	next := version{members: members, changedAt: s.log[len(s.log)-1].changedAt, facts: maps.Clone(n.facts)}
	if changed {
		next.changedAt = uint64(len(s.log))
	}
	s.log = append(s.log, next)
	if s.pick(4) > 0 { // otherwise the store's reply is lost
		s.install(n, uint64(len(s.log)-1))
	}
}

func (s *simulation) changeList(i int) {
	n := s.instances[i]
	cur := s.log[n.reader.Version()]
	next := slices.Clone(cur.members)
	steps := 1
	if s.fault == multiMemberChange {
		steps = 3
	}
	for range steps {
		name := s.instances[s.pick(modelInstances)].name
		if at := slices.Index(next, name); at >= 0 {
			next = slices.Delete(next, at, at+1)
		} else {
			next = append(next, name)
		}
	}
	if len(next) == 0 || !n.reader.Fresh(s.clock(n)) {
		return
	}
	if s.fault != multiMemberChange && CheckListChange(cur.members, next, cur.changedAt, n.tracker.InForce()) != nil {
		return
	}
	s.commit(i, next, true)
}

// check ticks every Tracker and compares the results with the oracle.
func (s *simulation) check() error {
	for _, n := range s.instances {
		n.tracker.Tick(s.clock(n))
		s.declared = max(s.declared, n.tracker.InForce(), s.faultyDeclaration(n))
		if err := s.countFacts(n); err != nil {
			return err
		}
	}
	for _, n := range s.instances {
		at := s.clock(n)
		fresh := n.reader.Fresh(at)
		if s.fault == storeReadSuffices && n.reader.storeRead && at < n.reader.storeReadAt+modelBound {
			fresh = true
		}
		if fresh && n.reader.Version() < s.declared {
			return fmt.Errorf("%s is fresh with version %d at %v, but version %d is in force", n.name, n.reader.Version(), s.now, s.declared)
		}
		for f, since := range s.acked {
			late := s.now-since > modelBound+modelBound/driftDivisor
			if fresh && !n.facts[f] && late && !s.lost(f) {
				return fmt.Errorf("%s is fresh at %v without fact %d, which a quorum has had since %v", n.name, s.now, f, since)
			}
		}
	}
	return nil
}

// lost reports whether every instance that had a fact was replaced before one of
// them committed it to the store. No instance has the fact then. For this reason
// the response to the caller contains "not durable" until the fact is committed.
func (s *simulation) lost(f int) bool {
	for _, n := range s.instances {
		if n.facts[f] {
			return false
		}
	}
	for _, v := range s.log {
		if v.facts[f] {
			return false
		}
	}
	return true
}

func (s *simulation) countFacts(n *instance) error {
	for f, q := range n.quorums {
		s.majorityHad[f] = s.majorityHad[f] || s.holders(f, q.members) >= needed(q.members)
		q.Confirm(s.clock(n), s.clock(n), n.name, n.incarnation)
		done := q.Done() || s.fault == oneRound && q.majorityReached
		if _, ok := s.acked[f]; done && !ok {
			s.acked[f] = s.now
			if !s.majorityHad[f] {
				return fmt.Errorf("fact %d is acknowledged at %v, but no majority has had it at the same time", f, s.now)
			}
		}
	}
	return nil
}

func (s *simulation) holders(f int, members []string) int {
	count := 0
	for _, n := range s.instances {
		if n.facts[f] && slices.Contains(members, n.name) {
			count++
		}
	}
	return count
}

// faultyDeclaration returns the version that the injected faulty rule would
// declare to be in force.
func (s *simulation) faultyDeclaration(n *instance) uint64 {
	v := n.reader.Version()
	confirmedBy := func(members []string, need int) bool {
		count := 0
		for _, m := range members {
			if n.tracker.confirmed[m] >= v || m == n.name {
				count++
			}
		}
		return count >= need
	}
	members := s.log[v].members
	switch {
	case v == 0:
		return 0
	case s.fault == noWait && confirmedBy(members, majority(len(members))):
		return v
	case s.fault == fastPathOwnList && confirmedBy(members, len(members)):
		return v
	case s.fault == fastPathBoth:
		before := s.log[s.log[v].changedAt-1].members
		if confirmedBy(members, len(members)) && confirmedBy(before, len(before)) {
			return v
		}
	}
	return 0
}

type event struct {
	weight int
	run    func(s *simulation)
}

func (s *simulation) pickMessage() *message {
	if len(s.messages) == 0 {
		return nil
	}
	return s.messages[s.pick(len(s.messages))]
}

// weightedEvents lists the events of the simulation. The steps of an exchange
// or a read are also separate events, which simulates a pause between them.
var weightedEvents = []event{
	{12, func(s *simulation) { s.now += time.Duration(1+s.pick(400)) * time.Millisecond }},
	{1, func(s *simulation) { s.now += time.Duration(1+s.pick(5)) * modelBound / 2 }},
	{4, func(s *simulation) { s.exchange(s.pick(modelInstances), -1) }},
	{12, func(s *simulation) { s.exchange(s.pick(modelInstances), s.pick(modelInstances)) }},
	{6, func(s *simulation) {
		for i := range s.instances {
			s.exchange(i, s.pick(modelInstances))
		}
	}},
	{6, func(s *simulation) {
		if len(s.messages) < 12 {
			s.messages = append(s.messages, s.startExchange(s.pick(modelInstances), s.pick(modelInstances+1)-1))
		}
	}},
	{8, func(s *simulation) {
		if m := s.pickMessage(); m != nil {
			s.serve(m)
		}
	}},
	{8, func(s *simulation) { // the same message may be delivered again later
		if m := s.pickMessage(); m != nil {
			s.deliver(m)
		}
	}},
	{1, func(s *simulation) {
		if len(s.messages) > 0 {
			at := s.pick(len(s.messages))
			s.messages = slices.Delete(s.messages, at, at+1)
		}
	}},
	{5, func(s *simulation) {
		s.commit(s.pick(modelInstances), s.log[len(s.log)-1].members, false)
	}},
	{5, func(s *simulation) { s.changeList(s.pick(modelInstances)) }},
	{2, func(s *simulation) { s.start(s.instances[s.pick(modelInstances)]) }},
	{2, func(s *simulation) {
		for i := range s.group {
			s.group[i] = s.pick(2)
		}
	}},
	{1, func(s *simulation) { clear(s.group) }},
	{1, func(s *simulation) { s.storeUp = false }},
	{1, func(s *simulation) { s.storeUp = true }},
	{1, func(s *simulation) {
		n := s.instances[s.pick(modelInstances)]
		if n.reader.Version() == 0 || s.facts > 3 {
			return
		}
		s.facts++
		n.facts[s.facts] = true
		n.quorums[s.facts] = NewQuorum(s.log[n.reader.Version()].members)
	}},
}

// events contains each event as many times as its weight.
var events = func() []event {
	var all []event
	for _, e := range weightedEvents {
		for range e.weight {
			all = append(all, e)
		}
	}
	return all
}()
