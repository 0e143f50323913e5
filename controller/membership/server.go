package membership

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/internal/pb/gossipv1/gossipv1connect"
)

// compressFrom is the minimum size of a compressed response, in bytes. A
// compressor needs more than 1 MB of memory; exchanges are small and are not
// compressed.
const compressFrom = 32 << 10

// server handles the requests of other instances.
type server struct {
	c     *Controller
	state func(after uint64) ([]byte, error)
}

// Handler returns the path and the handler for requests of other instances. The
// function state returns the configuration as JSON if its version is above after.
func (c *Controller) Handler(state func(after uint64) ([]byte, error)) (string, http.Handler) {
	return gossipv1connect.NewPeerServiceHandler(&server{c: c, state: state}, connect.WithCompressMinBytes(compressFrom))
}

// Exchange applies a peer's message and responds with the updates that the peer
// lacks.
func (s *server) Exchange(ctx context.Context, r *connect.Request[gossipv1.ExchangeRequest]) (*connect.Response[gossipv1.ExchangeResponse], error) {
	c := s.c
	e := r.Msg.GetEnvelope()
	c.mu.Lock()
	msg := c.node.HandleRequest(c.o.Clock.Now(), fromProto(e.GetName(), e.GetGossip()))
	c.mu.Unlock()
	for _, h := range c.handlers {
		h.HandlePush(ctx, e)
	}
	return connect.NewResponse(&gossipv1.ExchangeResponse{Envelope: c.envelope(msg, e.GetName(), e)}), nil
}

// State responds with this instance's configuration.
func (s *server) State(_ context.Context, r *connect.Request[gossipv1.StateRequest]) (*connect.Response[gossipv1.StateResponse], error) {
	data, err := s.state(r.Msg.GetAfter())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&gossipv1.StateResponse{State: data}), nil
}
