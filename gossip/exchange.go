package gossip

import (
	"slices"
	"time"
)

// Request returns the message that starts an exchange with a peer.
func (n *Node) Request(peer string) Message {
	m := Message{From: n.self, Suspicions: n.suspicions(), Digest: n.digest()}
	if n.vectorDue() {
		m.Vector = n.vector()
	}
	m.Records = n.recentRecords(peer, nil)
	m.Broadcasts = n.broadcastsToSend()
	return m
}

// vectorDue reports whether the request must carry the complete version vector.
// Requests carry it more often if a peer's digest has differed since the last
// request with the vector.
func (n *Node) vectorDue() bool {
	n.requestsSinceVector++
	due := n.requestsSinceVector * fullVectorRecords
	if !n.digestsDiffer {
		due /= equalDigestFactor
	}
	if due < len(n.members) {
		return false
	}
	n.requestsSinceVector = 0
	n.digestsDiffer = false
	return true
}

// recentRecords returns records that changed recently, up to MaxRecords, and
// counts them as sent. It omits versions that the peer has just sent.
func (n *Node) recentRecords(peer string, received []Record) []Record {
	peerHas := make(map[string]Entry, len(received))
	for _, r := range received {
		peerHas[r.Name] = r.Entry()
	}
	var names []string
	for name, m := range n.members {
		if m.sendsLeft > 0 && m.status != Listed && name != peer && peerHas[name] != m.rec.Entry() {
			names = append(names, name)
		}
	}
	n.shuffle(names)
	var records []Record
	for _, name := range names[:min(len(names), n.opt.MaxRecords)] {
		m := n.members[name]
		m.sendsLeft--
		records = append(records, m.rec)
	}
	return records
}

func (n *Node) vector() []Entry {
	list := make([]Entry, 0, len(n.members))
	for _, m := range n.members {
		if m.status != Listed {
			list = append(list, m.rec.Entry())
		}
	}
	return list
}

// suspicions returns the versions of suspect and down instances. Down instances
// are included so that an instance that is in fact alive can refute its
// suspicion.
func (n *Node) suspicions() []Entry {
	var list []Entry
	for _, m := range n.members {
		if (m.status == Suspect || m.status == Down) && len(list) < n.opt.MaxRecords {
			list = append(list, m.rec.Entry())
		}
	}
	return list
}

// broadcastsToSend returns the broadcasts to send, up to MaxRecords, and counts
// them as sent.
func (n *Node) broadcastsToSend() []Broadcast {
	var list []Broadcast
	limit := 2 * len(n.members)
	for id, b := range n.broadcasts {
		if b.sends < limit && len(list) < n.opt.MaxRecords {
			b.sends++
			n.broadcasts[id] = b
			list = append(list, b.Broadcast)
		}
	}
	return list
}

// HandleRequest handles a request and returns the reply. The reply contains the
// records that are newer than the request's vector or, if the request has no
// vector, the records that changed recently.
func (n *Node) HandleRequest(now time.Duration, req Message) Message {
	n.merge(now, req)
	if len(req.Vector) == 0 {
		return n.replyWithRecent(req)
	}
	peerEntries := make(map[string]Entry, len(req.Vector))
	for _, e := range req.Vector {
		peerEntries[e.Name] = e
	}
	for _, r := range req.Records {
		peerEntries[r.Name] = r.Entry()
	}
	reply := Message{From: n.self, Suspicions: n.suspicions(), Broadcasts: n.broadcastsToSend(), Digest: n.digest()}
	for _, name := range append(n.shuffled(), n.self) {
		m := n.members[name]
		e, ok := peerEntries[name]
		if m.status == Listed || len(reply.Records) == n.opt.MaxRecords {
			continue
		}
		if !ok || e.Before(m.rec.Entry()) {
			reply.Records = append(reply.Records, m.rec)
		}
	}
	reply.Vector = n.outdatedEntries(peerEntries)
	return reply
}

// replyWithRecent returns a reply with the records that changed recently,
// without those in the request.
func (n *Node) replyWithRecent(req Message) Message {
	reply := Message{From: n.self, Suspicions: n.suspicions(), Broadcasts: n.broadcastsToSend(), Digest: n.digest()}
	reply.Records = n.recentRecords(req.From, req.Records)
	return reply
}

// outdatedEntries returns this instance's versions of the records that are
// newer at the peer, so that the peer sends these records with its next
// requests.
func (n *Node) outdatedEntries(peerEntries map[string]Entry) []Entry {
	var list []Entry
	for name, e := range peerEntries {
		var have Entry
		if m, ok := n.members[name]; ok {
			have = m.rec.Entry()
		}
		if have.Before(e) && len(list) < n.opt.MaxRecords {
			list = append(list, Entry{Name: name, Incarnation: have.Incarnation, Seq: have.Seq})
		}
	}
	return list
}

// HandleReply handles the reply to a request. Records that the peer lacks,
// according to the reply's vector, are sent with the next requests.
func (n *Node) HandleReply(now time.Duration, reply Message) {
	n.merge(now, reply)
	for _, e := range reply.Vector {
		if m, ok := n.members[e.Name]; ok && e.Before(m.rec.Entry()) {
			m.sendsLeft = max(m.sendsLeft, 1)
		}
	}
}

// ExchangeFailed records that a peer did not reply to a request in time.
func (n *Node) ExchangeFailed(now time.Duration, peer string) {
	if m, ok := n.members[peer]; ok && m.status == Alive {
		n.changes++
		m.status = Suspect
		m.statusSince = now
	}
}

func (n *Node) merge(now time.Duration, msg Message) {
	for _, r := range msg.Records {
		n.mergeRecord(now, r)
	}
	for _, e := range msg.Suspicions {
		n.mergeSuspicion(now, e)
	}
	for _, b := range msg.Broadcasts {
		n.receiveBroadcast(now, b)
	}
	n.markAlive(now, msg.From)
	n.digestsDiffer = n.digestsDiffer || msg.Digest != n.digest()
}

// markAlive marks a suspect or down peer as alive, because a message from it has
// just arrived.
func (n *Node) markAlive(now time.Duration, peer string) {
	if m, ok := n.members[peer]; ok && (m.status == Suspect || m.status == Down) {
		n.changes++
		m.status = Alive
		m.statusSince = now
	}
}

func (n *Node) mergeRecord(now time.Duration, r Record) {
	if r.Name == n.self {
		if n.Self().Entry().Before(r.Entry()) {
			n.refute(r.Entry())
		}
		return
	}
	m, ok := n.members[r.Name]
	if !ok {
		n.changes++
		m = &member{rec: Record{Name: r.Name}}
		n.members[r.Name] = m
	}
	if !m.rec.Entry().Before(r.Entry()) {
		return
	}
	n.changes++
	r.State = slices.Clone(r.State)
	m.sendsLeft = max(m.sendsLeft, minorForwards)
	if m.rec.major().Before(r.major()) {
		m.sendsLeft = n.sendsPerChange()
	}
	m.rec = r
	m.statusSince = now
	m.status = Alive
	if r.Left {
		m.status = Left
	}
}

func (n *Node) mergeSuspicion(now time.Duration, e Entry) {
	if e.Name == n.self {
		n.refute(e)
		return
	}
	m, ok := n.members[e.Name]
	if !ok || m.status != Alive || m.rec.Entry().Before(e) || e.Before(m.rec.Entry()) {
		return
	}
	n.changes++
	m.status = Suspect
	m.statusSince = now
}

// refute makes this instance's record newer than e, which other instances
// disseminate.
func (n *Node) refute(e Entry) {
	self := n.members[n.self]
	if e.Before(self.rec.Entry()) {
		return
	}
	n.changes++
	if e.Incarnation > self.rec.Incarnation {
		self.rec.Incarnation = e.Incarnation + 1
	}
	self.rec.Seq = max(self.rec.Seq, e.Seq)
	n.advanceSeq()
}
