package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1/rolloutv1connect"
)

const (
	// peerTimeout bounds a call to a step's owner, in addition to the time that
	// the owner may wait for samples. An owner that takes longer is replaced.
	peerTimeout = 2 * time.Second
	// maxPeerWait is the longest time that an owner waits for samples in one
	// call.
	maxPeerWait = time.Second
	// routeAttempts is the number of attempts of a call while a step changes
	// its owner, and routePause the pause between them.
	routeAttempts = 4
	routePause    = 100 * time.Millisecond
)

// call is a call for a step: local runs it if this instance owns the step, and
// remote sends it to an owner at another instance.
type call struct {
	local  func(ctx context.Context, w *worker) (any, error)
	remote func(ctx context.Context, peer rolloutv1connect.RolloutServiceClient) (*rolloutv1.Answer, error)
}

// result is a response body in JSON.
type result struct {
	body []byte
	// empty is set if a pull returned no samples and the step is not done.
	empty bool
}

// do executes a call at the step's owner. It makes this instance the owner if
// the step has none or its owner does not respond.
func (c *Controller) do(ctx context.Context, k stepKey, f call) (result, error) {
	var last error
	for range routeAttempts {
		if w := c.local(k); w != nil {
			r, err := encode(f.local(ctx, w))
			if !isCode(err, code.StepOwnerMoving) {
				return r, err
			}
			last = err
		}
		r, done, err := c.callRemoteOwner(ctx, k, f)
		if done {
			return r, err
		}
		w, err := c.takeOver(ctx, k)
		if err == nil {
			return encode(f.local(ctx, w))
		}
		last = err
		if !isCode(err, code.StepOwnerMoving) {
			return result{}, err
		}
		select {
		case <-ctx.Done():
			return result{}, ctx.Err()
		case <-time.After(routePause):
		}
	}
	return result{}, last
}

// callRemoteOwner sends the call to the step's owner at another instance. It
// returns false, so that the step can be taken over, if there is no such owner,
// or if the instance does not respond or does not own the step.
func (c *Controller) callRemoteOwner(ctx context.Context, k stepKey, f call) (result, bool, error) {
	name, err := c.owner(ctx, k)
	if err != nil {
		return result{}, true, err
	}
	m, ok := c.o.Views.Load().Members[name]
	if name == c.o.Self || !ok || m.PeerAddr == "" {
		return result{}, false, nil
	}
	peer := rolloutv1connect.NewRolloutServiceClient(c.o.Peers, "http://"+m.PeerAddr, outbound.Data())
	pctx, cancel := context.WithTimeout(ctx, maxPeerWait+peerTimeout)
	defer cancel()
	a, err := f.remote(pctx, peer)
	if ctx.Err() != nil {
		return result{}, true, ctx.Err()
	}
	if err != nil {
		c.o.Log.Info("owner of step does not respond", "step", k.id, "owner", name, "error", err)
		return result{}, false, nil
	}
	if a.GetNotOwner() {
		return result{}, false, nil
	}
	if fault := a.GetFault(); fault != nil {
		return result{}, true, fromFault(fault)
	}
	return result{body: a.GetBody(), empty: a.GetEmpty()}, true, nil
}

// owner reads the name of a step's owner. While the store is down, it returns
// the last observed owner, if there is one.
func (c *Controller) owner(ctx context.Context, k stepKey) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var o ownerRow
	_, err := c.rows.read(ctx, k.owner(), &o)
	if err == nil {
		c.rememberOwner(k, o.Instance)
		return o.Instance, nil
	}
	if errors.Is(err, infra.ErrNotFound) {
		return "", storeError(err)
	}
	if name, ok := c.lastOwner(k); ok {
		return name, nil
	}
	return "", storeError(err)
}

func encode(v any, err error) (result, error) {
	if err != nil {
		return result{}, err
	}
	body, err := json.Marshal(v)
	s, isSamples := v.(Samples)
	return result{body: body, empty: isSamples && len(s.Samples) == 0 && !s.Done}, err
}

func isCode(err error, n code.Number) bool {
	var ce *code.Error
	return errors.As(err, &ce) && ce.Number == n
}

// Peer serves calls from other instances.
type Peer struct {
	c *Controller
}

// Peer returns the service for calls from other instances.
func (c *Controller) Peer() *Peer { return &Peer{c} }

// Pull serves the pull of a trainer that is connected to another instance.
func (p *Peer) Pull(ctx context.Context, req *connect.Request[rolloutv1.PullRequest]) (*connect.Response[rolloutv1.Answer], error) {
	m := req.Msg
	w := p.c.workerIfOwner(ctx, stepKey{m.GetStep().GetTeam(), m.GetStep().GetId()})
	if w == nil {
		return connect.NewResponse(&rolloutv1.Answer{NotOwner: true}), nil
	}
	r, err := newPull(m.GetCursor(), int(m.GetMaxSamples()), m.GetVersion())
	if err != nil {
		return connect.NewResponse(&rolloutv1.Answer{Fault: toFault(err)}), nil
	}
	wait := min(time.Duration(m.GetWaitMs())*time.Millisecond, maxPeerWait)
	return respond(encode(w.pull(ctx, r, wait)))
}

// Progress returns the progress of a step for a trainer that is connected to
// another instance.
func (p *Peer) Progress(ctx context.Context, req *connect.Request[rolloutv1.ProgressRequest]) (*connect.Response[rolloutv1.Answer], error) {
	w := p.c.workerIfOwner(ctx, stepKey{req.Msg.GetStep().GetTeam(), req.Msg.GetStep().GetId()})
	if w == nil {
		return connect.NewResponse(&rolloutv1.Answer{NotOwner: true}), nil
	}
	return respond(encode(w.progress(), nil))
}

func respond(r result, err error) (*connect.Response[rolloutv1.Answer], error) {
	a := &rolloutv1.Answer{Body: r.body, Empty: r.empty}
	if err != nil {
		a = &rolloutv1.Answer{Fault: toFault(err)}
	}
	return connect.NewResponse(a), nil
}

func toFault(err error) *rolloutv1.Fault {
	var ce *code.Error
	if !errors.As(err, &ce) {
		ce = code.Wrap(code.Internal, err, "")
	}
	return &rolloutv1.Fault{
		Code:         int32(ce.Number),
		Detail:       ce.Detail,
		RetryAfterMs: ce.RetryAfter.Milliseconds(),
	}
}

func fromFault(f *rolloutv1.Fault) error {
	return &code.Error{
		Number:     code.Number(f.GetCode()),
		Detail:     f.GetDetail(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}
