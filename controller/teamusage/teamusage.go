// Package teamusage exchanges the usage of services by teams between instances, so
// that a queue can order requests by a team's usage at all instances. It also
// carries the messages with which instances lend each other unused parts of team
// limits; see LimitExchange.
//
// An instance requests the usage of a service from its peers only while requests
// for that service are queued locally, and receives it in the replies. Without
// queued requests no usage is sent. Where instances share only rows of a table,
// each instance lists in its own row the services with queued requests, and the
// other instances then write the usage of these services to their rows; see Report.
package teamusage

import (
	"context"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

const (
	// maxServices bounds the number of services that one message requests or
	// reports the usage of.
	maxServices = 4
	// maxTeams bounds the number of teams per service that are accepted from one
	// message.
	maxTeams = 64
)

// Queues measures the local usage of services and takes the remote usage into
// account.
type Queues interface {
	// WaitingServices returns the services with queued requests at this instance.
	WaitingServices() []string
	// Usage returns the usage of a service by teams at this instance.
	Usage(service string) []fairqueue.Usage
	// HandleUsageReport handles the usage of a service by teams at another instance.
	HandleUsageReport(instance, service string, list []fairqueue.Usage)
}

// Controller adds requests for usage, and the replies to them, to the messages that
// instances exchange. It implements membership.PayloadHandler.
type Controller struct {
	Queues Queues
}

// Fill adds the services with locally queued requests to a request. To a reply
// it adds the local usage of the services that the request lists.
func (c *Controller) Fill(e *gossipv1.Envelope, _ string, request *gossipv1.Envelope) {
	if request == nil {
		waiting := c.Queues.WaitingServices()
		e.UseWanted = waiting[:min(len(waiting), maxServices)]
		return
	}
	requested := request.GetUseWanted()
	for _, service := range requested[:min(len(requested), maxServices)] {
		u := &gossipv1.ServiceUse{Service: service}
		for _, t := range c.Queues.Usage(service) {
			u.Teams = append(u.Teams, &gossipv1.TeamUse{Team: t.Team, Class: uint32(t.Class), Tokens: uint32(t.Rate)})
		}
		e.Use = append(e.Use, u)
	}
}

// HandlePush does nothing, since Fill adds the requested usage to the reply.
func (c *Controller) HandlePush(context.Context, *gossipv1.Envelope) {}

// HandleResponse handles the usage at a peer, and always returns true.
func (c *Controller) HandleResponse(_ context.Context, _ time.Duration, e *gossipv1.Envelope) bool {
	for i, u := range e.GetUse() {
		if i == maxServices {
			break
		}
		c.Queues.HandleUsageReport(e.GetName(), u.GetService(), fromProto(u.GetTeams()))
	}
	return true
}

func fromProto(teams []*gossipv1.TeamUse) []fairqueue.Usage {
	var list []fairqueue.Usage
	for _, t := range teams[:min(len(teams), maxTeams)] {
		class := fairqueue.Class(t.GetClass())
		if class == fairqueue.Interactive || class == fairqueue.Rollout {
			list = append(list, fairqueue.Usage{Team: t.GetTeam(), Class: class, Rate: float64(t.GetTokens())})
		}
	}
	return list
}
