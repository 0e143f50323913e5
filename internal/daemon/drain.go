package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/internal/invariant"
)

// leaveMargin is added to the time for which callers keep entries, because the
// other instances list this one until they receive its report that it leaves.
const leaveMargin = time.Second

// leave removes this instance from the entries that callers get. It still serves
// callers that have its address, and its responses request them to close the
// connection.
func (d *Daemon) leave() {
	if d.leaving.Swap(true) {
		return
	}
	d.deps.Log.Info("leaving", "in_flight", d.inFlight.Load())
	d.membership.NotifyPeers()
}

// addressExpiry returns how long after leave callers may still use this
// instance's address.
func (d *Daemon) addressExpiry() time.Duration {
	keep := time.Duration(d.deps.Settings.Timing.EntriesKeep)
	return time.Duration(float64(keep)*(1+keepJitter)) + leaveMargin
}

// shutdown starts to leave and waits until callers no longer use this instance's
// address, or until the context failed ends. It then hands off the steps, refuses
// new requests, waits for the requests in flight, and tells the other instances that
// it has left, before they fail to reach it.
func (d *Daemon) shutdown(failed context.Context, servers []*server) {
	d.leave()
	expiry := time.NewTimer(d.addressExpiry())
	defer expiry.Stop()
	select {
	case <-expiry.C:
	case <-failed.Done():
	}
	d.rollouts.steps.HandOff(context.Background())
	d.draining.Store(true)
	d.deps.Log.Info("shutting down", "in_flight", d.inFlight.Load())
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.deps.Settings.Limits.RequestTime))
	defer cancel()
	for _, s := range servers {
		if s.name == peersListener {
			d.membership.Leave(ctx)
		}
		err := s.stop(ctx)
		cut := errors.Is(err, context.DeadlineExceeded)
		invariant.Check(invariant.ShutdownCutsNone, !cut, "listener %s", s.name)
		if err != nil {
			d.deps.Log.Warn("shutdown cut connections", "listener", s.name, "error", err)
			s.http.Close()
		}
	}
}

// drain makes this instance leave without ending the process.
func (d *Daemon) drain(context.Context, noParams) (api.DrainResponse, error) {
	d.leave()
	time.AfterFunc(d.addressExpiry(), func() { d.draining.Store(true) })
	return api.DrainResponse{Draining: true, InFlight: int(d.inFlight.Load())}, nil
}
