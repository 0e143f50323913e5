package leases

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/lease"
)

// Options configures a Manager and its Runners.
type Options struct {
	Table infra.Table
	// Tables, if set, is used in place of Table: each duty's rows are in the part
	// of its name, so that duties don't slow each other down. Rows that are
	// written under a duty's fence must be in the same part.
	Tables infra.Tables
	Clock  clock.Clock
	// Holder is this instance's name. Incarnation must differ from that of
	// every earlier process of this name.
	Holder      string
	Incarnation uint64
	// Duration is the length of a lease's term.
	Duration time.Duration
	// MaxOperationTime is the longest time that a request to the platform may be in
	// flight after its last byte was written. Zero means a fifth of Duration.
	MaxOperationTime time.Duration
	// AllowSelfTakeover makes the Runner acquire a lease of an earlier process of
	// this name at once; see lease.Config.
	AllowSelfTakeover bool
	Log               *slog.Logger
	Metrics           tally.Scope
}

func (o Options) withDefaults() Options {
	if o.MaxOperationTime == 0 {
		o.MaxOperationTime = o.Duration / 5
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// callTimeout bounds one call to the table. It is shorter than the time between
// two renewals, so that a lost response leaves time for another attempt.
func (o Options) callTimeout() time.Duration { return o.Duration / 5 }

// minPause and maxPause bound the time between two steps of the machine.
func (o Options) minPause() time.Duration { return max(o.Duration/200, time.Millisecond) }
func (o Options) maxPause() time.Duration { return o.Duration / 5 }

func (o Options) idlePause() time.Duration { return 4 * o.Duration }

// margin is how long before the end of a term the contexts of operations end.
func (o Options) margin() time.Duration { return o.Duration / 20 }

// Runner takes part in one duty's lease.
type Runner struct {
	o     Options
	duty  Duty
	guard *lease.Guard
	log   *slog.Logger

	wake    chan struct{}
	mu      sync.Mutex
	machine *lease.Machine
	role    Role
	epoch   uint64 // of the last logged term, or 0 after its end
	// availableSince is when a call succeeded after one that failed, or when the
	// Runner was made. It is only valid while unavailable is false.
	availableSince time.Duration
	unavailable    bool

	acquired tally.Counter
	failed   tally.Counter
	held     tally.Gauge
	written  tally.Timer
}

// NewRunner returns a Runner that is not a candidate until Assign makes it one.
func NewRunner(o Options, d Duty) *Runner {
	o = o.withDefaults()
	if o.Tables != nil {
		o.Table = o.Tables.Part(d.String())
	}
	scope := o.Metrics.Tagged(map[string]string{"duty": d.Name, "data_centre": d.DataCentre})
	return &Runner{
		o:     o,
		duty:  d,
		wake:  make(chan struct{}, 1),
		guard: lease.NewGuard(o.Clock.Now, o.margin()),
		log:   o.Log.With("duty", d.String()),

		availableSince: o.Clock.Now(),
		machine: lease.New(lease.Config{
			Holder:            o.Holder,
			Incarnation:       o.Incarnation,
			Duration:          o.Duration,
			MaxOperationTime:  o.MaxOperationTime,
			AllowSelfTakeover: o.AllowSelfTakeover,
		}),
		acquired: scope.Counter("lease_acquired"),
		failed:   scope.Counter("lease_call_failed"),
		held:     scope.Gauge("lease_held"),
		written:  scope.Timer("lease_write"),
	}
}

// Duty returns the Runner's duty.
func (r *Runner) Duty() Duty { return r.duty }

// Table returns the table of the duty's rows, and of the rows written under its
// fence.
func (r *Runner) Table() infra.Table { return r.o.Table }

// Guard returns the guard of the duty's operations.
func (r *Runner) Guard() *lease.Guard { return r.guard }

// Holds reports whether this instance holds the lease now.
func (r *Runner) Holds() bool {
	_, err := r.guard.Term()
	return err == nil
}

// AvailableFor returns how long the lease's table has been available to this
// instance without an outage, as the calls for the lease showed. It is zero after a
// call that failed.
func (r *Runner) AvailableFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return 0
	}
	return r.o.Clock.Now() - r.availableSince
}

// recordAvailability records whether a call for the lease got an answer.
func (r *Runner) recordAvailability(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered && r.unavailable {
		r.availableSince = r.o.Clock.Now()
	}
	r.unavailable = !answered
}

// Role is the role of an instance in a duty.
type Role struct {
	// Candidate reports whether to acquire and keep the lease.
	Candidate bool
	// Preferred is the instance that should hold the lease; empty means the
	// current holder.
	Preferred string
	// Successor is the instance that gets the lease when this one stops.
	Successor string
}

// Assign replaces the Role.
func (r *Runner) Assign(role Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if role == r.role {
		return
	}
	r.role = role
	r.machine.SetCandidate(role.Candidate, role.Preferred)
	r.wakeLoop()
}

// wakeLoop makes Run step the machine at once.
func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run takes part in the lease until ctx is done. Then it hands the lease off to
// the successor, or releases it if the handoff takes longer than Duration.
func (r *Runner) Run(ctx context.Context) {
	r.loop(ctx, func() bool { return false })
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.o.Duration)
	defer cancel()
	r.locked(func(time.Duration) { r.machine.SetCandidate(r.role.Successor != "" && r.Holds(), r.role.Successor) })
	r.loop(stopCtx, func() bool { return !r.Holds() })
	r.locked(func(time.Duration) { r.machine.Release() })
	r.loop(stopCtx, r.idle)
}

// loop steps the machine until done returns true or ctx is done. Calls in
// progress end by their own timeout, so that the outcome of a renewal is not lost.
func (r *Runner) loop(ctx context.Context, done func() bool) {
	t := time.NewTimer(0)
	defer t.Stop()
	for ctx.Err() == nil && !done() {
		r.step(context.WithoutCancel(ctx))
		t.Reset(r.pause())
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-r.wake:
		}
	}
}

// pause returns the time to the next step of the machine. The machine is also
// stepped at the end of a term, to log it. A machine that only waits for another
// Role is stepped at long intervals, since Assign wakes the loop.
func (r *Runner) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	pause := r.machine.Next() - now
	if t := r.machine.Term(); t.Valid(now) {
		pause = min(pause, t.Until-now)
	} else if r.machine.Next() == math.MaxInt64 {
		return r.o.idlePause()
	}
	return min(max(pause, r.o.minPause()), r.o.maxPause())
}

func (r *Runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Idle()
}

// locked calls f with mu held and publishes the resulting term.
func (r *Runner) locked(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	f(now)
	t := r.machine.Term()
	r.guard.Set(t)
	r.logTerm(t, now)
}

// logTerm logs and counts the start and the end of terms.
func (r *Runner) logTerm(t lease.Term, now time.Duration) {
	epoch := t.Epoch
	if !t.Valid(now) {
		epoch = 0
	}
	if epoch == r.epoch {
		return
	}
	if epoch == 0 {
		r.held.Update(0)
		r.log.Info("lease ended", "epoch", r.epoch)
	} else {
		r.held.Update(1)
		r.acquired.Inc(1)
		r.log.Info("lease acquired", "epoch", epoch)
	}
	r.epoch = epoch
}

// step runs the actions that the machine returns, one call at a time.
func (r *Runner) step(ctx context.Context) {
	var actions []lease.Action
	r.locked(func(now time.Duration) { actions = r.machine.Tick(now) })
	for _, a := range actions {
		e := r.do(ctx, a)
		r.locked(func(now time.Duration) {
			r.assertNoOtherHolder(now, e)
			r.machine.Step(now, e)
		})
	}
}

// assertNoOtherHolder asserts that no other instance acquired the lease while this
// instance holds it.
func (r *Runner) assertNoOtherHolder(now time.Duration, e lease.Event) {
	read, ok := e.(lease.ReadDone)
	t := r.machine.Term()
	if !ok || !t.Valid(now) {
		return
	}
	invariant.Check(r.duty.invariant(), read.Row.Epoch == t.Epoch,
		"%s: epoch %d is held here, the row contains %s with %d", r.duty, t.Epoch, read.Row.Holder, read.Row.Epoch)
}

func (r *Runner) do(ctx context.Context, a lease.Action) lease.Event {
	ctx, cancel := context.WithTimeout(ctx, r.o.callTimeout())
	defer cancel()
	switch a := a.(type) {
	case lease.Write:
		return lease.WriteDone{Outcome: r.write(ctx, a)}
	default:
		return r.read(ctx)
	}
}

func (r *Runner) read(ctx context.Context) lease.Event {
	got, err := r.o.Table.Get(ctx, r.duty.Key())
	answered := err == nil || errors.Is(err, infra.ErrNotFound)
	r.recordAvailability(answered)
	if errors.Is(err, infra.ErrNotFound) {
		return lease.ReadDone{}
	}
	if err != nil {
		r.recordFailure("read", err)
		return lease.ReadFailed{}
	}
	var row lease.Row
	if err := json.Unmarshal(got.Value, &row); err != nil {
		r.recordFailure("decode", err)
		return lease.ReadFailed{}
	}
	return lease.ReadDone{Row: row, Version: got.Version}
}

func (r *Runner) write(ctx context.Context, w lease.Write) effect.Outcome {
	value, err := json.Marshal(w.Row)
	if err != nil {
		r.recordFailure("encode", err)
		return effect.None
	}
	ops := []infra.Op{infra.PutIf(r.duty.Key(), w.IfVersion, value)}
	if w.Acquire {
		ops = append(ops, infra.PutIf(r.duty.FenceKey(), w.Row.Epoch-1, value))
	}
	start := r.o.Clock.Now()
	err = r.o.Table.Commit(ctx, ops...)
	r.written.Record(r.o.Clock.Now() - start)
	o := infra.EffectOf(err)
	failed := o == effect.None || o == effect.Unknown
	r.recordAvailability(!failed)
	if failed {
		r.recordFailure("write", err)
	}
	return o
}

func (r *Runner) recordFailure(call string, err error) {
	r.failed.Inc(1)
	r.log.Debug("lease call failed", "call", call, "error", err)
}
