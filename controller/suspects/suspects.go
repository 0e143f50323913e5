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

// LossReceiver receives reports of losses from other instances.
type LossReceiver interface {
	HandleReports(losses []poison.LossReport)
}

// LossTracker is a LossReceiver that can also remove losses, after an instance
// found that the request is harmless.
type LossTracker interface {
	LossReceiver
	Forget(ids []string)
}

// Controller sends and receives loss reports in the exchanges between instances.
type Controller struct {
	// Broadcast starts a broadcast to all instances.
	Broadcast func(gossip.Broadcast)
	// Receiver receives the losses that other instances report.
	Receiver LossReceiver
	Log      *slog.Logger
}

// Report broadcasts a loss that this instance observed.
func (c *Controller) Report(r poison.LossReport) {
	body, err := json.Marshal(r)
	if err != nil {
		c.Log.Error("loss report not encoded", "error", err)
		return
	}
	c.Broadcast(gossip.Broadcast{ID: lossKind + "/" + r.ID, Kind: lossKind, Body: body})
}

// Fill adds nothing, because broadcasts are added to messages by package gossip.
func (c *Controller) Fill(*gossipv1.Envelope, string, *gossipv1.Envelope) {}

// HandlePush handles the loss reports in a request from a peer.
func (c *Controller) HandlePush(_ context.Context, e *gossipv1.Envelope) { c.receive(e) }

// HandleResponse handles the loss reports in a response.
func (c *Controller) HandleResponse(_ context.Context, _ time.Duration, e *gossipv1.Envelope) bool {
	c.receive(e)
	return true
}

// receive passes the losses in a message to the Receiver. The same loss may be
// received more than once.
func (c *Controller) receive(e *gossipv1.Envelope) {
	var losses []poison.LossReport
	for _, g := range e.GetGossip().GetRumours() {
		if g.GetKind() != lossKind {
			continue
		}
		var r poison.LossReport
		if err := json.Unmarshal(g.GetBody(), &r); err != nil {
			c.Log.Warn("loss report not decoded", "error", err)
			continue
		}
		losses = append(losses, r)
	}
	if len(losses) > 0 {
		c.Receiver.HandleReports(losses)
	}
}
