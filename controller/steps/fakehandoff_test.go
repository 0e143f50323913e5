package steps_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/view"
)

// fakeHandoff is a Handoff that calls the instances directly. If enabled is set, it
// assigns the steps of a model to the same instance, as HandoffByModel does.
type fakeHandoff struct {
	cluster *testCluster
	enabled bool
	// loseRequests drops the requests to other instances, and loseResponses drops
	// the responses to Adopt.
	loseRequests, loseResponses atomic.Bool
	// offers counts the TakeOver requests that reached other instances, and adopts the
	// Adopt requests.
	offers, adopts atomic.Int64
}

func (h *fakeHandoff) Runner(spec durable.Spec, members []view.Member) string {
	if !h.enabled {
		return ""
	}
	return steps.HandoffByModel{}.Runner(spec, members)
}

// process returns the process of a member that other instances reach, or nil.
func (cluster *testCluster) process(m view.Member) *instance {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	in := cluster.instances[m.Name]
	if in.unreachable.Load() || in.incarnation != m.Incarnation {
		return nil
	}
	return in
}

// isUnreachable reports whether an instance does not reach the others.
func (cluster *testCluster) isUnreachable(name string) bool {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	in := cluster.instances[name]
	return in != nil && in.unreachable.Load()
}

func (h *fakeHandoff) Alive(_ context.Context, m view.Member) (bool, error) {
	in := h.cluster.process(m)
	if in == nil {
		return false, errUnreachable
	}
	return !in.table.down.Load(), nil
}

func (h *fakeHandoff) TakeOver(ctx context.Context, m view.Member, step string, from steps.Owner, saved []durable.Saved) error {
	if !h.enabled || h.loseRequests.Load() {
		return errors.New("request lost")
	}
	if h.cluster.isUnreachable(from.Instance) {
		return errUnreachable
	}
	h.offers.Add(1)
	in := h.cluster.process(m)
	if in == nil {
		return errUnreachable
	}
	return in.TakeOver(ctx, step, from, saved)
}

func (h *fakeHandoff) Adopt(_ context.Context, m view.Member, step string) error {
	h.adopts.Add(1)
	if h.loseRequests.Load() {
		return errors.New("request lost")
	}
	in := h.cluster.process(m)
	if in == nil {
		return errUnreachable
	}
	err := in.Adopt(step, m.Incarnation)
	if h.loseResponses.Load() {
		time.Sleep(100 * time.Millisecond)
		return errors.New("response lost")
	}
	return err
}

var errUnreachable = errors.New("instance unreachable")
