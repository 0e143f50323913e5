package steps_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/infra"
)

// faultyTables is one instance's access to the store, with injected faults.
type faultyTables struct {
	infra.Tables
	down atomic.Bool
	// unknownWhenDown makes the outcome of a transaction unknown while the store is
	// down: the connection ended after the request was sent.
	unknownWhenDown atomic.Bool
	// stateDown makes reads of the rows of a step's state fail.
	stateDown atomic.Bool
	// slow is the delay of reads, in nanoseconds.
	slow atomic.Int64
	// interceptCommit, if set, is called instead of executing a transaction. It can
	// execute the transaction with commit. If it returns errPassThrough, the
	// transaction is executed as usual.
	interceptCommit atomic.Pointer[func(commit func()) error]
}

func (f *faultyTables) Part(name string) infra.Table { return &faultyTable{f.Tables.Part(name), f} }

func (f *faultyTables) Parts(ctx context.Context, after string, limit int) ([]string, error) {
	if f.down.Load() {
		return nil, infra.ErrUnavailable
	}
	return f.Tables.Parts(ctx, after, limit)
}

type faultyTable struct {
	infra.Table
	faults *faultyTables
}

func (t *faultyTable) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if t.faults.down.Load() || t.faults.stateDown.Load() && prefix == "state/" {
		return nil, infra.ErrUnavailable
	}
	time.Sleep(time.Duration(t.faults.slow.Load()))
	return t.Table.List(ctx, prefix, after, limit)
}

func (t *faultyTable) Commit(ctx context.Context, ops ...infra.Op) error {
	if t.faults.down.Load() && t.faults.unknownWhenDown.Load() {
		return infra.ErrUnknownOutcome
	}
	if t.faults.down.Load() {
		return infra.ErrUnavailable
	}
	if intercept := t.faults.interceptCommit.Load(); intercept != nil {
		err := (*intercept)(func() { _ = t.Table.Commit(context.WithoutCancel(ctx), ops...) })
		if !errors.Is(err, errPassThrough) {
			return err
		}
	}
	return t.Table.Commit(ctx, ops...)
}

// errPassThrough is returned by faultyTables.interceptCommit.
var errPassThrough = errors.New("pass through")
