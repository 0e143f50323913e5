package steps

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
)

// sumBytes is the size of a hash in head.Sums.
const sumBytes = 8

// errCorrupt is returned for samples that are not those that were stored.
var errCorrupt = errors.New("steps: the samples differ from those that were accepted")

// encodedSamples are the samples of a step as they are stored.
type encodedSamples struct {
	ops []infra.Op
	// sums has the hash of each value, see head.Sums.
	sums []byte
}

// encodeSamples returns the operations that write the samples. Each value is a JSON
// list of as many samples as fit into one row, or of a single larger one.
func encodeSamples(tag string, samples []durable.Sample) (encodedSamples, error) {
	var e encodedSamples
	var list []json.RawMessage
	size := 0
	flush := func() {
		value, err := json.Marshal(list)
		if err != nil {
			panic("steps: encode samples: " + err.Error()) // each is valid JSON
		}
		e.ops = append(e.ops, split(specPrefix+tag+"/"+sortable(len(e.ops), 5), value)...)
		e.sums = binary.BigEndian.AppendUint64(e.sums, xxhash.Sum64(value))
		list, size = nil, 0
	}
	for _, sample := range samples {
		value, err := json.Marshal(sample)
		if err != nil {
			return encodedSamples{}, fmt.Errorf("encode sample %s: %w", sample.ID, err)
		}
		if size > 0 && size+len(value) > rowBytes {
			flush()
		}
		list = append(list, value)
		size += len(value) + 1
	}
	flush()
	return e, nil
}

// sampleReader reads the samples of a step, one value at a time. After an error other
// than errCorrupt it continues where it was.
type sampleReader struct {
	head   head
	values *valueReader
	// sums are the hashes of the values that were not read yet, and read is the number
	// of samples that were read.
	sums []byte
	read int
}

func newSampleReader(t infra.Table, h head) *sampleReader {
	return &sampleReader{head: h, values: newValueReader(t, specPrefix+h.Tag+"/", ""), sums: h.Sums}
}

// next returns further samples, or io.EOF once all were read.
func (r *sampleReader) next(ctx context.Context) ([]durable.Sample, error) {
	v, err := r.values.next(ctx)
	if errors.Is(err, io.EOF) && (r.read != r.head.Total || len(r.sums) > 0) {
		return nil, fmt.Errorf("%w: step %s has %d samples, want %d", errCorrupt, r.head.ID, r.read, r.head.Total)
	}
	if err != nil {
		return nil, err
	}
	if err := r.checkSum(v); err != nil {
		return nil, err
	}
	var list []durable.Sample
	if err := json.Unmarshal(v.data, &list); err != nil {
		return nil, fmt.Errorf("%w: decode %s: %w", errCorrupt, v.prefix, err)
	}
	r.read += len(list)
	return list, nil
}

// checkSum returns an error if a value is not the next one that was stored.
func (r *sampleReader) checkSum(v value) error {
	if len(r.head.Sums) == 0 {
		return nil // an earlier version wrote the step
	}
	if len(r.sums) < sumBytes || binary.BigEndian.Uint64(r.sums) != xxhash.Sum64(v.data) {
		return fmt.Errorf("%w: %s", errCorrupt, v.prefix)
	}
	r.sums = r.sums[sumBytes:]
	return nil
}

// findSample reads the samples of a step up to the one with the given ID. It returns
// false if the step has no such sample.
func findSample(ctx context.Context, t infra.Table, h head, id string) (durable.Sample, bool, error) {
	r := newSampleReader(t, h)
	for {
		list, err := r.next(ctx)
		if errors.Is(err, io.EOF) {
			return durable.Sample{}, false, nil
		}
		if err != nil {
			return durable.Sample{}, false, err
		}
		for _, s := range list {
			if s.ID == id {
				return s, true, nil
			}
		}
	}
}
