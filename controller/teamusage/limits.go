package teamusage

import (
	"context"
	"time"

	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/limit"
)

// maxLimits bounds the number of teams in one message.
const maxLimits = 8

// LimitExchange adds requests to borrow, and the replies to them, to the messages that
// instances exchange. With these, instances lend each other unused parts of team
// limits. It implements membership.PayloadHandler.
type LimitExchange struct {
	// Shares has this instance's shares of the teams' limits.
	Shares *filter.TeamLimit
}

// Fill adds the requests to borrow from the peer to a request. To a reply it adds
// the results of the request's requests to borrow.
func (l *LimitExchange) Fill(e *gossipv1.Envelope, peer string, request *gossipv1.Envelope) {
	var list []filter.TeamBorrowRequest
	if request == nil {
		list = l.Shares.BorrowRequests(peer)
	} else {
		list = l.Shares.HandleBorrowRequests(peer, fromLimits(request))
	}
	for _, r := range list[:min(len(list), maxLimits)] {
		e.Limits = append(e.Limits, &gossipv1.LimitShare{
			Team: r.Team, Seq: r.Seq, Holds: uint32(r.Borrowed), Wants: uint32(r.Requested),
		})
	}
}

// HandlePush does nothing, since Fill handles the requests to borrow when it fills
// the reply.
func (l *LimitExchange) HandlePush(context.Context, *gossipv1.Envelope) {}

// HandleResponse handles the capacity that the peer lends, and always returns true.
func (l *LimitExchange) HandleResponse(_ context.Context, started time.Duration, e *gossipv1.Envelope) bool {
	l.Shares.HandleGrants(started, e.GetName(), fromLimits(e))
	return true
}

func fromLimits(e *gossipv1.Envelope) []filter.TeamBorrowRequest {
	limits := e.GetLimits()
	var list []filter.TeamBorrowRequest
	for _, s := range limits[:min(len(limits), maxLimits)] {
		list = append(list, filter.TeamBorrowRequest{
			Team: s.GetTeam(), BorrowRequest: limit.BorrowRequest{Seq: s.GetSeq(), Borrowed: int(s.GetHolds()), Requested: int(s.GetWants())},
		})
	}
	return list
}
