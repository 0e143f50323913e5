package gossip

import "time"

// Broadcast starts a broadcast. The next Tick returns the peers to send it to.
func (n *Node) Broadcast(now time.Duration, b Broadcast) {
	n.addBroadcast(now, b)
}

// TriggerExchanges makes the next Tick return as many peers as the fanout
// allows. It is meant for urgent updates that are sent together with this
// package's messages.
func (n *Node) TriggerExchanges() { n.fanOutDue = true }

// TriggerExchangesWith makes the next Tick return these instances, up to the
// fanout. It is meant for updates that they must confirm.
func (n *Node) TriggerExchangesWith(names []string) {
	n.triggeredNames = names
}

// TakeBroadcasts returns the broadcasts received since the last call, up to the
// number that a Node keeps.
func (n *Node) TakeBroadcasts() []Broadcast {
	list := n.received
	n.received = nil
	return list
}

func (n *Node) receiveBroadcast(now time.Duration, b Broadcast) {
	if n.addBroadcast(now, b) && len(n.received) < maxBroadcasts {
		n.received = append(n.received, b)
	}
}

// addBroadcast stores a broadcast and reports whether it is new. If the Node
// already keeps the maximum number, it drops the new one, which it may receive
// again while other instances forward it.
func (n *Node) addBroadcast(now time.Duration, b Broadcast) bool {
	if _, ok := n.broadcasts[b.ID]; ok || len(n.broadcasts) >= maxBroadcasts {
		return false
	}
	n.broadcasts[b.ID] = receivedBroadcast{Broadcast: b, at: now}
	n.fanOutDue = true
	return true
}
