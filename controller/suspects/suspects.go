// Package suspects spreads between instances which requests were lost with the
// endpoint that ran them, so that a request that crashes endpoints is known
// wherever it comes back: with the exchanges between instances, or by rows of the
// platform's table where that is all that instances share.
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

// kind is the kind of rumour that tells of a loss.
const kind = "endpoint_loss"

// Hearer takes losses that other instances know of.
type Hearer interface {
	Hear(rumours []poison.Rumour)
}

// Forgetter is a Hearer that forgets losses that another instance found
// harmless.
type Forgetter interface {
	Hearer
	Forget(ids []string)
}

// Controller rides on the exchanges between instances.
type Controller struct {
	// Spread begins a rumour.
	Spread func(gossip.Rumour)
	Hearer Hearer
	Log    *slog.Logger
}

// Tell spreads a loss of this instance.
func (c *Controller) Tell(r poison.Rumour) {
	body, err := json.Marshal(r)
	if err != nil {
		c.Log.Error("loss not encoded", "error", err)
		return
	}
	c.Spread(gossip.Rumour{ID: kind + "/" + r.ID, Kind: kind, Body: body})
}

// Fill adds nothing: rumours travel by themselves.
func (c *Controller) Fill(*gossipv1.Envelope, string, *gossipv1.Envelope) {}

// Pushed hears the losses in a message.
func (c *Controller) Pushed(_ context.Context, e *gossipv1.Envelope) { c.hear(e) }

// Answered hears the losses in an answer.
func (c *Controller) Answered(_ context.Context, _ time.Duration, e *gossipv1.Envelope) bool {
	c.hear(e)
	return true
}

// hear takes losses in, which may come more than once.
func (c *Controller) hear(e *gossipv1.Envelope) {
	var list []poison.Rumour
	for _, g := range e.GetGossip().GetRumours() {
		if g.GetKind() != kind {
			continue
		}
		var r poison.Rumour
		if err := json.Unmarshal(g.GetBody(), &r); err != nil {
			c.Log.Warn("rumour of a loss not decoded", "error", err)
			continue
		}
		list = append(list, r)
	}
	if len(list) > 0 {
		c.Hearer.Hear(list)
	}
}
