package membership

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// dialFunc opens connections.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// peerConns manages the connections to peers: one HTTP/2 connection for each
// address. Compression makes the headers short after the first request on a
// connection. Unresponsive connections are closed with drop, since the HTTP/2
// transport would continue to use them.
type peerConns struct {
	dial   dialFunc
	client *http.Client
	// retry sends each request over HTTP/1.1, which every version of this
	// program supports, on a new connection.
	retry *http.Client

	mu    sync.Mutex
	conns map[string]*peerConn // the newest connection by address
}

// peerConn is a connection that is removed from peerConns when it is closed.
type peerConn struct {
	net.Conn
	all  *peerConns
	addr string
}

func newPeerConns(dial, dialHTTP1 dialFunc) *peerConns {
	c := &peerConns{dial: dial, conns: make(map[string]*peerConn)}
	if c.dial == nil {
		c.dial = (&net.Dialer{}).DialContext
	}
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true) // TLS, if any, is done by dial and not by the transport
	c.client = &http.Client{Transport: &http.Transport{DialContext: c.open, IdleConnTimeout: idleTimeout, Protocols: p}}
	c.retry = &http.Client{Transport: &http.Transport{DialContext: dialHTTP1, DisableKeepAlives: true}}
	return c
}

func (c *peerConns) open(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	pc := &peerConn{Conn: conn, all: c, addr: addr}
	c.mu.Lock()
	c.conns[addr] = pc
	c.mu.Unlock()
	return pc, nil
}

// Close closes the connection and removes it from peerConns.
func (pc *peerConn) Close() error {
	pc.all.mu.Lock()
	if pc.all.conns[pc.addr] == pc {
		delete(pc.all.conns, pc.addr)
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
