package steps

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

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
)

const (
	// rowBytes bounds the value of a row, in bytes. It leaves space for the data
	// that the table adds to a row.
	rowBytes = 60_000
	// txBytes and txRows bound a transaction. A row that is written under a
	// condition counts twice towards the store's limit of 100.
	txBytes = 600_000
	txRows  = 45
	// page is the number of rows read at a time.
	page = 500
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
	rows, err := t.List(ctx, statePrefix, "", page)
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

// split splits a value into rows under a prefix: PREFIX/00, PREFIX/01 and so on.
// The first byte of a row is '+' if more rows follow, and '.' if it is the last
// one.
func split(prefix string, value []byte) []infra.Op {
	var ops []infra.Op
	for n := 0; ; n++ {
		part := value[:min(len(value), rowBytes)]
		value = value[len(part):]
		mark := byte('.')
		if len(value) > 0 {
			mark = '+'
		}
		row := append([]byte{mark}, part...)
		ops = append(ops, infra.PutIf(fmt.Sprintf("%s/%02d", prefix, n), 0, row))
		if len(value) == 0 {
			return ops
		}
	}
}

// join reassembles values that were split into rows. The last value is omitted if
// not all of its rows are in the list.
func join(rows []infra.Row) ([][]byte, error) {
	var values [][]byte
	var part []byte
	for _, row := range rows {
		if len(row.Value) == 0 {
			return nil, fmt.Errorf("row %s is empty", row.Key)
		}
		part = append(part, row.Value[1:]...)
		if row.Value[0] == '.' {
			values = append(values, part)
			part = nil
		}
	}
	return values, nil
}

// resultKey returns the prefix of the keys of a result's rows.
func resultKey(position int) string { return fmt.Sprintf("%s%06d", resultPrefix, position) }

// lastKeyBefore returns a key after those of all positions before the given one, and
// before its own.
func lastKeyBefore(position int) string {
	if position == 0 {
		return ""
	}
	return resultKey(position-1) + "/~"
}

// specOps returns the operations that write the samples. Each value is a JSON list
// of as many samples as fit into one row, or of a single larger one.
func specOps(tag string, samples []durable.Sample) ([]infra.Op, error) {
	var ops []infra.Op
	var list []json.RawMessage
	size := 0
	flush := func() {
		value, err := json.Marshal(list)
		if err != nil {
			panic("steps: encode samples: " + err.Error()) // each is valid JSON
		}
		ops = append(ops, split(fmt.Sprintf("%s%s/%05d", specPrefix, tag, len(ops)), value)...)
		list, size = nil, 0
	}
	for _, sample := range samples {
		value, err := json.Marshal(sample)
		if err != nil {
			return nil, fmt.Errorf("encode sample %s: %w", sample.ID, err)
		}
		if size > 0 && size+len(value) > rowBytes {
			flush()
		}
		list = append(list, value)
		size += len(value) + 1
	}
	flush()
	return ops, nil
}

// readSamples reads the samples of a step.
func readSamples(ctx context.Context, t infra.Table, h head) ([]durable.Sample, error) {
	rows, err := listAll(ctx, t, specPrefix+h.Tag+"/")
	if err != nil {
		return nil, err
	}
	values, err := join(rows)
	if err != nil {
		return nil, err
	}
	var samples []durable.Sample
	for _, value := range values {
		var list []durable.Sample
		if err := json.Unmarshal(value, &list); err != nil {
			return nil, fmt.Errorf("decode samples: %w", err)
		}
		samples = append(samples, list...)
	}
	if len(samples) != h.Total {
		return nil, fmt.Errorf("step %s has %d samples, want %d", h.ID, len(samples), h.Total)
	}
	return samples, nil
}

func listAll(ctx context.Context, t infra.Table, prefix string) ([]infra.Row, error) {
	var all []infra.Row
	for after := ""; ; {
		rows, err := t.List(ctx, prefix, after, page)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < page {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// readResults reads one page of results, starting at a position.
func readResults(ctx context.Context, t infra.Table, from int) ([]durable.Result, error) {
	rows, err := t.List(ctx, resultPrefix, lastKeyBefore(from), page)
	if err != nil {
		return nil, err
	}
	values, err := join(rows)
	if err != nil {
		return nil, err
	}
	results := make([]durable.Result, len(values))
	for i, value := range values {
		if err := json.Unmarshal(value, &results[i]); err != nil {
			return nil, fmt.Errorf("decode result %d: %w", from+i, err)
		}
	}
	return results, nil
}

// readAllResults reads all results.
func readAllResults(ctx context.Context, t infra.Table) ([]durable.Result, error) {
	var all []durable.Result
	for {
		list, err := readResults(ctx, t, len(all))
		if err != nil {
			return nil, err
		}
		if len(list) == 0 {
			return all, nil
		}
		all = append(all, list...)
	}
}

// readSaved reads the saved state of unfinished samples, and the versions of their
// rows by sample ID.
func readSaved(ctx context.Context, t infra.Table) ([]durable.Saved, map[string]uint64, error) {
	rows, err := listAll(ctx, t, savedPrefix)
	if err != nil {
		return nil, nil, err
	}
	var list []durable.Saved
	versions := map[string]uint64{}
	for _, row := range rows {
		var v durable.Saved
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return nil, nil, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		list = append(list, v)
		versions[v.ID] = row.Version
	}
	return list, versions, nil
}

// commitAll writes rows in several transactions if needed. It may be repeated: rows
// that already exist are not written again.
func commitAll(ctx context.Context, t infra.Table, ops []infra.Op) error {
	for len(ops) > 0 {
		n := numFittingOps(ops)
		err := t.Commit(ctx, ops[:n]...)
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return err
		}
		ops = ops[n:]
	}
	return nil
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
