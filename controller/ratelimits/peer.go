package ratelimits

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/pb/limitsv1"
	"github.com/cumincove/cumincove/internal/pb/limitsv1/limitsv1connect"
	"github.com/cumincove/cumincove/ratelimit"
)

const (
	// askTimeout bounds a call to a coordinator. The permits of a later answer would
	// have expired.
	askTimeout = 400 * time.Millisecond
	// maxAsks bounds the asks of one call.
	maxAsks = 256
)

// sendAsks sends the pending asks to the endpoints' coordinators in the background.
func (c *Controller) sendAsks(ctx context.Context) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	asks := c.node.Asks(now)
	own := asks[c.o.Self]
	for _, a := range own {
		c.node.HandleGrant(now, now, a, c.node.HandleAsk(now, a))
	}
	c.mu.Unlock()
	delete(asks, c.o.Self)
	for coordinator, list := range asks {
		go c.askPeer(ctx, coordinator, list)
	}
}

// askPeer sends asks to a coordinator and handles its answer.
func (c *Controller) askPeer(ctx context.Context, coordinator string, asks []ratelimit.Ask) {
	sent := c.o.Clock.Now()
	grants, err := c.acquire(ctx, coordinator, asks)
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.o.Scope.Counter("permit_calls_failed").Inc(1)
		c.o.Log.Debug("no permits, the coordinator did not answer", "coordinator", coordinator, "error", err)
	}
	for i, a := range asks {
		if i >= len(grants) {
			c.node.HandleFailure(now, a)
			continue
		}
		c.node.HandleGrant(sent, now, a, grants[i])
	}
}

func (c *Controller) acquire(ctx context.Context, coordinator string, asks []ratelimit.Ask) ([]ratelimit.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req := &limitsv1.AcquireRequest{}
	for _, a := range asks[:min(len(asks), maxAsks)] {
		req.Asks = append(req.Asks, &limitsv1.Ask{
			Endpoint: a.Endpoint, Incarnation: a.Limit.Incarnation, Rate: a.Limit.Rate, Cold: a.Limit.Cold,
			Count: uint32(a.Count), Unreported: uint32(a.Unreported), Recheck: a.Recheck,
		})
	}
	m := c.o.Views.Load().Members[coordinator]
	client := limitsv1connect.NewLimitServiceClient(c.o.Peers, "http://"+m.PeerAddr, outbound.Reply())
	resp, err := client.Acquire(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	var grants []ratelimit.Grant
	for _, g := range resp.Msg.GetGrants() {
		grants = append(grants, decodeGrant(g))
	}
	return grants, nil
}

func decodeGrant(g *limitsv1.Grant) ratelimit.Grant {
	grant := ratelimit.Grant{FullFor: time.Duration(g.GetFullForMicros()) * time.Microsecond}
	for _, w := range g.GetWaitsMicros() {
		grant.Waits = append(grant.Waits, time.Duration(w)*time.Microsecond)
	}
	return grant
}

// PeerHandler returns the path and the handler of the service for other instances.
func (c *Controller) PeerHandler() (string, http.Handler) {
	return limitsv1connect.NewLimitServiceHandler(peer{c})
}

type peer struct{ c *Controller }

// Acquire issues permits of the endpoints that this instance coordinates.
func (p peer) Acquire(_ context.Context, r *connect.Request[limitsv1.AcquireRequest]) (*connect.Response[limitsv1.AcquireResponse], error) {
	asks := r.Msg.GetAsks()
	if len(asks) > maxAsks {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooManyAsks)
	}
	now := p.c.o.Clock.Now()
	resp := &limitsv1.AcquireResponse{}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	for _, a := range asks {
		resp.Grants = append(resp.Grants, encodeGrant(p.c.node.HandleAsk(now, decodeAsk(a))))
	}
	return connect.NewResponse(resp), nil
}

func decodeAsk(a *limitsv1.Ask) ratelimit.Ask {
	return ratelimit.Ask{
		Endpoint: a.GetEndpoint(), Limit: ratelimit.Limit{Incarnation: a.GetIncarnation(), Rate: a.GetRate(), Cold: a.GetCold()},
		Count: int(a.GetCount()), Unreported: int(a.GetUnreported()), Recheck: a.GetRecheck(),
	}
}

func encodeGrant(g ratelimit.Grant) *limitsv1.Grant {
	out := &limitsv1.Grant{FullForMicros: uint32(g.FullFor / time.Microsecond)}
	for _, w := range g.Waits {
		out.WaitsMicros = append(out.WaitsMicros, uint32(w/time.Microsecond))
	}
	return out
}
