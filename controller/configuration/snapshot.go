package configuration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
)

const (
	// snapshotEvery is the minimum number of changes between two snapshots. An
	// instance that is fewer versions behind than this always finds the log rows
	// that it needs: they are never deleted.
	snapshotEvery = 500
	// snapshotKey is the key of the row that names the newest snapshot, and
	// snapshotPrefix is the prefix of the names of snapshot objects.
	snapshotKey    = "config/snapshot"
	snapshotPrefix = "config/snapshot/"
	// maxPeerAttempts bounds the number of peers that are queried when the store
	// no longer has the changes that this instance needs.
	maxPeerAttempts = 3
)

// errBadSnapshot is returned when an object is damaged or contains a version
// other than the one in its name.
var errBadSnapshot = errors.New("configuration: snapshot is damaged")

// snapshotRow is the value of the snapshot row. Version never decreases. Log
// rows above Previous are kept.
type snapshotRow struct {
	Version  uint64 `json:"version"`
	Previous uint64 `json:"previous"`
}

// snapshotObject is the content of a snapshot. It depends only on the version,
// so it may be written twice.
type snapshotObject struct {
	// SHA256 is the digest of State, in hexadecimal.
	SHA256 string          `json:"sha256"`
	State  json.RawMessage `json:"state"`
}

func snapshotName(version uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, version)
}

func encodeSnapshot(s *config.State) ([]byte, error) {
	state, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	sum := sha256.Sum256(state)
	return json.Marshal(snapshotObject{SHA256: hex.EncodeToString(sum[:]), State: state})
}

func decodeSnapshot(data []byte, version uint64) (*config.State, error) {
	var o snapshotObject
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadSnapshot, err)
	}
	if sum := sha256.Sum256(o.State); hex.EncodeToString(sum[:]) != o.SHA256 {
		return nil, fmt.Errorf("%w: digest differs", errBadSnapshot)
	}
	s := config.NewState()
	if err := json.Unmarshal(o.State, s); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadSnapshot, err)
	}
	if s.Version != version {
		return nil, fmt.Errorf("%w: contains version %d instead of %d", errBadSnapshot, s.Version, version)
	}
	return s, nil
}

// readSnapshotRow returns the row and its version in the table, both zero when
// the row does not exist.
func (c *Controller) readSnapshotRow(ctx context.Context) (snapshotRow, uint64, error) {
	row, err := c.o.Table.Get(ctx, snapshotKey)
	if errors.Is(err, infra.ErrNotFound) {
		return snapshotRow{}, 0, nil
	}
	if err != nil {
		return snapshotRow{}, 0, fmt.Errorf("read snapshot row: %w", err)
	}
	var r snapshotRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return snapshotRow{}, 0, fmt.Errorf("decode snapshot row: %w", err)
	}
	return r, row.Version, nil
}

func (c *Controller) readSnapshot(ctx context.Context, version uint64) (*config.State, error) {
	data, err := c.o.Objects.Get(ctx, snapshotName(version))
	if err != nil {
		return nil, fmt.Errorf("read snapshot %d: %w", version, err)
	}
	return decodeSnapshot(data, version)
}

// readUpTo returns the State at version, or at a later one if a newer snapshot
// exists, and the changes that were read from the log. It starts from a snapshot
// if cur is far behind, or if the log no longer contains the changes after cur.
func (c *Controller) readUpTo(ctx context.Context, cur *config.State, version uint64) (*config.State, []config.Change, error) {
	if version-cur.Version < c.snapshotEvery {
		s, changes, err := c.readLog(ctx, cur, version)
		if !errors.Is(err, config.ErrVersionGap) {
			return s, changes, err
		}
	}
	return c.readLog(ctx, c.loadSnapshot(ctx, cur), version)
}

// loadSnapshot returns the State of the newest readable snapshot, or cur if no
// readable snapshot has a higher version.
func (c *Controller) loadSnapshot(ctx context.Context, cur *config.State) *config.State {
	if c.o.Objects == nil {
		return cur
	}
	r, _, err := c.readSnapshotRow(ctx)
	if err != nil {
		c.reportSnapshotFailure("configuration snapshot not read", err)
		return cur
	}
	for _, version := range []uint64{r.Version, r.Previous} {
		if version <= cur.Version {
			break
		}
		s, err := c.readSnapshot(ctx, version)
		if err == nil {
			c.o.Scope.Counter("config_from_snapshot").Inc(1)
			return s
		}
		c.reportSnapshotFailure("configuration snapshot not read", err)
	}
	return cur
}

// fetchFromPeers installs the State of a peer whose version is at least version.
// It reports whether such a State is installed.
func (c *Controller) fetchFromPeers(ctx context.Context, version uint64) bool {
	if c.l.Peers == nil {
		return false
	}
	attempts := 0
	for name, m := range c.o.Views.Load().Members {
		if name == c.o.Self || m.ConfigVersion < version {
			continue
		}
		if attempts++; attempts > maxPeerAttempts {
			break
		}
		if err := c.fetchState(ctx, name); err != nil {
			c.o.Log.Warn("configuration not fetched", "peer", name, "version", version, "error", err)
		}
		if c.Version() >= version {
			return true
		}
	}
	return false
}

func (c *Controller) reportSnapshotFailure(what string, err error) {
	c.o.Scope.Counter("snapshot_failed").Inc(1)
	c.o.Log.Warn(what, "error", err)
}
