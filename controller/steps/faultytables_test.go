package steps_test

import (
	"context"
	"encoding/base64"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

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
	// limit, if set, limits the calls per second.
	limit atomic.Pointer[rate.Limiter]
	// slow is the delay of reads, in nanoseconds.
	slow atomic.Int64
	// interceptCommit, if set, is called instead of executing a transaction. It can
	// execute the transaction with commit. If it returns errPassThrough, the
	// transaction is executed as usual.
	interceptCommit atomic.Pointer[func(commit func()) error]
}

func (f *faultyTables) limitCalls(perSecond int) {
	f.limit.Store(rate.NewLimiter(rate.Limit(perSecond), perSecond/10))
}

// wait waits until the limit allows a call.
func (f *faultyTables) wait(ctx context.Context) error {
	l := f.limit.Load()
	if l == nil || l.Wait(ctx) == nil {
		return nil
	}
	return infra.ErrUnavailable
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
	if err := t.faults.wait(ctx); err != nil {
		return nil, err
	}
	rows, err := t.Table.List(ctx, prefix, after, limit)
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	calls := 1 + size/maxCallBytes // the store's responses are limited
	select {
	case <-time.After(time.Duration(calls) * time.Duration(t.faults.slow.Load())):
		return rows, err
	case <-ctx.Done():
		return nil, infra.ErrUnavailable
	}
}

// Limits of the platform's store: the entries and the bytes of a transaction or a
// response, and the bytes of a row.
const (
	maxEntries   = 100
	maxCallBytes = 1_000_000
	maxRowBytes  = 64_000
)

// exceedsLimits reports whether the platform's store refuses a transaction. Its values
// are in base64.
func exceedsLimits(ops []infra.Op) bool {
	entries, size := 0, 0
	for _, op := range ops {
		if op.Kind == infra.OpPut && len(op.Value) > maxRowBytes {
			return true
		}
		entries++
		if op.Kind == infra.OpPut {
			entries++ // a condition and the row
		}
		size += len(op.Key) + base64.StdEncoding.EncodedLen(len(op.Value))
	}
	return entries > maxEntries || size > maxCallBytes
}

func (t *faultyTable) Commit(ctx context.Context, ops ...infra.Op) error {
	if exceedsLimits(ops) {
		return infra.ErrUnavailable
	}
	if err := t.faults.wait(ctx); err != nil {
		return err
	}
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
