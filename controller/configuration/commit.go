package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/freshness"
	"github.com/cumincove/cumincove/infra"
	"github.com/google/uuid"
)

const (
	// maxCommitAttempts bounds the attempts to commit a change that has no
	// expected version, when other changes are committed first.
	maxCommitAttempts = 8
	// maxConflictRows bounds the changes that the diff of a conflict covers.
	maxConflictRows = 20
)

// errSuperseded is returned when another change was committed first.
var errSuperseded = errors.New("configuration: another change was committed first")

// Commit makes a change durable and installs it at this instance. Its errors
// are code.VersionConflict with the diff, code.InvalidConfig,
// code.MemberChangePending, code.StoreDown and, when the store's response was
// lost and the outcome can't be determined, code.CommitUnknown.
func (c *Controller) Commit(ctx context.Context, who, what string, r api.ChangeRequest) (api.ChangeResponse, error) {
	for range maxCommitAttempts {
		resp, err := c.tryCommit(ctx, who, what, r)
		if !errors.Is(err, errSuperseded) {
			return resp, err
		}
		if r.Expected != nil {
			return api.ChangeResponse{}, c.conflict(ctx, *r.Expected)
		}
	}
	return api.ChangeResponse{}, code.New(code.VersionConflict, "lost against %d other changes", maxCommitAttempts)
}

func (c *Controller) tryCommit(ctx context.Context, who, what string, r api.ChangeRequest) (api.ChangeResponse, error) {
	if err := c.Sync(ctx); err != nil {
		return api.ChangeResponse{}, code.Wrap(code.StoreDown, err, "read configuration")
	}
	before := c.o.Views.Load().Config
	if r.Expected != nil && *r.Expected != before.Version {
		return api.ChangeResponse{}, errSuperseded
	}
	change := config.Change{Version: before.Version + 1, Put: r.Put, Delete: r.Delete}
	after, err := before.Apply(change)
	if err != nil {
		return api.ChangeResponse{}, code.Wrap(code.InvalidConfig, err, "%v", err)
	}
	if after.MembersChangedAt != before.MembersChangedAt {
		if after, change, err = c.checkMemberListChange(before, after, change); err != nil {
			return api.ChangeResponse{}, err
		}
	}
	diff := config.Diff(before, after)
	if r.DryRun || len(diff) == 0 {
		return api.ChangeResponse{Version: before.Version, Diff: diff}, nil
	}
	l := logRow{ChangeID: uuid.NewString(), Change: change}
	audit := api.AuditRow{
		Version: change.Version, Operator: who, Time: time.Now().UTC(), Action: what, Diff: diff, Outcome: "committed",
	}
	if err := c.write(ctx, l, audit); err != nil {
		return api.ChangeResponse{}, err
	}
	c.install(after, change)
	if c.l.Peers != nil {
		c.l.Peers.NotifyPeers()
	}
	return c.result(change.Version, diff), nil
}

func (c *Controller) result(version uint64, diff []string) api.ChangeResponse {
	return api.ChangeResponse{
		Version:   version,
		Committed: true,
		InForce:   c.InForce() >= version,
		Missing:   c.Missing(),
		Diff:      diff,
	}
}

// checkMemberListChange checks a change of the member list, and adds the pending
// changes to it. Majorities of consecutive lists must overlap, and the new list
// must include what a majority of the old one has received but the store does
// not have yet. Only an instance that is fresh by reports of a majority has all
// of that. A list whose majority the platform has removed may be replaced.
func (c *Controller) checkMemberListChange(before, after *config.State, change config.Change) (*config.State, config.Change, error) {
	c.updateFreshness()
	if len(before.Members) > 0 && !c.majorityUnlisted(before) {
		if !c.Fresh(c.o.Clock.Now()) {
			return nil, change, code.New(code.MemberChangePending, "no word from a majority of the member list")
		}
		err := freshness.CheckListChange(before.MemberNames(), after.MemberNames(), before.MembersChangedAt, c.InForce())
		if errors.Is(err, freshness.ErrListPending) {
			return nil, change, code.Wrap(code.MemberChangePending, err, "%v", err)
		}
		if err != nil {
			return nil, change, code.Wrap(code.InvalidConfig, err, "%v", err)
		}
	}
	if c.l.Pending != nil {
		change.Put.Keys = append(slices.Clone(change.Put.Keys), c.l.Pending().Keys...)
	}
	after, err := before.Apply(change)
	if err != nil {
		return nil, change, code.Wrap(code.InvalidConfig, err, "%v", err)
	}
	return after, change, nil
}

// conflict returns a code.VersionConflict error with the diffs of the changes
// committed after a version.
func (c *Controller) conflict(ctx context.Context, expected uint64) error {
	e := code.New(code.VersionConflict, "expected version %d, found %d", expected, c.Version())
	page, err := c.Audit(ctx, expected, maxConflictRows)
	if err != nil {
		return e // the diff is optional
	}
	for _, row := range page.Rows {
		e.Diff = append(e.Diff, row.Diff...)
	}
	return e
}

func (c *Controller) write(ctx context.Context, l logRow, a api.AuditRow) error {
	h, headRowVersion, err := c.readHead(ctx)
	if err != nil {
		return code.Wrap(code.StoreDown, err, "read configuration head")
	}
	if h.Version+1 != l.Change.Version {
		return errSuperseded
	}
	ops, err := commitOps(headRowVersion, l, a)
	if err != nil {
		return code.Wrap(code.Internal, err, "encode change")
	}
	err = c.o.Table.Commit(ctx, ops...)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, infra.ErrConflict):
		return errSuperseded
	case errors.Is(err, infra.ErrUnknownOutcome):
		return c.resolveUnknownOutcome(ctx, l, headRowVersion)
	default:
		return code.Wrap(code.StoreDown, err, "commit change")
	}
}

// resolveUnknownOutcome determines the outcome of a commit whose response was
// lost. The store may still receive the request, so the absence of its log row
// proves nothing. Rewriting the head row makes the request fail if it arrives
// later.
func (c *Controller) resolveUnknownOutcome(ctx context.Context, l logRow, headRowVersion uint64) error {
	value, err := json.Marshal(head{Version: l.Change.Version - 1})
	if err != nil {
		return code.Wrap(code.Internal, err, "encode head")
	}
	err = c.o.Table.Commit(ctx, infra.PutIf(headKey, headRowVersion, value))
	if err == nil {
		return code.New(code.StoreDown, "the change was lost on its way to the store")
	}
	row, err := c.o.Table.Get(ctx, logKey(l.Change.Version))
	if err != nil {
		return code.Wrap(code.CommitUnknown, err, "version %d", l.Change.Version)
	}
	var found logRow
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return code.Wrap(code.Internal, err, "decode %s", row.Key)
	}
	if found.ChangeID != l.ChangeID {
		return errSuperseded
	}
	return nil
}

// Audit returns up to limit audit rows after a version.
func (c *Controller) Audit(ctx context.Context, after uint64, limit int) (api.AuditPage, error) {
	rows, err := c.o.Table.List(ctx, auditPrefix, auditKey(after), limit)
	if err != nil {
		return api.AuditPage{}, code.Wrap(code.StoreDown, err, "read audit trail")
	}
	var page api.AuditPage
	for _, row := range rows {
		var a api.AuditRow
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return api.AuditPage{}, code.Wrap(code.Internal, err, "decode %s", row.Key)
		}
		page.Rows = append(page.Rows, a)
	}
	if len(rows) == limit {
		page.Next = page.Rows[limit-1].Version
	}
	return page, nil
}
