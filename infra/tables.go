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
