package steps

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/pb/stepsv1"
	"github.com/cumincove/cumincove/internal/pb/stepsv1/stepsv1connect"
	"github.com/cumincove/cumincove/internal/rendezvous"
	"github.com/cumincove/cumincove/view"
)

const (
	// adoptTimeout bounds a call that hands off a step to another instance, and the
	// check whether an instance is alive. If a step's runner does not confirm
	// within this time, the instance that accepted the step runs it.
	adoptTimeout = 400 * time.Millisecond
	// takeOverTimeout bounds a call that requests a takeover.
	takeOverTimeout = 700 * time.Millisecond
	// samplesPerInstance is the number of samples below which all steps of a model
	// run at the same instance. Larger steps are distributed over several instances
	// by the steps' numbers.
	samplesPerInstance = 1024
)

// errNotAdopted is returned when an instance does not run a step that was handed
// off to it.
var errNotAdopted = errors.New("steps: the instance does not adopt steps")

// Handoff selects the instance that runs an accepted step, and hands steps off to
// other instances.
type Handoff interface {
	// Runner returns the name of the member that should run a step. An empty name
	// means the instance that accepted it.
	Runner(spec durable.Spec, members []view.Member) string
	// Adopt requests that a member runs a step whose rows name the member as the
	// owner. A nil error means that the member runs it.
	Adopt(ctx context.Context, m view.Member, step string) error
	// Alive reports whether a member accepts takeovers. The error is nil if the
	// member responds.
	Alive(ctx context.Context, m view.Member) (accepts bool, err error)
	// TakeOver requests that a member takes a step over from the owner from, and
	// sends the state of the step's samples. A nil error means that it has done so.
	TakeOver(ctx context.Context, m view.Member, step string, from Owner, saved []durable.Saved) error
}

// NoHandoff is a Handoff that does no handoffs: each instance runs the steps that
// it accepts.
type NoHandoff struct{}

// Runner implements Handoff.
func (NoHandoff) Runner(durable.Spec, []view.Member) string { return "" }

// Adopt implements Handoff.
func (NoHandoff) Adopt(context.Context, view.Member, string) error { return errNotAdopted }

// Alive implements Handoff.
func (NoHandoff) Alive(context.Context, view.Member) (bool, error) { return false, nil }

// TakeOver implements Handoff.
func (NoHandoff) TakeOver(context.Context, view.Member, string, Owner, []durable.Saved) error {
	return errNotAdopted
}

// HandoffByModel is a Handoff that assigns the steps of a model to the same
// instance, so that its connections to the endpoints are reused. Models with large
// steps use several instances, see samplesPerInstance. If an instance terminates,
// another one replaces it.
type HandoffByModel struct {
	// Peers is the client for calls to other instances.
	Peers *http.Client
}

// Runner implements Handoff.
func (HandoffByModel) Runner(spec durable.Spec, members []view.Member) string {
	var names []string
	for _, m := range members {
		if m.PeerAddr != "" {
			names = append(names, m.Name)
		}
	}
	instances := 1 + len(spec.Samples)/samplesPerInstance
	return rendezvous.Highest(fmt.Sprintf("%s/%s/%d", spec.Service, spec.Model, spec.Number%instances), names)
}

// Adopt implements Handoff.
func (h HandoffByModel) Adopt(ctx context.Context, m view.Member, step string) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	peer := stepsv1connect.NewStepServiceClient(h.Peers, "http://"+m.PeerAddr, outbound.Reply())
	_, err := peer.Adopt(ctx, connect.NewRequest(&stepsv1.AdoptRequest{Step: step, Incarnation: m.Incarnation}))
	return err
}

// Alive implements Handoff.
func (h HandoffByModel) Alive(ctx context.Context, m view.Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	peer := stepsv1connect.NewStepServiceClient(h.Peers, "http://"+m.PeerAddr, outbound.Reply())
	resp, err := peer.Alive(ctx, connect.NewRequest(&stepsv1.AliveRequest{Incarnation: m.Incarnation}))
	if err != nil {
		return false, err
	}
	return resp.Msg.GetTakesSteps(), nil
}

// TakeOver implements Handoff.
func (h HandoffByModel) TakeOver(ctx context.Context, m view.Member, step string, from Owner, saved []durable.Saved) error {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	data, err := json.Marshal(saved)
	if err != nil {
		return fmt.Errorf("encode samples: %w", err)
	}
	peer := stepsv1connect.NewStepServiceClient(h.Peers, "http://"+m.PeerAddr, outbound.Reply())
	_, err = peer.TakeOver(ctx, connect.NewRequest(&stepsv1.TakeOverRequest{
		Step: step, Owner: from.Instance, Incarnation: from.Incarnation, Saved: data,
	}))
	return err
}

// Adopt runs, in the background, a step whose rows name the given incarnation of
// this instance as the owner. If that fails, the next scan tries again.
func (c *Controller) Adopt(id string, incarnation uint64) error {
	if incarnation != c.o.Incarnation || !c.acceptsTakeOvers() || !c.o.MembersSynced() {
		return errNotAdopted
	}
	c.claimInBackground(id, Owner{})
	return nil
}

// acceptsTakeOvers reports whether other instances may transfer steps to this one.
func (c *Controller) acceptsTakeOvers() bool {
	return !c.isLeaving() && c.ctx.Err() == nil && !c.o.StoreUnavailable()
}

// TakeOver takes a step over from an owner that cannot reach the store, and
// continues from the sample state that the owner sent.
func (c *Controller) TakeOver(ctx context.Context, id string, from Owner, saved []durable.Saved) error {
	if !c.acceptsTakeOvers() || !c.tryLockStep(id) {
		return errNotAdopted
	}
	defer c.unlockStep(id)
	// The requesting owner's timeout can be shorter than the calls to a slow store,
	// so the takeover continues after the owner has cancelled its request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	t := c.table(id)
	s, err := c.readState(ctx, t)
	if err != nil {
		return err
	}
	c.recordOwner(id, s)
	running := c.runner(id) != nil
	switch {
	case s.owner != from && s.owner != c.self(): // this instance is the owner if the request is repeated
		return errNotAdopted
	case s.ended || running && s.owner == c.self():
		return nil
	case running: // the runner of an earlier ownership has not ended yet
		return errNotAdopted
	}
	return c.takeOver(ctx, id, t, s, saved)
}

// runnerOf returns the instance that should run a step that this instance accepts.
func (c *Controller) runnerOf(spec durable.Spec) view.Member {
	v := c.o.Views.Load()
	if m, ok := v.Members[c.o.Handoff.Runner(spec, v.Eligible())]; ok && m.Name != c.o.Self {
		return m
	}
	return view.Member{Name: c.o.Self, Incarnation: c.o.Incarnation}
}

// handOffAccepted hands off a step that this instance accepted to its runner, or
// runs the step here if the runner does not confirm that it runs it.
func (c *Controller) handOffAccepted(to view.Member, id string) {
	began := c.o.Clock.Now()
	err := c.o.Handoff.Adopt(c.ctx, to, id)
	c.o.Log.Info("step handed off to its runner", "step", id, "to", to.Name, "incarnation", to.Incarnation,
		"took", c.o.Clock.Now()-began, "error", err)
	if err == nil {
		return
	}
	var pause backoff
	for !c.runInsteadOf(Owner{to.Name, to.Incarnation}, id) && pause.wait(c.ctx) == nil {
	}
}

// runInsteadOf takes a step over from the instance that it was handed off to. It
// reports whether nothing is left to do: the step runs here, has ended, or has
// another owner.
func (c *Controller) runInsteadOf(to Owner, id string) bool {
	if c.runner(id) != nil {
		return true
	}
	if !c.tryLockStep(id) {
		return false
	}
	defer c.unlockStep(id)
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	t := c.table(id)
	s, err := c.readState(ctx, t)
	switch {
	case err != nil:
		c.o.Log.Debug("step not read", "step", id, "error", err)
		return false
	case s.ended || s.owner != to && s.owner != c.self(): // this instance is the owner if a response was lost
		c.o.Log.Info("step has ended or has another owner", "step", id, "owner", s.owner.Instance, "ended", s.ended)
		return true
	}
	return c.takeOver(ctx, id, t, s, nil) == nil
}
