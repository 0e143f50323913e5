package leases

import (
	"context"
	"sync"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
)

// Act is something done under a lease. While it is under way the lease is not
// released.
type Act struct {
	r      *Runner
	ctx    context.Context
	cancel context.CancelFunc
	epoch  uint64
	once   sync.Once
}

// Begin starts an act, or returns lease.ErrNotHeld. The caller must End it.
func (r *Runner) Begin(parent context.Context) (*Act, error) {
	var (
		a   *Act
		err error
	)
	r.locked(func(now time.Duration) { a, err = r.begin(parent, now) })
	return a, err
}

func (r *Runner) begin(parent context.Context, now time.Duration) (*Act, error) {
	t := r.m.Term()
	if !t.Valid(now) {
		return nil, lease.ErrNotHeld
	}
	r.guard.Set(t)
	ctx, cancel, err := r.guard.Context(parent, t.Epoch)
	if err != nil {
		return nil, err
	}
	r.m.Step(now, lease.ActBegan{})
	a := &Act{r: r, cancel: cancel, epoch: t.Epoch}
	a.ctx = infra.WithGuard(ctx, a.Check)
	return a, nil
}

// Context ends a margin before the term in which the act began. Calls to the
// platform with it check the lease again at the connection's write.
func (a *Act) Context() context.Context { return a.ctx }

// Epoch is the fencing number that the act carries.
func (a *Act) Epoch() uint64 { return a.epoch }

// Check returns lease.ErrNotHeld unless the act may still write.
func (a *Act) Check() error { return a.r.guard.Check(a.epoch) }

// End ends the act. Answered says that the receiver's answer arrived, so that
// nothing is under way any more. Further calls do nothing.
func (a *Act) End(answered bool) {
	a.once.Do(func() {
		a.cancel()
		a.r.locked(func(now time.Duration) {
			a.r.m.Step(now, lease.ActEnded{Answered: answered})
		})
		a.r.look()
	})
}

// Do runs one call to the platform as an act, or returns lease.ErrNotHeld.
func (r *Runner) Do(parent context.Context, call func(ctx context.Context, epoch uint64) error) error {
	a, err := r.Begin(parent)
	if err != nil {
		return err
	}
	err = call(a.Context(), a.Epoch())
	a.End(infra.Definite(err))
	return err
}
