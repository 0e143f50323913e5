package infra

import "context"

// Tables is a set of transactional tables, one for each part. A transaction is
// limited to one part. Calls for one part do not delay calls for another.
type Tables interface {
	// Part returns the table of a part. Parts need not be created.
	Part(name string) Table
	// Parts returns up to limit names of parts that contain rows, in ascending
	// order, starting after the given name.
	Parts(ctx context.Context, after string, limit int) ([]string, error)
}

// Feed is a set of tables with a feed of their changes.
type Feed interface {
	Tables
	// Changes returns the rows written after a position, and the next position.
	// Position zero is the start of the feed.
	Changes(ctx context.Context, after uint64) (Changes, error)
}

// Changes are rows of all parts of a Feed. Several parts may contain the same
// key; the reader decides which of the rows is valid.
type Changes struct {
	// Complete is set if Rows contains all existing rows and replaces all rows
	// read before, because the changes since the position are no longer stored.
	Complete bool
	// Rows are in the order of the writes, or in any order if Complete is set.
	Rows []Change
	// Next is the position for the next call.
	Next uint64
}

// Change is a row that was written or removed.
type Change struct {
	Key     string
	Value   []byte
	Removed bool
}
