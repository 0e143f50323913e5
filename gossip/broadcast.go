package gossip

import "time"

// Spread starts a broadcast. The next Tick returns the peers to send it to.
func (n *Node) Spread(now time.Duration, r Rumour) {
	n.addBroadcast(now, r)
}

// Urge makes the next Tick return as many peers as the fanout allows. It is meant
// for urgent updates that are sent together with this package's messages.
func (n *Node) Urge() { n.fanOutDue = true }

// UrgeTo makes the next Tick return these instances, up to the fanout. It is
// meant for updates that they must confirm.
func (n *Node) UrgeTo(names []string) {
	n.triggeredNames = names
}

// Heard returns the broadcasts received since the last call, up to the number
// that a Node keeps.
func (n *Node) Heard() []Rumour {
	list := n.received
	n.received = nil
	return list
}

func (n *Node) receiveBroadcast(now time.Duration, r Rumour) {
	if n.addBroadcast(now, r) && len(n.received) < maxBroadcasts {
		n.received = append(n.received, r)
	}
}

// addBroadcast stores a broadcast and reports whether it is new. If the Node
// already keeps the maximum number, it drops the new one, and receives it again
// as long as other instances forward it.
func (n *Node) addBroadcast(now time.Duration, r Rumour) bool {
	if _, ok := n.broadcasts[r.ID]; ok || len(n.broadcasts) >= maxBroadcasts {
		return false
	}
	n.broadcasts[r.ID] = receivedBroadcast{Rumour: r, at: now}
	n.fanOutDue = true
	return true
}
