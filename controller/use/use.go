// Package use lets instances tell each other what teams use of a service, so
// that a team is served by what it has at all of them.
//
// An instance asks for it only while requests wait there, and the peer's answer
// to the exchange brings it: without a queue nothing is sent. Where instances only
// share rows, each says in its own for which services requests wait there, and the
// others then say in theirs what teams use of them.
package use

import (
	"context"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

const (
	// maxServices bounds the services that one message asks for or tells of.
	maxServices = 4
	// maxTeams bounds the teams taken from one message for a service.
	maxTeams = 64
)

// Queues is what knows and charges the use.
type Queues interface {
	// Waiting returns the services in which requests wait here.
	Waiting() []string
	// Uses returns what teams use of a service here.
	Uses(service string) []fairqueue.Use
	// HearUses takes what they use at another instance.
	HearUses(instance, service string, list []fairqueue.Use)
}

// Controller rides on the exchanges between instances.
type Controller struct {
	Queues Queues
}

// Fill asks, in a request, for the use of services in which requests wait here,
// and tells in an answer what the request asks for.
func (c *Controller) Fill(e *gossipv1.Envelope, _ string, request *gossipv1.Envelope) {
	if request == nil {
		waiting := c.Queues.Waiting()
		e.UseWanted = waiting[:min(len(waiting), maxServices)]
		return
	}
	wanted := request.GetUseWanted()
	for _, service := range wanted[:min(len(wanted), maxServices)] {
		u := &gossipv1.ServiceUse{Service: service}
		for _, t := range c.Queues.Uses(service) {
			u.Teams = append(u.Teams, &gossipv1.TeamUse{Team: t.Team, Class: uint32(t.Class), Tokens: uint32(t.Rate)})
		}
		e.Use = append(e.Use, u)
	}
}

// Pushed does nothing: what a request asks for is in its answer.
func (c *Controller) Pushed(context.Context, *gossipv1.Envelope) {}

// Answered takes what a peer uses.
func (c *Controller) Answered(_ context.Context, _ time.Duration, e *gossipv1.Envelope) bool {
	for i, u := range e.GetUse() {
		if i == maxServices {
			break
		}
		c.Queues.HearUses(e.GetName(), u.GetService(), fromProto(u.GetTeams()))
	}
	return true
}

func fromProto(teams []*gossipv1.TeamUse) []fairqueue.Use {
	var list []fairqueue.Use
	for _, t := range teams[:min(len(teams), maxTeams)] {
		class := fairqueue.Class(t.GetClass())
		if class == fairqueue.Interactive || class == fairqueue.Rollout {
			list = append(list, fairqueue.Use{Team: t.GetTeam(), Class: class, Rate: float64(t.GetTokens())})
		}
	}
	return list
}
