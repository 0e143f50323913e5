package steps

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
)

// Keys of a step's rows.
const (
	statePrefix  = "state/"
	headKey      = "state/head"
	ownerKey     = "state/owner"
	endKey       = "state/end"
	specPrefix   = "spec/"
	resultPrefix = "result/"
	savedPrefix  = "saved/"
	textPrefix   = "text/"
)

const (
	// rowBytes bounds the value of a row, in bytes. It leaves space for the data
	// that the table adds to a row.
	rowBytes = 60_000
	// txBytes and txRows bound a transaction. A row that is written under a
	// condition counts twice towards the store's limit of 100.
	txBytes = 600_000
	txRows  = 45
)

// head is the value of the row under headKey.
type head struct {
	durable.Spec
	// Refused means that the step was refused.
	Refused bool `json:"refused,omitempty"`
	// Tag is the tag in the keys of the samples' rows, which differs between
	// submissions, and Total is the number of samples.
	Tag   string `json:"tag"`
	Total int    `json:"total"`
	// Sums has the xxHash64 of each value of the samples, 8 bytes each in big-endian
	// order. It is empty if an earlier version wrote the step.
	Sums []byte `json:"sums,omitempty"`
}

// Owner is the value of the row under ownerKey: the instance that runs a step. An
// empty Instance means that the step has no owner.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// state contains the values of the rows under statePrefix.
type state struct {
	head         head
	headVersion  uint64
	owner        Owner
	ownerVersion uint64
	ended        bool
}

// accepted reports whether the step is stored and was not refused.
func (s state) accepted() bool { return s.headVersion > 0 && !s.head.Refused }

func readState(ctx context.Context, t infra.Table) (state, error) {
	rows, err := t.List(ctx, statePrefix, "", maxPage)
	if err != nil {
		return state{}, err
	}
	var s state
	for _, row := range rows {
		switch row.Key {
		case headKey:
			s.headVersion = row.Version
			err = json.Unmarshal(row.Value, &s.head)
		case ownerKey:
			s.ownerVersion = row.Version
			err = json.Unmarshal(row.Value, &s.owner)
		case endKey:
			s.ended = true
		}
		if err != nil {
			return state{}, fmt.Errorf("decode %s: %w", row.Key, err)
		}
	}
	return s, nil
}

func listAll(ctx context.Context, t infra.Table, prefix string) ([]infra.Row, error) {
	var all []infra.Row
	for r, more := newRowReader(t, prefix, ""), true; more; {
		var rows []infra.Row
		var err error
		rows, more, err = r.page(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

// readSaved reads the saved state of unfinished samples, and the versions of their
// rows by sample ID. State that cannot be decoded is omitted: its sample starts anew.
func readSaved(ctx context.Context, t infra.Table) ([]durable.Saved, map[string]uint64, error) {
	rows, err := listAll(ctx, t, savedPrefix)
	if err != nil {
		return nil, nil, err
	}
	var list []durable.Saved
	versions := map[string]uint64{}
	for _, row := range rows {
		versions[strings.TrimPrefix(row.Key, savedPrefix)] = row.Version
		var v durable.Saved
		if json.Unmarshal(row.Value, &v) == nil {
			list = append(list, v)
		}
	}
	return list, versions, nil
}

// commitAll writes rows in several transactions if needed, each of which may take
// callTimeout. It may be repeated: rows that already exist are not written again.
func commitAll(ctx context.Context, t infra.Table, ops []infra.Op) error {
	for len(ops) > 0 {
		n := numFittingOps(ops)
		err := commit(ctx, t, ops[:n])
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return err
		}
		ops = ops[n:]
	}
	return nil
}

func commit(ctx context.Context, t infra.Table, ops []infra.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.Commit(ctx, ops...)
}

// numFittingOps returns the number of leading ops that fit into a transaction, at
// least one.
func numFittingOps(ops []infra.Op) int {
	size := 0
	for n, op := range ops {
		size += len(op.Value)
		if n > 0 && (n >= txRows || size > txBytes) {
			return n
		}
	}
	return len(ops)
}
