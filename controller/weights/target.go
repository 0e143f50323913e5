package weights

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cumincove/cumincove/infra"
)

// targetPrefix starts the keys of the rows that hold the wanted versions.
const targetPrefix = "weights/target/"

// storeTimeout bounds a call of the store.
const storeTimeout = 5 * time.Second

// ErrOldVersion says that a newer version was published before.
var ErrOldVersion = errors.New("weights: a newer version was published")

// target is the value of a row.
type target struct {
	Version uint64 `json:"version"`
	Team    string `json:"team"`
}

// Targets are the wanted weight versions of services in the store.
type Targets struct {
	Table infra.Table
}

// Newest returns the version that was published last for the service; zero if
// there is none.
func (t Targets) Newest(ctx context.Context, service string) (uint64, error) {
	have, _, err := t.read(ctx, service)
	return have.Version, err
}

// Publish raises the wanted version of a service. Repeating it is harmless.
func (t Targets) Publish(ctx context.Context, service, team string, version uint64) error {
	for {
		have, row, err := t.read(ctx, service)
		if err != nil {
			return err
		}
		if have.Version == version {
			return nil
		}
		if have.Version > version {
			return ErrOldVersion
		}
		value, err := json.Marshal(target{Version: version, Team: team})
		if err != nil {
			return err
		}
		err = t.Table.Commit(ctx, infra.PutIf(targetPrefix+service, row, value))
		if !errors.Is(err, infra.ErrConflict) {
			return err
		}
	}
}

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
	var have target
	if err := json.Unmarshal(row.Value, &have); err != nil {
		return target{}, 0, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return have, row.Version, nil
}
