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
	// snapshotPeriod is the mean time between two checks of whether a snapshot is
	// due. It is jittered, so that instances rarely write the same snapshot.
	snapshotPeriod = 30 * time.Second
	// snapshotTimeout bounds one check, including the writes.
	snapshotTimeout = 30 * time.Second
	// trimBatch is the number of log rows deleted in a transaction, and
	// trimBatches bounds the number of transactions per check.
	trimBatch   = 200
	trimBatches = 50
	// trimDelay is the time between two of these transactions.
	trimDelay = 50 * time.Millisecond
)

// errSnapshotSuperseded is returned when another instance wrote the snapshot row
// first.
var errSnapshotSuperseded = errors.New("configuration: another instance wrote the snapshot row first")

// runSnapshots writes snapshots when they are due, until ctx ends.
func (c *Controller) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(snapshotPeriod/2 + rand.N(snapshotPeriod)):
		}
		checkCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		if err := c.snapshot(checkCtx); err != nil && ctx.Err() == nil {
			c.reportSnapshotFailure("configuration snapshot not written", err)
		}
		cancel()
	}
}

// snapshot writes a snapshot of the installed State if one is due, and deletes
// the log rows and the snapshot that no instance needs to start. It may be
// interrupted at any step: an object is used only after the row names it, and
// the next check starts again.
func (c *Controller) snapshot(ctx context.Context) error {
	s := c.o.Views.Load().Config
	if c.o.Objects == nil || s.Version < c.newestSnapshot+c.snapshotEvery {
		return nil
	}
	old, rowVersion, err := c.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	c.newestSnapshot = old.Version
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
	err = c.writeSnapshotRow(ctx, next, rowVersion)
	if errors.Is(err, errSnapshotSuperseded) {
		return c.deleteSuperseded(ctx, s.Version)
	}
	if err != nil {
		return err
	}
	c.newestSnapshot = next.Version
	c.o.Scope.Counter("snapshot_written").Inc(1)
	c.o.Log.Info("configuration snapshot written", "version", s.Version, "bytes", len(data))
	return c.trimLog(ctx, next, rowVersion+1, old.Previous)
}

// putSnapshot writes the object. It resolves an unknown outcome by reading the
// object back.
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

// writeSnapshotRow writes the row if no other instance wrote it first, and
// returns errSnapshotSuperseded otherwise. It resolves an unknown outcome by
// reading the row back. If the row is unchanged, the request may still arrive at
// the store, so the outcome stays unknown and the object must be kept.
func (c *Controller) writeSnapshotRow(ctx context.Context, next snapshotRow, rowVersion uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode snapshot row: %w", err)
	}
	err = c.o.Table.Commit(ctx, infra.PutIf(snapshotKey, rowVersion, value))
	if errors.Is(err, infra.ErrConflict) {
		return errSnapshotSuperseded
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
		return errSnapshotSuperseded
	}
}

// deleteSuperseded deletes an object that the row doesn't name and will never
// name: its version is less than snapshotEvery above the snapshot that the row
// names, so no snapshot of it is due.
func (c *Controller) deleteSuperseded(ctx context.Context, version uint64) error {
	r, _, err := c.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	c.newestSnapshot = r.Version
	if version >= r.Version+c.snapshotEvery || version == r.Version || version == r.Previous {
		return nil
	}
	return c.o.Objects.Delete(ctx, snapshotName(version))
}

// trimLog deletes the log up to the previous snapshot, after reading that
// snapshot back, and deletes the object of the snapshot before it. The
// transactions check the snapshot row, so they fail after a newer snapshot is
// named.
func (c *Controller) trimLog(ctx context.Context, r snapshotRow, rowVersion, before uint64) error {
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
		ops := []infra.Op{infra.CheckVersion(snapshotKey, rowVersion)}
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
			return nil // this batch reaches the rows that are kept
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(trimDelay):
		}
	}
	return nil
}
