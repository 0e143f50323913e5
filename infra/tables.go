package infra

import "context"

// Tables is a family of transactional tables, one for each part. A transaction
// stays within a part; parts don't slow each other down.
type Tables interface {
	// Part returns the table of a part. Parts need not be created.
	Part(name string) Table
	// Parts lists up to limit names of parts that hold rows, in order, after
	// the given one.
	Parts(ctx context.Context, after string, limit int) ([]string, error)
}

// Feed is a family of tables whose changes can be followed.
type Feed interface {
	Tables
	// Changes returns what was written after a position, and the next position.
	// Position zero stands for the beginning.
	Changes(ctx context.Context, after uint64) (Changes, error)
}

// Changes are rows of all parts of a Feed. A key may lie in several parts; which of
// its rows counts is the reader's to tell.
type Changes struct {
	// Whole says that these are all rows there are, in place of what was known:
	// the history since the position is no longer kept.
	Whole bool
	// Rows are in the order of their writing, or in any order if Whole.
	Rows []Change
	// Next is the position to go on from.
	Next uint64
}

// Change is a row that was written, or removed.
type Change struct {
	Key     string
	Value   []byte
	Removed bool
}
