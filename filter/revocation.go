package filter

import (
	"context"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/view"
)

const (
	// freshnessPollPeriod is the time between two checks of freshness.
	freshnessPollPeriod = 100 * time.Millisecond
	// maxStopPolls is the number of such checks, three seconds in total, within
	// which a stopped request must have ended. Checks are counted instead of time,
	// because a paused process makes no checks and runs no requests.
	maxStopPolls = 30
)

// RevocationsOptions configures Revocations.
type RevocationsOptions struct {
	Views     *view.Store
	Freshness Freshness
	Clock     clock.Clock
}

// Revocations calls back when a key becomes invalid, so that requests that use the
// key are stopped. While the configuration of this instance is not fresh, all keys
// count as invalid, since any of them may have been withdrawn in the meantime.
type Revocations struct {
	o    RevocationsOptions
	keys sync.Map // digest to *keyUsers
}

// keyUsers holds the callbacks of the requests that use one key.
type keyUsers struct {
	mu        sync.Mutex
	next      uint64
	callbacks map[uint64]func(cause error)
	// pollsSinceStop counts the checks since a request was stopped, by the ID of
	// its callback.
	pollsSinceStop map[uint64]int
}

// NewRevocations returns Revocations without callbacks. Run must be called for them
// to have an effect.
func NewRevocations(o RevocationsOptions) *Revocations {
	return &Revocations{o: o}
}

// validKey reports whether a key is valid for a team.
func validKey(v *view.View, digest, team string) bool {
	k, ok := v.KeyByDigest(digest)
	return ok && !k.Withdrawn && k.Team == team
}

// OnRevoked registers f, which is called once when the key has been withdrawn
// or removed or this instance is no longer fresh. The cause is a *code.Error.
// The caller calls stop to remove f, and checks the newest snapshot after
// OnRevoked returns, since the key may have been withdrawn before.
func (rv *Revocations) OnRevoked(digest string, f func(cause error)) (stop func()) {
	v, ok := rv.keys.Load(digest)
	if !ok {
		v, _ = rv.keys.LoadOrStore(digest, newKeyUsers())
	}
	u := v.(*keyUsers)
	u.mu.Lock()
	id := u.next
	u.next++
	u.callbacks[id] = f
	u.mu.Unlock()
	return func() {
		u.mu.Lock()
		delete(u.callbacks, id)
		delete(u.pollsSinceStop, id)
		u.mu.Unlock()
	}
}

// Run checks keys at each new snapshot and at least once per freshnessPollPeriod,
// until ctx ends.
func (rv *Revocations) Run(ctx context.Context) error {
	tick := time.NewTicker(freshnessPollPeriod)
	defer tick.Stop()
	for {
		changed := rv.o.Views.Changed()
		rv.sync(rv.o.Views.Load())
		select {
		case <-changed:
		case <-tick.C:
			rv.checkStopped()
		case <-ctx.Done():
			return nil
		}
	}
}

// sync revokes every key that is not valid in v. Entries of unused keys are not
// removed; the configuration bounds the number of valid keys.
func (rv *Revocations) sync(v *view.View) {
	fresh := rv.o.Freshness.Fresh(rv.o.Clock.Now())
	rv.keys.Range(func(digest, u any) bool {
		k, ok := v.KeyByDigest(digest.(string))
		switch {
		case !ok || k.Withdrawn:
			u.(*keyUsers).revoke(code.New(code.KeyWithdrawnRunning, ""))
		case !fresh:
			u.(*keyUsers).revoke(code.New(code.NotFresh, ""))
		}
		return true
	})
}

// checkStopped asserts that stopped requests end within maxStopPolls checks.
func (rv *Revocations) checkStopped() {
	rv.keys.Range(func(_, u any) bool {
		late := u.(*keyUsers).countLate()
		invariant.Check(invariant.WithdrawnKeyStops, late == 0, "%d requests still run with a key that is no longer valid", late)
		return true
	})
}

func newKeyUsers() *keyUsers {
	return &keyUsers{callbacks: map[uint64]func(error){}, pollsSinceStop: map[uint64]int{}}
}

// countLate counts one more check for each stopped request, and returns the
// number of those that reach maxStopPolls with it.
func (u *keyUsers) countLate() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	late := 0
	for id := range u.pollsSinceStop {
		if u.pollsSinceStop[id]++; u.pollsSinceStop[id] == maxStopPolls {
			late++
		}
	}
	return late
}

// revoke stops the requests that use the key. Each callback is called once.
func (u *keyUsers) revoke(cause error) {
	u.mu.Lock()
	callbacks := u.callbacks
	u.callbacks = map[uint64]func(error){}
	for id := range callbacks {
		u.pollsSinceStop[id] = 0
	}
	u.mu.Unlock()
	for _, f := range callbacks {
		f(cause)
	}
}
