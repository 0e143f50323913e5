package steps

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cumincove/cumincove/infra"
)

// The first byte of a row of a value.
const (
	moreRows = '+'
	lastRow  = '.'
)

const (
	// minPage and maxPage bound the number of rows read at a time, and pageBytes is
	// about how many bytes these rows have. The store returns at most 1 MB per call.
	minPage   = 16
	maxPage   = 500
	pageBytes = 900_000
	// maxValueRows bounds the rows of a value, far above those of the largest body.
	maxValueRows = 10_000
)

// errIncomplete is returned for a value without all of its rows.
var errIncomplete = errors.New("steps: rows of a value are missing")

// sortable returns a number with at least the given digits, so that the order of
// larger numbers is that of their texts, too: 99 is followed by a100, and a999 by
// b1000.
func sortable(n, digits int) string {
	text := fmt.Sprintf("%0*d", digits, n)
	if more := len(text) - digits; more > 0 {
		return string(rune('a'+more-1)) + text
	}
	return text
}

// rowKey returns the key of row n of a value. Earlier versions wrote PREFIX/100 after
// PREFIX/99, and read rows in order of their keys.
func rowKey(prefix string, n int) string { return prefix + "/" + sortable(n, 2) }

// cutRowKey returns the prefix and the number of a row's key, or false if it is not a
// row of a value. The number may follow the letter of sortable.
func cutRowKey(key string) (prefix string, n int, ok bool) {
	i := strings.LastIndexByte(key, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(strings.TrimLeft(key[i+1:], "abcdefgh"))
	return key[:i], n, err == nil && n >= 0 && n < maxValueRows
}

// split splits a value into rows under a prefix.
func split(prefix string, value []byte) []infra.Op {
	var ops []infra.Op
	for n := 0; ; n++ {
		part := value[:min(len(value), rowBytes)]
		value = value[len(part):]
		mark := byte(lastRow)
		if len(value) > 0 {
			mark = moreRows
		}
		row := append([]byte{mark}, part...)
		ops = append(ops, infra.PutIf(rowKey(prefix, n), 0, row))
		if len(value) == 0 {
			return ops
		}
	}
}

// value is a value that was split into rows under a prefix.
type value struct {
	prefix string
	data   []byte
}

// rowReader reads the rows under a prefix in order of their keys, one page at a time.
// After an error it continues where it was.
type rowReader struct {
	table  infra.Table
	prefix string
	// after is the key of the last row that was read, and limit the size of the next
	// page.
	after string
	limit int
}

func newRowReader(t infra.Table, prefix, after string) rowReader {
	return rowReader{table: t, prefix: prefix, after: after, limit: 2 * minPage}
}

// page reads the next rows. More is false if there were no further rows.
func (r *rowReader) page(ctx context.Context) (rows []infra.Row, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err = r.table.List(ctx, r.prefix, r.after, r.limit)
	if err != nil || len(rows) == 0 {
		return nil, false, err
	}
	more = len(rows) == r.limit
	size := 0
	for _, row := range rows {
		size += len(row.Value) + len(row.Key)
	}
	r.limit = min(max(pageBytes*len(rows)/size, minPage), maxPage)
	r.after = rows[len(rows)-1].Key
	return rows, more, nil
}

// valueReader reads the values under a prefix, in order of their keys. After an error
// it continues where it was.
type valueReader struct {
	rowReader
	// rows were read but not used yet, and lastPage is set if there were none after
	// them.
	rows     []infra.Row
	lastPage bool
	// current is the prefix of the value whose rows are read, parts has its rows by
	// number, read is their number and last that of the last one, or -1.
	current    string
	parts      [][]byte
	read, last int
}

// newValueReader returns a reader of the values under a prefix whose keys are greater
// than after.
func newValueReader(t infra.Table, prefix, after string) *valueReader {
	return &valueReader{rowReader: newRowReader(t, prefix, after), last: -1}
}

// next returns the next value, or io.EOF if there is none yet.
func (r *valueReader) next(ctx context.Context) (value, error) {
	for {
		row, err := r.nextRow(ctx)
		if errors.Is(err, io.EOF) && r.read > 0 {
			err = fmt.Errorf("%w: %s", errIncomplete, r.current)
		}
		if err == nil {
			err = r.add(row)
		}
		if err != nil {
			return value{}, err
		}
		if r.last >= 0 && r.read == r.last+1 {
			return r.take(), nil
		}
	}
}

// nextRow returns the next row, or io.EOF if there is none yet.
func (r *valueReader) nextRow(ctx context.Context) (infra.Row, error) {
	if len(r.rows) == 0 && !r.lastPage {
		rows, more, err := r.page(ctx)
		if err != nil {
			return infra.Row{}, err
		}
		r.rows, r.lastPage = rows, !more
	}
	if len(r.rows) == 0 {
		r.lastPage = false // rows may be added
		return infra.Row{}, io.EOF
	}
	row := r.rows[0]
	r.rows = r.rows[1:]
	return row, nil
}

// add adds a row to the current value. It ignores rows that are not one of a value:
// another writer put them there.
func (r *valueReader) add(row infra.Row) error {
	prefix, n, ok := cutRowKey(row.Key)
	switch {
	case !ok || len(row.Value) == 0:
		return nil
	case r.read > 0 && prefix != r.current:
		return fmt.Errorf("%w: %s", errIncomplete, r.current)
	}
	r.current = prefix
	if n >= len(r.parts) {
		r.parts = append(r.parts, make([][]byte, n+1-len(r.parts))...)
	}
	if r.parts[n] != nil {
		return fmt.Errorf("%w: %s has row %d twice", errIncomplete, prefix, n)
	}
	r.parts[n] = row.Value[1:]
	r.read++
	if row.Value[0] == lastRow {
		r.last = n
	}
	return nil
}

// take returns the current value, whose rows were all read.
func (r *valueReader) take() value {
	v := value{r.current, r.parts[0]}
	if len(r.parts) > 1 {
		v.data = bytes.Join(r.parts, nil)
	}
	r.current, r.parts, r.read, r.last = "", nil, 0, -1
	return v
}
