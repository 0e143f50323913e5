package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// GetJSON decodes a row into v and returns the row's version. If the row does
// not exist, it returns version zero and leaves v unchanged.
func GetJSON(ctx context.Context, t Table, key string, v any) (uint64, error) {
	row, err := t.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return 0, fmt.Errorf("decode %s: %w", key, err)
	}
	return row.Version, nil
}

// PutJSON returns an Op like PutIf that writes v as JSON. It panics if v cannot
// be encoded, so v must be of a type that always can.
func PutJSON(key string, version uint64, v any) Op {
	value, err := json.Marshal(v)
	if err != nil {
		panic("infra: encode " + key + ": " + err.Error())
	}
	return PutIf(key, version, value)
}
