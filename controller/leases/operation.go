package leases

import (
	"context"
	"sync"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
)

// Operation is an operation under a lease. The lease is not released while an
// operation is in progress.
type Operation struct {
	r      *Runner
	ctx    context.Context
	cancel context.CancelFunc
	epoch  uint64
	once   sync.Once
}

// Begin starts an operation, or returns lease.ErrNotHeld. The caller must call
// End on it.
func (r *Runner) Begin(parent context.Context) (*Operation, error) {
	var (
		op  *Operation
		err error
	)
	r.locked(func(now time.Duration) { op, err = r.begin(parent, now) })
	return op, err
}

func (r *Runner) begin(parent context.Context, now time.Duration) (*Operation, error) {
	t := r.machine.Term()
	if !t.Valid(now) {
		return nil, lease.ErrNotHeld
	}
	r.guard.Set(t)
	ctx, cancel, err := r.guard.Context(parent, t.Epoch)
	if err != nil {
		return nil, err
	}
	r.machine.Step(now, lease.OperationStarted{})
	op := &Operation{r: r, cancel: cancel, epoch: t.Epoch}
	op.ctx = infra.WithGuard(ctx, op.Check)
	return op, nil
}

// Context returns a context that ends a margin before the end of the term in
// which the operation started. Calls to the platform with it check the lease
// again when they write to the connection.
func (op *Operation) Context() context.Context { return op.ctx }

// Epoch returns the fencing token of the operation.
func (op *Operation) Epoch() uint64 { return op.epoch }

// Check returns lease.ErrNotHeld unless the operation may still write.
func (op *Operation) Check() error { return op.r.guard.Check(op.epoch) }

// End ends the operation. The argument responseReceived states that the receiver's
// response arrived, so that no request is in flight any more. Further calls do
// nothing.
func (op *Operation) End(responseReceived bool) {
	op.once.Do(func() {
		op.cancel()
		op.r.locked(func(now time.Duration) {
			op.r.machine.Step(now, lease.OperationEnded{ResponseReceived: responseReceived})
		})
		op.r.wakeLoop()
	})
}

// Do runs one call to the platform as an operation, or returns lease.ErrNotHeld.
func (r *Runner) Do(parent context.Context, call func(ctx context.Context, epoch uint64) error) error {
	op, err := r.Begin(parent)
	if err != nil {
		return err
	}
	err = call(op.Context(), op.Epoch())
	op.End(infra.OutcomeKnown(err))
	return err
}
