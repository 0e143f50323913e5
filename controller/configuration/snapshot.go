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
	// snapshotEvery is the number of changes between two snapshots. No log row
	// that an instance less than this behind needs is ever deleted.
	snapshotEvery = 500
	// snapshotKey is the key of the row that names the newest snapshot, and
	// snapshotPrefix begins the names of the objects.
	snapshotKey    = "config/snapshot"
	snapshotPrefix = "config/snapshot/"
	// peerTries bounds the peers asked when the store no longer leads here.
	peerTries = 3
)

// errBadSnapshot says that an object is not the snapshot that its name promises.
var errBadSnapshot = errors.New("configuration: snapshot is damaged")

// snapshotRow is the value of the snapshot row. Version only ever rises; log
// rows above Previous are kept.
type snapshotRow struct {
	Version  uint64 `json:"version"`
	Previous uint64 `json:"previous"`
}

// snapshotObject is the content of a snapshot. It depends on the version alone,
// so writing it twice does no harm.
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
		return nil, fmt.Errorf("%w: holds version %d, not %d", errBadSnapshot, s.Version, version)
	}
	return s, nil
}

// readSnapshotRow returns the row and its version in the table, both zero when
// there is none.
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

// readUpTo returns the State that the store holds at version or later, and the
// changes read on the way. An instance that is far behind, or behind what the
// log reaches, begins with a snapshot.
func (c *Controller) readUpTo(ctx context.Context, cur *config.State, version uint64) (*config.State, []config.Change, error) {
	if version-cur.Version < c.snapshotEvery {
		s, changes, err := c.readLog(ctx, cur, version)
		if !errors.Is(err, config.ErrVersionGap) {
			return s, changes, err
		}
	}
	return c.readLog(ctx, c.fromSnapshot(ctx, cur), version)
}

// fromSnapshot returns the State of the newest snapshot that can be read, or
// cur if none is above it.
func (c *Controller) fromSnapshot(ctx context.Context, cur *config.State) *config.State {
	if c.o.Objects == nil {
		return cur
	}
	r, _, err := c.readSnapshotRow(ctx)
	if err != nil {
		c.snapshotFailed("configuration snapshot not read", err)
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
		c.snapshotFailed("configuration snapshot not read", err)
	}
	return cur
}

// fromPeer installs the State of a peer that is at version or above.
func (c *Controller) fromPeer(ctx context.Context, version uint64) bool {
	if c.l.Peers == nil {
		return false
	}
	tries := 0
	for name, m := range c.o.Views.Load().Members {
		if name == c.o.Self || m.ConfigVersion < version {
			continue
		}
		if tries++; tries > peerTries {
			break
		}
		if err := c.fetch(ctx, name); err != nil {
			c.o.Log.Warn("configuration not fetched", "peer", name, "version", version, "error", err)
		}
		if c.Version() >= version {
			return true
		}
	}
	return false
}

func (c *Controller) snapshotFailed(what string, err error) {
	c.o.Scope.Counter("snapshot_failed").Inc(1)
	c.o.Log.Warn(what, "error", err)
}
