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
	"github.com/cumincove/cumincove/internal/pb/stepsv1"
	"github.com/cumincove/cumincove/internal/pb/stepsv1/stepsv1connect"
	"github.com/cumincove/cumincove/view"
)

const (
	// adoptTimeout bounds the wait for another instance to say that it runs a
	// step. Without its word the one that accepted the step runs it.
	adoptTimeout = 400 * time.Millisecond
	// takeOverTimeout bounds the wait for another instance to take a step over.
	takeOverTimeout = 700 * time.Millisecond
	// samplesEach is how many samples of a step one instance runs; the steps of a
	// model with more go to several instances by turns.
	samplesEach = 1024
)

// errNotAdopted says that an instance does not run a step that was handed to it.
var errNotAdopted = errors.New("steps: the instance does not adopt steps")

// Hand decides which instance runs a step that another one accepted, and hands it
// over.
type Hand interface {
	// Runner names the instance that is to run a step, one of members; empty is
	// the one that accepted it.
	Runner(spec durable.Spec, members []view.Member) string
	// Adopt tells it to. Nil means that it does.
	Adopt(ctx context.Context, m view.Member, step string) error
	// Alive returns nil if an instance answers, and whether it takes steps over.
	Alive(ctx context.Context, m view.Member) (takes bool, err error)
	// TakeOver asks an instance to take a step over from this one, with what has
	// come of its samples. Nil means that it has.
	TakeOver(ctx context.Context, m view.Member, step string, from Owner, saved []durable.Saved) error
}

// Kept is the Hand of instances that run what they accept.
type Kept struct{}

// Runner implements Hand.
func (Kept) Runner(durable.Spec, []view.Member) string { return "" }

// Adopt implements Hand.
func (Kept) Adopt(context.Context, view.Member, string) error { return errNotAdopted }

// Alive implements Hand.
func (Kept) Alive(context.Context, view.Member) (bool, error) { return false, nil }

// TakeOver implements Hand.
func (Kept) TakeOver(context.Context, view.Member, string, Owner, []durable.Saved) error {
	return errNotAdopted
}

// ByModel is the Hand that has the steps of a model run by the same instance, so
// that its connections to the endpoints are in use again and again. Another
// instance takes its place when it goes.
type ByModel struct {
	// Peers speaks to other instances.
	Peers *http.Client
}

// Runner implements Hand.
func (ByModel) Runner(spec durable.Spec, members []view.Member) string {
	var names []string
	for _, m := range members {
		if m.PeerAddr != "" {
			names = append(names, m.Name)
		}
	}
	turns := 1 + len(spec.Samples)/samplesEach
	return firstBy(fmt.Sprintf("%s/%s/%d", spec.Service, spec.Model, spec.Number%turns), names)
}

// Adopt implements Hand.
func (h ByModel) Adopt(ctx context.Context, m view.Member, step string) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	peer := stepsv1connect.NewStepServiceClient(h.Peers, "http://"+m.PeerAddr)
	_, err := peer.Adopt(ctx, connect.NewRequest(&stepsv1.AdoptRequest{Step: step, Incarnation: m.Incarnation}))
	return err
}

// Alive implements Hand.
func (h ByModel) Alive(ctx context.Context, m view.Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	peer := stepsv1connect.NewStepServiceClient(h.Peers, "http://"+m.PeerAddr)
	resp, err := peer.Alive(ctx, connect.NewRequest(&stepsv1.AliveRequest{Incarnation: m.Incarnation}))
	if err != nil {
		return false, err
	}
	return resp.Msg.GetTakesSteps(), nil
}

// TakeOver implements Hand.
func (h ByModel) TakeOver(ctx context.Context, m view.Member, step string, from Owner, saved []durable.Saved) error {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	data, err := json.Marshal(saved)
	if err != nil {
		return fmt.Errorf("encode samples: %w", err)
	}
	peer := stepsv1connect.NewStepServiceClient(h.Peers, "http://"+m.PeerAddr)
	_, err = peer.TakeOver(ctx, connect.NewRequest(&stepsv1.TakeOverRequest{
		Step: step, Owner: from.Instance, Incarnation: from.Incarnation, Saved: data,
	}))
	return err
}

// Adopt runs a step whose rows name an incarnation of this instance as the owner,
// in the background. What fails then is left to the next look for steps.
func (c *Controller) Adopt(id string, incarnation uint64) error {
	if incarnation != c.o.Incarnation || !c.takesSteps() {
		return errNotAdopted
	}
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		defer cancel()
		c.claim(ctx, id, Owner{})
	})
	return nil
}

// takesSteps reports whether this instance may be given steps of others.
func (c *Controller) takesSteps() bool {
	return !c.isLeaving() && c.ctx.Err() == nil && !c.o.Away()
}

// TakeOver takes a step over from an owner that can't reach the store, and goes on
// from its word on the samples.
func (c *Controller) TakeOver(ctx context.Context, id string, from Owner, saved []durable.Saved) error {
	if !c.takesSteps() || !c.startAccepting(id) {
		return errNotAdopted
	}
	defer c.stopAccepting(id)
	// The asking owner waits for less time than a slow store takes.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	t := c.table(id)
	s, err := readState(ctx, t)
	switch {
	case err != nil:
		return err
	case s.owner != from && s.owner != c.self(): // it may be the second time
		return errNotAdopted
	case s.ended || c.runner(id) != nil:
		return nil
	}
	return c.takeOver(ctx, id, t, s, saved)
}

// runnerOf returns the instance that is to run a step which this one accepts.
func (c *Controller) runnerOf(spec durable.Spec) view.Member {
	v := c.o.Views.Load()
	if m, ok := v.Members[c.o.Hand.Runner(spec, v.Fitting())]; ok && m.Name != c.o.Self {
		return m
	}
	return view.Member{Name: c.o.Self, Incarnation: c.o.Incarnation}
}

// hand gives a step that was accepted here to its runner, or runs it here if that
// one does not answer.
func (c *Controller) hand(to view.Member, id string) {
	began := c.o.Clock.Now()
	err := c.o.Hand.Adopt(c.ctx, to, id)
	c.o.Log.Info("step handed to its runner", "step", id, "to", to.Name, "incarnation", to.Incarnation,
		"took", c.o.Clock.Now()-began, "error", err)
	if err == nil {
		return
	}
	var pause backoff
	for !c.runInPlaceOf(Owner{to.Name, to.Incarnation}, id) && pause.wait(c.ctx) == nil {
	}
}

// runInPlaceOf takes a step over from the owner that it was handed to, and reports
// whether there is nothing left to do: the step runs here, or is not that owner's.
func (c *Controller) runInPlaceOf(to Owner, id string) bool {
	if c.runner(id) != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	t := c.table(id)
	s, err := readState(ctx, t)
	switch {
	case err != nil:
		c.o.Log.Debug("step not read", "step", id, "error", err)
		return false
	case s.ended || s.owner != to && s.owner != c.self(): // ours if an answer was lost
		c.o.Log.Info("step left to others", "step", id, "owner", s.owner.Instance, "ended", s.ended)
		return true
	}
	return c.takeOver(ctx, id, t, s, nil) == nil
}
