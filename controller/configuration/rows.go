package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
)

// Keys of the store's rows.
const (
	headKey     = "config/head"
	logPrefix   = "config/log/"
	auditPrefix = "audit/"
)

// head is the value of the head row.
type head struct {
	Version uint64 `json:"version"`
}

// logRow is the value of a log row.
type logRow struct {
	// ChangeID distinguishes a change from any other that was tried with the same
	// version, so that the outcome of a commit can be read back when its response
	// was lost.
	ChangeID string        `json:"change_id"`
	Change   config.Change `json:"change"`
}

func logKey(version uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix, version)
}

func auditKey(version uint64) string {
	return fmt.Sprintf("%s%020d", auditPrefix, version)
}

// commitOps returns the transaction that commits one change. headRowVersion is
// the head row's version in the table, zero when the row does not exist.
func commitOps(headRowVersion uint64, l logRow, a api.AuditRow) ([]infra.Op, error) {
	v := l.Change.Version
	headValue, err := json.Marshal(head{Version: v})
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	logValue, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	auditValue, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode audit row: %w", err)
	}
	return []infra.Op{
		infra.PutIf(headKey, headRowVersion, headValue),
		infra.PutIf(logKey(v), 0, logValue),
		infra.PutIf(auditKey(v), 0, auditValue),
	}, nil
}
