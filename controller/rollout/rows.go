package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
)

// Prefixes of the store's rows.
const (
	specPrefix  = "rollout/spec/"
	ownerPrefix = "rollout/owner/"
	batchPrefix = "rollout/batch/"
)

// listLimit is the number of rows that are read or deleted at once.
const listLimit = 50

// stepKey names a step.
type stepKey struct {
	team, id string
}

func (k stepKey) spec() string  { return specPrefix + k.team + "/" + k.id }
func (k stepKey) owner() string { return ownerPrefix + k.team + "/" + k.id }

func (k stepKey) batches() string { return batchPrefix + k.team + "/" + k.id + "/" }

func (k stepKey) batch(epoch, seq uint64) string {
	return fmt.Sprintf("%s%010d/%010d", k.batches(), epoch, seq)
}

// specRow is the value of a spec row.
type specRow struct {
	Spec rollout.Spec `json:"spec"`
	// KeyDigest is the digest of the key that the step was opened with.
	KeyDigest string `json:"key_digest,omitempty"`
}

// timeLeft returns the time from the opening of the step until it is due.
func (s specRow) timeLeft() time.Duration {
	if d := s.Spec.Deadline(); d > 0 {
		return d
	}
	return defaultTimeLeft
}

// ownerRow is the value of an owner row.
type ownerRow struct {
	Instance string `json:"instance"`
	// Epoch increases by one with each owner.
	Epoch uint64 `json:"epoch"`
	// Nonce distinguishes takeovers of the same epoch, so that an instance can
	// find out whether its own took effect after a response was lost.
	Nonce string `json:"nonce"`
}

// rows reads and writes the rows of steps.
type rows struct {
	table infra.Table
}

// read decodes a row and returns its version.
func (r rows) read(ctx context.Context, key string, out any) (uint64, error) {
	row, err := r.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, fmt.Errorf("decode %s: %w", key, err)
	}
	return row.Version, nil
}

// timeLeft returns the time until a step is due, as its last owner wrote it.
func (r rows) timeLeft(ctx context.Context, k stepKey, s specRow) (time.Duration, error) {
	var n needRow
	_, err := r.read(ctx, k.need(s.Spec.Service), &n)
	if errors.Is(err, infra.ErrNotFound) {
		return s.timeLeft(), nil
	}
	return time.Duration(n.LeftMillis) * time.Millisecond, err
}

// open creates a step and returns its owner row with the row's version. If a
// removed step of the same ID left an owner row, the epoch continues from
// there.
func (r rows) open(ctx context.Context, k stepKey, s specRow, o ownerRow) (ownerRow, uint64, error) {
	version, err := r.create(ctx, k, s, o, 0)
	if !errors.Is(err, infra.ErrConflict) {
		return o, version, err
	}
	var old ownerRow
	oldVersion, rerr := r.read(ctx, k.owner(), &old)
	if rerr != nil {
		return o, 0, rerr
	}
	o.Epoch = old.Epoch + 1
	version, err = r.create(ctx, k, s, o, oldVersion)
	return o, version, err
}

// create writes the spec row, which must not exist, the need row, and the owner
// row, which must have the version passed. It returns the owner row's new
// version.
func (r rows) create(ctx context.Context, k stepKey, s specRow, o ownerRow, version uint64) (uint64, error) {
	spec, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	owner, err := json.Marshal(o)
	if err != nil {
		return 0, err
	}
	need, err := json.Marshal(needRow{LeftMillis: s.timeLeft().Milliseconds()})
	if err != nil {
		return 0, err
	}
	err = r.table.Commit(ctx,
		infra.PutIf(k.spec(), 0, spec),
		infra.PutIf(k.owner(), version, owner),
		infra.Put(k.need(s.Spec.Service), need))
	return version + 1, err
}

// takeOver writes the owner row if it still has the version passed. After an
// unknown outcome it reads the row to find out whether the write took effect.
func (r rows) takeOver(ctx context.Context, k stepKey, version uint64, o ownerRow) error {
	value, err := json.Marshal(o)
	if err != nil {
		return err
	}
	err = r.table.Commit(ctx, infra.PutIf(k.owner(), version, value))
	if !errors.Is(err, infra.ErrUnknownOutcome) {
		return err
	}
	var current ownerRow
	if _, rerr := r.read(ctx, k.owner(), &current); rerr != nil {
		return rerr
	}
	if current != o {
		return infra.ErrConflict
	}
	return nil
}

// putBatch stores a batch if the owner row still has the version ownerVersion.
func (r rows) putBatch(ctx context.Context, k stepKey, ownerVersion, epoch uint64, b *ledger.Batch) error {
	value, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return r.table.Commit(ctx,
		infra.CheckVersion(k.owner(), ownerVersion),
		infra.Put(k.batch(epoch, b.Seq), value))
}

// eachBatch calls f for the step's batches in the order in which they were
// written.
func (r rows) eachBatch(ctx context.Context, k stepKey, f func(key string, b ledger.Batch) error) error {
	after := ""
	for {
		list, err := r.table.List(ctx, k.batches(), after, listLimit)
		if err != nil {
			return err
		}
		for _, row := range list {
			var b ledger.Batch
			if err := json.Unmarshal(row.Value, &b); err != nil {
				return fmt.Errorf("decode %s: %w", row.Key, err)
			}
			if err := f(row.Key, b); err != nil {
				return err
			}
			after = row.Key
		}
		if len(list) < listLimit {
			return nil
		}
	}
}

// remove deletes the step's batch, spec and need rows if the owner row still
// has the version ownerVersion. The owner row stays: if its version started from
// the beginning again, a former owner could write into a later step of the same
// ID.
func (r rows) remove(ctx context.Context, k stepKey, service string, ownerVersion uint64) error {
	fence := infra.CheckVersion(k.owner(), ownerVersion)
	var keys []string
	err := r.eachBatch(ctx, k, func(key string, _ ledger.Batch) error {
		keys = append(keys, key)
		return nil
	})
	if err != nil {
		return err
	}
	for part := range slices.Chunk(keys, listLimit) {
		ops := []infra.Op{fence}
		for _, key := range part {
			ops = append(ops, infra.Delete(key))
		}
		if err := r.table.Commit(ctx, ops...); err != nil {
			return err
		}
	}
	return r.table.Commit(ctx, fence, infra.Delete(k.spec()), infra.Delete(k.need(service)))
}

// steps lists the IDs of up to limit steps of a team that come after an ID.
func (r rows) steps(ctx context.Context, team, after string, limit int) ([]string, error) {
	prefix := specPrefix + team + "/"
	if after != "" {
		after = prefix + after
	}
	list, err := r.table.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(list))
	for _, row := range list {
		ids = append(ids, strings.TrimPrefix(row.Key, prefix))
	}
	return ids, nil
}
