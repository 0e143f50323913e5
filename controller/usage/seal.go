package usage

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/window"
)

// seal closes, freezes and reports windows if this instance holds the duty.
func (c *Controller) seal(ctx context.Context) {
	if !c.duty.Holds() {
		return
	}
	// After an outage, wait until the instances have written their totals, which
	// would otherwise be late.
	if c.availableFor() < 2*c.o.Flush {
		return
	}
	c.sealer.Wake()
	for range maxSteps {
		a := c.sealer.Next(time.Now().Unix())
		if a == nil {
			return
		}
		c.sealer.Step(c.sealCall(ctx, a))
	}
}

// availableFor returns the time since the last outage that this instance
// observed; see Options.StoreAvailableFor.
func (c *Controller) availableFor() time.Duration {
	if c.o.StoreAvailableFor != nil {
		return c.o.StoreAvailableFor()
	}
	return c.duty.AvailableFor()
}

func (c *Controller) sealCall(ctx context.Context, a any) any {
	var read any
	err := c.duty.Do(ctx, func(ctx context.Context, epoch uint64) (err error) {
		read, err = c.sealOperation(ctx, epoch, a)
		return err
	})
	outcome := c.recordOutcome("seal", err)
	switch {
	case !isRead(a):
		return window.Wrote{Outcome: outcome}
	case err != nil:
		return window.ReadFailed{}
	}
	return read
}

func isRead(a any) bool {
	switch a.(type) {
	case window.ReadState, window.ListParts, window.ReadFrozen:
		return true
	}
	return false
}

// sealOperation makes one call under the lease and returns what it read.
func (c *Controller) sealOperation(ctx context.Context, epoch uint64, a any) (any, error) {
	t, fence := c.duty.Table(), c.duty.Duty().Fence(epoch)
	switch a := a.(type) {
	case window.ReadState:
		return c.rows.readState(ctx, t)
	case window.ListParts:
		return c.rows.listParts(ctx, t, a.Window)
	case window.ReadFrozen:
		return c.rows.readFrozen(ctx, t, a.Window)
	case window.Close:
		if err := t.Commit(ctx, c.rows.close(a, fence)...); err != nil {
			return nil, err
		}
		return nil, c.rows.prune(ctx, t, a.Closed.Pruned, fence)
	case window.MoveCursor:
		return nil, t.Commit(ctx, c.rows.move(a, fence)...)
	default:
		return nil, c.report(ctx, epoch, a.(window.SendReport).Report)
	}
}

// report sends the report of a frozen window.
func (c *Controller) report(ctx context.Context, epoch uint64, r window.Report) error {
	unchanged := c.sent.recordAndCompare(r)
	invariant.Check(invariant.OneReporter, unchanged, "window %d was reported with other figures before", r.Window)
	if !unchanged {
		return infra.ErrUnavailable
	}
	msg := infra.UsageReport{Window: r.Window, Holder: c.o.Holder, Epoch: epoch, Teams: teamUsage(r.Teams)}
	err := c.o.Reports.Report(ctx, msg)
	if errors.Is(err, infra.ErrStaleEpoch) {
		invariant.Check(invariant.OneReporter, c.duty.Guard().Check(epoch) != nil,
			"window %d: report of epoch %d refused as stale while the lease is held", r.Window, epoch)
	}
	if err == nil {
		c.reports.Inc(1)
		c.late.Inc(int64(r.Teams.Sum().Late))
		c.o.Log.Info("usage window reported", "window", r.Window, "epoch", epoch, "teams", len(r.Teams))
	}
	return err
}

// sentWindows stores the reports of this process, for the last keepWindows
// windows.
type sentWindows map[int64]window.Totals

// recordAndCompare stores a report, and returns false if an earlier report of the
// window had other figures.
func (s sentWindows) recordAndCompare(r window.Report) bool {
	if before, ok := s[r.Window]; ok {
		return maps.Equal(before, r.Teams)
	}
	if len(s) >= keepWindows {
		delete(s, slices.Min(slices.Collect(maps.Keys(s))))
	}
	s[r.Window] = r.Teams
	return true
}
