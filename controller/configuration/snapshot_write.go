package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cumincove/cumincove/infra"
)

const (
	// snapshotPeriod is the time between two looks at whether a snapshot is
	// due. It is jittered, so that instances seldom write the same one.
	snapshotPeriod = 30 * time.Second
	// snapshotTimeout bounds one look.
	snapshotTimeout = 30 * time.Second
	// trimBatch is the number of log rows deleted in a transaction, and
	// trimBatches bounds the transactions of one look.
	trimBatch   = 200
	trimBatches = 50
	// trimPause is the time between two of these transactions.
	trimPause = 50 * time.Millisecond
)

// errPassed says that another instance wrote the row first.
var errPassed = errors.New("configuration: another snapshot was named first")

// runSnapshots writes snapshots when they are due, until ctx ends.
func (c *Controller) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(snapshotPeriod/2 + rand.N(snapshotPeriod)):
		}
		look, cancel := context.WithTimeout(ctx, snapshotTimeout)
		if err := c.snapshot(look); err != nil && ctx.Err() == nil {
			c.snapshotFailed("configuration snapshot not written", err)
		}
		cancel()
	}
}

// snapshot writes a snapshot of the installed State if one is due, and deletes
// what no start needs any more. It may be given up at any step: the object
// counts only once the row names it, and the next look begins anew.
func (c *Controller) snapshot(ctx context.Context) error {
	s := c.o.Views.Load().Config
	if c.o.Objects == nil || s.Version < c.snapshotSeen+c.snapshotEvery {
		return nil
	}
	old, rowVersion, err := c.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	c.snapshotSeen = old.Version
	if s.Version < old.Version+c.snapshotEvery {
		return nil
	}
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := c.putSnapshot(ctx, s.Version, data); err != nil {
		return err
	}
	next := snapshotRow{Version: s.Version, Previous: old.Version}
	err = c.raiseSnapshot(ctx, next, rowVersion)
	if errors.Is(err, errPassed) {
		return c.dropPassed(ctx, s.Version)
	}
	if err != nil {
		return err
	}
	c.snapshotSeen = next.Version
	c.o.Scope.Counter("snapshot_written").Inc(1)
	c.o.Log.Info("configuration snapshot written", "version", s.Version, "bytes", len(data))
	return c.trim(ctx, next, rowVersion+1, old.Previous)
}

// putSnapshot writes the object. An unknown outcome is resolved by reading.
func (c *Controller) putSnapshot(ctx context.Context, version uint64, data []byte) error {
	err := c.o.Objects.Put(ctx, snapshotName(version), data)
	if errors.Is(err, infra.ErrUnknownOutcome) {
		var found []byte
		found, err = c.o.Objects.Get(ctx, snapshotName(version))
		if err == nil && !bytes.Equal(found, data) {
			err = errBadSnapshot
		}
	}
	if err != nil {
		return fmt.Errorf("write snapshot %d: %w", version, err)
	}
	return nil
}

// raiseSnapshot writes the row if nobody else did. An unknown outcome is
// resolved by reading; while the row stands as it was, the request may still
// arrive, so the object must stay.
func (c *Controller) raiseSnapshot(ctx context.Context, next snapshotRow, rowVersion uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode snapshot row: %w", err)
	}
	err = c.o.Table.Commit(ctx, infra.PutIf(snapshotKey, rowVersion, value))
	if errors.Is(err, infra.ErrConflict) {
		return errPassed
	}
	if !errors.Is(err, infra.ErrUnknownOutcome) {
		return err
	}
	found, foundVersion, readErr := c.readSnapshotRow(ctx)
	switch {
	case readErr != nil:
		return errors.Join(err, readErr)
	case foundVersion == rowVersion:
		return err
	case foundVersion == rowVersion+1 && found == next:
		return nil
	default:
		return errPassed
	}
}

// dropPassed deletes an object that the row doesn't name and can't come to
// name: no snapshot is due so soon after the one it names.
func (c *Controller) dropPassed(ctx context.Context, version uint64) error {
	r, _, err := c.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	c.snapshotSeen = r.Version
	if version >= r.Version+c.snapshotEvery || version == r.Version || version == r.Previous {
		return nil
	}
	return c.o.Objects.Delete(ctx, snapshotName(version))
}

// trim deletes the log up to the last snapshot but one, once that was read
// back, and the object of the snapshot before. The transactions check the row,
// which ends them when a newer snapshot is named.
func (c *Controller) trim(ctx context.Context, r snapshotRow, rowVersion, before uint64) error {
	if r.Previous == 0 {
		return nil
	}
	if _, err := c.readSnapshot(ctx, r.Previous); err != nil {
		return fmt.Errorf("log not trimmed: %w", err)
	}
	if before > 0 {
		if err := c.o.Objects.Delete(ctx, snapshotName(before)); err != nil {
			return fmt.Errorf("delete snapshot %d: %w", before, err)
		}
	}
	for range trimBatches {
		rows, err := c.o.Table.List(ctx, logPrefix, "", trimBatch)
		if err != nil {
			return fmt.Errorf("read configuration log: %w", err)
		}
		ops := []infra.Op{infra.Check(snapshotKey, rowVersion)}
		for _, row := range rows {
			if row.Key <= logKey(r.Previous) {
				ops = append(ops, infra.Delete(row.Key))
			}
		}
		if len(ops) == 1 {
			return nil
		}
		if err := c.o.Table.Commit(ctx, ops...); err != nil {
			return fmt.Errorf("trim configuration log: %w", err)
		}
		if len(ops) <= trimBatch {
			return nil // the rows kept begin within this batch
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(trimPause):
		}
	}
	return nil
}
