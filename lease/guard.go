package lease

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// Guard reports to the operations of a duty whether the lease is held. It is
// safe for concurrent use.
type Guard struct {
	now    func() time.Duration
	margin time.Duration
	term   atomic.Pointer[Term]
}

// NewGuard returns a Guard without a term. The now function returns boot time;
// margin is how long before the end of a term the contexts of operations end.
func NewGuard(now func() time.Duration, margin time.Duration) *Guard {
	g := &Guard{now: now, margin: margin}
	g.term.Store(&Term{})
	return g
}

// Set replaces the term.
func (g *Guard) Set(t Term) { g.term.Store(&t) }

// Term returns the current term, or ErrNotHeld when it has ended.
func (g *Guard) Term() (Term, error) {
	t := *g.term.Load()
	if !t.Valid(g.now()) {
		return Term{}, ErrNotHeld
	}
	return t, nil
}

// Check returns ErrNotHeld unless the lease is held now under the given epoch.
func (g *Guard) Check(epoch uint64) error {
	t, err := g.Term()
	if err != nil {
		return err
	}
	if t.Epoch != epoch {
		return fmt.Errorf("%w: epoch %d is over", ErrNotHeld, epoch)
	}
	return nil
}

// Context returns a context for an operation under the given epoch. The context
// ends the Guard's margin before the end of the current term, with ErrNotHeld
// as its cause. A later renewal does not extend it.
func (g *Guard) Context(parent context.Context, epoch uint64) (context.Context, context.CancelFunc, error) {
	t, err := g.Term()
	if err != nil {
		return nil, nil, err
	}
	left := t.Until - g.margin - g.now()
	if t.Epoch != epoch || left <= 0 {
		return nil, nil, ErrNotHeld
	}
	ctx, cancel := context.WithTimeoutCause(parent, left, ErrNotHeld)
	return ctx, cancel, nil
}
