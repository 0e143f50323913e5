package membership

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/internal/pb/gossipv1/gossipv1connect"
)

// errUnknownPeer is returned when this instance has no address of a peer, or when
// another instance responds at that address.
var errUnknownPeer = errors.New("membership: unknown peer")

// startExchange starts an exchange with a peer. If one is already in progress,
// another one follows it, since the current one may miss the newest updates.
func (c *Controller) startExchange(ctx context.Context, p gossip.Peer) {
	if p.Addr == "" {
		return
	}
	c.mu.Lock()
	if c.busy[p.Name] {
		c.repeat[p.Name] = true
		c.mu.Unlock()
		return
	}
	c.busy[p.Name] = true
	c.mu.Unlock()
	go c.runExchanges(ctx, p)
}

// runExchanges makes an exchange with a peer, and repeats this as long as another
// exchange was requested in the meantime and none failed. A failed exchange is
// retried once on a new connection.
func (c *Controller) runExchanges(ctx context.Context, p gossip.Peer) {
	for {
		err := c.exchange(ctx, c.peerConns.client, p)
		if err != nil && ctx.Err() == nil {
			c.peerConns.drop(p.Addr)
			err = c.exchange(ctx, c.peerConns.retry, p)
		}
		c.mu.Lock()
		if err != nil && ctx.Err() == nil {
			c.node.ExchangeFailed(c.o.Clock.Now(), p.Name)
			c.o.Scope.Counter("exchange_failed").Inc(1)
			c.o.Log.Debug("exchange failed", "peer", p.Name, "error", err)
		}
		more := c.repeat[p.Name] && err == nil
		delete(c.repeat, p.Name)
		if !more {
			delete(c.busy, p.Name)
		}
		c.mu.Unlock()
		if !more {
			return
		}
	}
}

func (c *Controller) exchange(ctx context.Context, client *http.Client, p gossip.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	started := c.o.Clock.Now()
	c.mu.Lock()
	msg := c.node.Request(p.Name)
	c.mu.Unlock()
	req := &gossipv1.ExchangeRequest{Envelope: c.envelope(msg, p.Name, nil)}
	resp, err := peerClient(client, p.Addr).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	e := resp.Msg.GetEnvelope()
	if e.GetName() != p.Name {
		return errUnknownPeer // another instance has this address now
	}
	c.mu.Lock()
	c.node.HandleReply(c.o.Clock.Now(), fromProto(e.GetName(), e.GetGossip()))
	c.mu.Unlock()
	for _, h := range c.handlers {
		if !h.HandleResponse(ctx, started, e) {
			break
		}
	}
	return nil
}

func peerClient(client *http.Client, addr string) gossipv1connect.PeerServiceClient {
	return gossipv1connect.NewPeerServiceClient(client, "http://"+addr, outbound.Data())
}

// envelope wraps a message for a peer and adds the payloads of the handlers. The
// message is the response to request, or a request if request is nil.
func (c *Controller) envelope(msg gossip.Message, peer string, request *gossipv1.Envelope) *gossipv1.Envelope {
	c.mu.Lock()
	incarnation := c.node.Self().Incarnation
	c.mu.Unlock()
	e := &gossipv1.Envelope{Name: c.o.Self.Name, Incarnation: incarnation, Gossip: toProto(msg)}
	for _, h := range c.handlers {
		h.Fill(e, peer, request)
	}
	return e
}

// State returns a peer's configuration as JSON if its version is above after.
func (c *Controller) State(ctx context.Context, peer string, after uint64) ([]byte, error) {
	addr := c.addr(peer)
	if addr == "" {
		return nil, errUnknownPeer
	}
	resp, err := peerClient(c.peerConns.client, addr).State(ctx, connect.NewRequest(&gossipv1.StateRequest{After: after}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetState(), nil
}

func (c *Controller) addr(peer string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.node.Members() {
		if m.Name == peer {
			return m.Addr
		}
	}
	return ""
}
