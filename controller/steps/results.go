package steps

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
)

// separateText is the text of a result that does not fit into the transaction of its
// batch. It is stored under Prefix before the result. Earlier versions cannot decode
// the result, and so do not return it.
type separateText struct {
	Prefix string `json:"prefix"`
	Bytes  int    `json:"bytes"`
	// Sum is the xxHash64 of the text.
	Sum uint64 `json:"sum,string"`
}

// separateResult is a result with a separateText.
type separateResult struct {
	durable.Result
	Text separateText `json:"text"`
}

// encodedBatch has the operations that write a batch. The texts are written first, in
// any number of transactions, and the results in one.
type encodedBatch struct{ texts, results []infra.Op }

// encodeBatch encodes a batch of an owner whose row has the given version. No other
// owner writes the same texts.
func encodeBatch(b *durable.Batch, ownerVersion uint64) (encodedBatch, error) {
	var e encodedBatch
	size := 0
	for i, r := range b.Results {
		position := b.Position + i
		value, err := json.Marshal(r)
		if err != nil {
			return encodedBatch{}, fmt.Errorf("encode result %s: %w", r.ID, err)
		}
		if size+len(value) > txBytes {
			prefix := fmt.Sprintf("%s%06d/%d", textPrefix, position, ownerVersion)
			for _, op := range split(prefix, []byte(r.Text)) {
				e.texts = append(e.texts, infra.Put(op.Key, op.Value))
			}
			text := separateText{prefix, len(r.Text), xxhash.Sum64String(r.Text)}
			if value, err = json.Marshal(separateResult{r, text}); err != nil {
				return encodedBatch{}, fmt.Errorf("encode result %s: %w", r.ID, err)
			}
		}
		size += len(value)
		e.results = append(e.results, split(resultKey(position), value)...)
	}
	return e, nil
}

// decodeResult decodes a result, and reads its text if that is stored separately.
func decodeResult(ctx context.Context, t infra.Table, value []byte) (durable.Result, error) {
	var stored struct {
		durable.Result
		Text json.RawMessage `json:"text"`
	}
	if err := json.Unmarshal(value, &stored); err != nil {
		return durable.Result{}, err
	}
	r := stored.Result
	switch {
	case len(stored.Text) == 0:
		return r, nil
	case stored.Text[0] != '{':
		return r, json.Unmarshal(stored.Text, &r.Text)
	}
	var text separateText
	if err := json.Unmarshal(stored.Text, &text); err != nil {
		return durable.Result{}, err
	}
	var err error
	r.Text, err = readText(ctx, t, text)
	return r, err
}

func readText(ctx context.Context, t infra.Table, text separateText) (string, error) {
	v, err := newValueReader(t, text.Prefix+"/", "").next(ctx)
	switch {
	case err != nil:
		return "", fmt.Errorf("read %s: %w", text.Prefix, err)
	case len(v.data) != text.Bytes || xxhash.Sum64(v.data) != text.Sum:
		return "", fmt.Errorf("%s differs from the text that was stored", text.Prefix)
	}
	return string(v.data), nil
}

// resultKey returns the prefix of the keys of a result's rows.
func resultKey(position int) string { return resultPrefix + sortable(position, 6) }

// lastKeyBefore returns a key after those of all positions before the given one, and
// before its own.
func lastKeyBefore(position int) string {
	if position == 0 {
		return ""
	}
	return resultKey(position-1) + "/~"
}

// readResults reads results, starting at a position: about a page of them, and none
// only if there are none.
func readResults(ctx context.Context, t infra.Table, from int) ([]durable.Result, error) {
	var results []durable.Result
	values := newValueReader(t, resultPrefix, lastKeyBefore(from))
	for size := 0; size < pageBytes; {
		v, err := values.next(ctx)
		if errors.Is(err, io.EOF) || err != nil && len(results) > 0 {
			break
		}
		if err != nil {
			return nil, err
		}
		if v.prefix != resultKey(from+len(results)) {
			return nil, fmt.Errorf("found %s, want %s", v.prefix, resultKey(from+len(results)))
		}
		r, err := decodeResult(ctx, t, v.data)
		if err != nil && len(results) > 0 {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", v.prefix, err)
		}
		results = append(results, r)
		size += max(len(v.data), len(r.Text))
	}
	return results, nil
}

// readAllResults reads all results.
func readAllResults(ctx context.Context, t infra.Table) ([]durable.Result, error) {
	var all []durable.Result
	for {
		list, err := readResults(ctx, t, len(all))
		if err != nil || len(list) == 0 {
			return all, err
		}
		all = append(all, list...)
	}
}
