package weights

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cumincove/cumincove/infra"
)

// targetPrefix is the prefix of the keys of the rows with the desired versions.
const targetPrefix = "weights/target/"

// storeTimeout bounds one read from the store.
const storeTimeout = 5 * time.Second

// ErrOldVersion is returned when a newer version has already been published.
var ErrOldVersion = errors.New("weights: a newer version was published")

// target is the value of a row.
type target struct {
	Version uint64 `json:"version"`
	Team    string `json:"team"`
}

// Targets reads and writes the desired weight versions of services in the store.
type Targets struct {
	Table infra.Table
}

// NewestVersion returns the newest published version of a service, or zero if
// there is none.
func (t Targets) NewestVersion(ctx context.Context, service string) (uint64, error) {
	current, _, err := t.read(ctx, service)
	return current.Version, err
}

// Publish raises the desired version of a service. It does nothing if version is
// the desired one already, and returns ErrOldVersion if a newer one was published.
func (t Targets) Publish(ctx context.Context, service, team string, version uint64) error {
	for {
		current, rowVersion, err := t.read(ctx, service)
		if err != nil {
			return err
		}
		if current.Version == version {
			return nil
		}
		if current.Version > version {
			return ErrOldVersion
		}
		value, err := json.Marshal(target{Version: version, Team: team})
		if err != nil {
			return err
		}
		err = t.Table.Commit(ctx, infra.PutIf(targetPrefix+service, rowVersion, value))
		if !errors.Is(err, infra.ErrConflict) {
			return err
		}
	}
}

// read returns a service's target and the version of its row. Both are zero if
// there is no row.
func (t Targets) read(ctx context.Context, service string) (target, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := t.Table.Get(ctx, targetPrefix+service)
	if errors.Is(err, infra.ErrNotFound) {
		return target{}, 0, nil
	}
	if err != nil {
		return target{}, 0, err
	}
	var current target
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return target{}, 0, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return current, row.Version, nil
}
