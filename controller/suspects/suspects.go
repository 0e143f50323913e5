// Package suspects distributes reports of requests that were lost with the
// endpoint that ran them. With these reports, every instance can recognise a
// request that crashes endpoints when it is submitted again. The reports travel
// in the exchanges between instances or, where instances share only the
// platform's table, as rows of that table.
package suspects

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/poison"
)

// lossKind is the kind of broadcast that reports a loss.
const lossKind = "endpoint_loss"

// Hearer receives reports of losses from other instances.
type Hearer interface {
	Hear(losses []poison.Rumour)
}

// Forgetter is a Hearer that can also remove losses, after an instance found
// that the request is harmless.
type Forgetter interface {
	Hearer
	Forget(ids []string)
}

// Controller sends and receives loss reports in the exchanges between instances.
type Controller struct {
	// Spread starts a broadcast to all instances.
	Spread func(gossip.Rumour)
	// Hearer receives the losses that other instances report.
	Hearer Hearer
	Log    *slog.Logger
}

// Tell broadcasts a loss that this instance observed.
func (c *Controller) Tell(r poison.Rumour) {
	body, err := json.Marshal(r)
	if err != nil {
		c.Log.Error("loss report not encoded", "error", err)
		return
	}
	c.Spread(gossip.Rumour{ID: lossKind + "/" + r.ID, Kind: lossKind, Body: body})
}

// Fill adds nothing, because broadcasts are added to messages by package gossip.
func (c *Controller) Fill(*gossipv1.Envelope, string, *gossipv1.Envelope) {}

// Pushed handles the loss reports in a message that a peer sent without a
// request.
func (c *Controller) Pushed(_ context.Context, e *gossipv1.Envelope) { c.receive(e) }

// Answered handles the loss reports in a response.
func (c *Controller) Answered(_ context.Context, _ time.Duration, e *gossipv1.Envelope) bool {
	c.receive(e)
	return true
}

// receive passes the losses in a message to the Hearer. The same loss may be
// received more than once.
func (c *Controller) receive(e *gossipv1.Envelope) {
	var losses []poison.Rumour
	for _, g := range e.GetGossip().GetRumours() {
		if g.GetKind() != lossKind {
			continue
		}
		var r poison.Rumour
		if err := json.Unmarshal(g.GetBody(), &r); err != nil {
			c.Log.Warn("loss report not decoded", "error", err)
			continue
		}
		losses = append(losses, r)
	}
	if len(losses) > 0 {
		c.Hearer.Hear(losses)
	}
}
