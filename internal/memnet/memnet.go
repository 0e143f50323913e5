// Package memnet implements an in-memory network for tests under fake time. It has
// listeners and connections between named hosts. Tests can cut two hosts off from
// each other, make their connections silent, and freeze or kill a host.
//
// Apart from these faults the network has no latency and loses no data. A cut resets
// the connections between two hosts and makes new ones time out. A silent connection
// accepts every write but delivers no further bytes, as if a firewall or NAT device
// between the two ends had dropped its state.
package memnet

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptBacklog is the maximum number of connections that wait to be accepted.
	acceptBacklog = 256
	// queuedWrites is the maximum number of undelivered writes of a connection.
	queuedWrites = 4096
	// lingerTime is how long written data is still delivered after Close.
	lingerTime = 30 * time.Second
)

var errInUse = errors.New("memnet: address in use")

// Network is a set of hosts with the connections between them.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*conn
	cut       map[pair]bool
	dead      map[string]bool
	frozen    map[string]chan struct{} // each is closed when its host is thawed
}

// pair is a pair of hosts in lexical order.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	return pair{min(a, b), max(a, b)}
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		cut:       map[pair]bool{},
		dead:      map[string]bool{},
		frozen:    map[string]chan struct{}{},
	}
}

// Host is a host of a network. It can open and accept connections.
type Host struct {
	n    *Network
	name string
}

// Host returns the host with the given name. It reverts an earlier Kill of the host.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, name)
	return &Host{n: n, name: name}
}

// Listen opens a listener at an address. It has the signature of net.Listen.
func (h *Host) Listen(_, addr string) (net.Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.n.listeners[addr] != nil {
		return nil, errInUse
	}
	l := &listener{host: h, addr: addr, backlog: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	h.n.listeners[addr] = l
	return l, nil
}

// Dial connects to a listener. It has the signature of net.Dialer.DialContext.
func (h *Host) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	h.n.mu.Lock()
	l := h.n.listeners[addr]
	_, frozen := h.n.frozen[h.name]
	unreachable := frozen || h.n.dead[h.name] || (l != nil && h.n.cut[pairOf(h.name, l.host.name)])
	h.n.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, dialError(network, addr, ctx.Err())
	}
	if l == nil {
		return nil, dialError(network, addr, syscall.ECONNREFUSED)
	}
	near, far := net.Pipe()
	ends := pairOf(h.name, l.host.name)
	a := newConn(h.n, near, h.name, ends)
	b := newConn(h.n, far, l.host.name, ends)
	select {
	case l.backlog <- b:
	case <-l.closed:
		return nil, dialError(network, addr, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, dialError(network, addr, ctx.Err())
	}
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.n.conns = append(h.n.conns, a, b)
	return a, nil
}

func dialError(network, addr string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Addr: address(addr), Err: err}
}

// Cut resets the connections between two hosts. New ones time out until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cut[pairOf(a, b)] = true
	n.mu.Unlock()
	n.forEachConn(func(p pair) bool { return p == pairOf(a, b) }, (*conn).reset)
}

// Heal reverts Cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pairOf(a, b))
}

// Freeze suspends a host until Thaw: its writes fail, its reads block even if data
// has arrived, and the connections that it opens time out.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw reverts Freeze.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[host]; ch != nil {
		close(ch)
		delete(n.frozen, host)
	}
}

// frozenUntil returns a channel that is closed when a host is thawed, or nil if the
// host is not frozen.
func (n *Network) frozenUntil(host string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[host]
}

// Silence makes the open connections between two hosts permanently silent.
func (n *Network) Silence(a, b string) {
	n.forEachConn(func(p pair) bool { return p == pairOf(a, b) }, (*conn).silence)
}

// Kill closes the listeners of a host and resets its connections. The host can
// neither open nor accept connections until Host is called with its name again.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	n.dead[host] = true
	for addr, l := range n.listeners {
		if l.host.name == host {
			delete(n.listeners, addr)
			l.stop()
		}
	}
	n.mu.Unlock()
	n.forEachConn(func(p pair) bool { return p.a == host || p.b == host }, (*conn).reset)
}

// forEachConn calls f for the open connections between matching pairs of hosts.
func (n *Network) forEachConn(match func(pair) bool, f func(*conn)) {
	n.mu.Lock()
	list := slices.Clone(n.conns)
	n.mu.Unlock()
	for _, c := range list {
		if match(c.ends) {
			f(c)
		}
	}
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = slices.DeleteFunc(n.conns, func(o *conn) bool { return o == c })
}
