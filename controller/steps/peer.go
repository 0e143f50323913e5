package steps

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/internal/pb/stepsv1"
	"github.com/cumincove/cumincove/internal/pb/stepsv1/stepsv1connect"
)

// PeerHandler returns the path and the handler of the service for other instances.
func (c *Controller) PeerHandler() (string, http.Handler) {
	return stepsv1connect.NewStepServiceHandler(peer{c})
}

type peer struct{ c *Controller }

// Adopt starts a step in the background.
func (p peer) Adopt(_ context.Context, r *connect.Request[stepsv1.AdoptRequest]) (*connect.Response[stepsv1.AdoptResponse], error) {
	if err := p.c.Adopt(r.Msg.GetStep(), r.Msg.GetIncarnation()); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&stepsv1.AdoptResponse{}), nil
}

// Alive reports whether this instance accepts takeovers. It fails if the request is
// for another incarnation.
func (p peer) Alive(_ context.Context, r *connect.Request[stepsv1.AliveRequest]) (*connect.Response[stepsv1.AliveResponse], error) {
	if r.Msg.GetIncarnation() != p.c.o.Incarnation {
		return nil, connect.NewError(connect.CodeNotFound, errNotAdopted)
	}
	return connect.NewResponse(&stepsv1.AliveResponse{TakesSteps: p.c.acceptsTakeOvers()}), nil
}

// TakeOver takes a step over from an owner that requests it.
func (p peer) TakeOver(ctx context.Context, r *connect.Request[stepsv1.TakeOverRequest]) (*connect.Response[stepsv1.TakeOverResponse], error) {
	var saved []durable.Saved
	if err := json.Unmarshal(r.Msg.GetSaved(), &saved); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	from := Owner{Instance: r.Msg.GetOwner(), Incarnation: r.Msg.GetIncarnation()}
	if err := p.c.TakeOver(ctx, r.Msg.GetStep(), from, saved); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&stepsv1.TakeOverResponse{}), nil
}
