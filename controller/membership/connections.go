package membership

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cumincove/cumincove/internal/outbound"
)

// dialFunc opens connections.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// peerConns manages the connections to peers: one HTTP/2 connection for each
// address. Compression makes the headers short after the first request on a
// connection. Unresponsive connections are closed with drop, since the HTTP/2
// transport would continue to use them. Each connection has a transport of its own,
// because a transport may use a closed connection once more before it notices.
type peerConns struct {
	dial   dialFunc
	client *http.Client
	// retry sends each request over HTTP/1.1, which every version of this
	// program supports, on a new connection.
	retry *http.Client

	mu         sync.Mutex
	conns      map[string]*peerConn       // the newest connection by address
	transports map[string]*http.Transport // that of the newest connection, by address
}

// peerConn is a connection that is removed from peerConns when it is closed.
type peerConn struct {
	net.Conn
	all  *peerConns
	addr string
}

func newPeerConns(dial, dialHTTP1 dialFunc) *peerConns {
	c := &peerConns{dial: dial, conns: make(map[string]*peerConn), transports: make(map[string]*http.Transport)}
	if c.dial == nil {
		c.dial = (&net.Dialer{}).DialContext
	}
	c.client = outbound.PeerClient(c)
	retry := outbound.Transport(dialHTTP1)
	retry.DisableKeepAlives = true
	c.retry = outbound.PeerClient(retry)
	return c
}

// RoundTrip sends a request over the HTTP/2 connection to its address.
func (c *peerConns) RoundTrip(r *http.Request) (*http.Response, error) {
	return c.transport(r.URL.Host).RoundTrip(r)
}

// transport returns the transport for an address.
func (c *peerConns) transport(addr string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transports[addr]
	if t == nil {
		p := &http.Protocols{}
		p.SetUnencryptedHTTP2(true) // TLS, if any, is done by dial and not by the transport
		t = outbound.Transport(c.open)
		t.IdleConnTimeout, t.Protocols = idleTimeout, p
		c.transports[addr] = t
	}
	return t
}

func (c *peerConns) open(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, addr)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.conns[addr] == nil {
			delete(c.transports, addr)
		}
		return nil, err
	}
	pc := &peerConn{Conn: conn, all: c, addr: addr}
	c.mu.Lock()
	c.conns[addr] = pc
	c.mu.Unlock()
	return pc, nil
}

// Close closes the connection and removes it and its transport from peerConns.
func (pc *peerConn) Close() error {
	pc.all.mu.Lock()
	if pc.all.conns[pc.addr] == pc {
		delete(pc.all.conns, pc.addr)
		delete(pc.all.transports, pc.addr)
	}
	pc.all.mu.Unlock()
	return pc.Conn.Close()
}

// drop closes the connection to an address, if there is one.
func (c *peerConns) drop(addr string) {
	c.mu.Lock()
	pc := c.conns[addr]
	c.mu.Unlock()
	if pc != nil {
		_ = pc.Close() // it may be closed already
	}
}
