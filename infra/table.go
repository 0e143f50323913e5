package infra

import "context"

// Row is one row of the transactional table.
type Row struct {
	Key string `json:"key"`
	// Version starts at one and increases by one with each write of the row.
	// Zero means that the row does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// OpKind specifies the action of an Op.
type OpKind string

// The kinds of Op.
const (
	// OpCheck only compares the row's version.
	OpCheck OpKind = "check"
	// OpPut writes the row.
	OpPut OpKind = "put"
	// OpDelete removes the row.
	OpDelete OpKind = "delete"
)

// Op is one step of a transaction.
type Op struct {
	Kind OpKind `json:"kind"`
	Key  string `json:"key"`
	// IfVersion, if set, must equal the row's version; zero means that the row
	// must not exist. Otherwise the transaction fails with ErrConflict.
	IfVersion *uint64 `json:"if_version,omitempty"`
	Value     []byte  `json:"value,omitempty"`
}

// Table is the platform's transactional table. Transactions are serializable
// and atomic.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows in key order whose key starts with
	// prefix and is greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit executes all ops, or none. It returns ErrConflict,
	// ErrUnavailable or ErrUnknownOutcome.
	Commit(ctx context.Context, ops ...Op) error
}

// CheckVersion returns an Op that requires the row to have the version.
func CheckVersion(key string, version uint64) Op {
	return Op{Kind: OpCheck, Key: key, IfVersion: &version}
}

// Put returns an Op that writes the row regardless of its version.
func Put(key string, value []byte) Op {
	return Op{Kind: OpPut, Key: key, Value: value}
}

// PutIf returns an Op that writes the row if it has the version (zero: if it
// does not exist).
func PutIf(key string, version uint64, value []byte) Op {
	return Op{Kind: OpPut, Key: key, IfVersion: &version, Value: value}
}

// Delete returns an Op that removes the row.
func Delete(key string) Op {
	return Op{Kind: OpDelete, Key: key}
}
