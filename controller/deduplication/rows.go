package deduplication

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/infra"
)

const (
	// generationKey is the key of the row whose version is the number of the
	// newest generation.
	generationKey = "dedup/generation"
	rowPrefix     = "dedup/row/"
	// sweepPage is the maximum number of rows deleted in one transaction.
	sweepPage = 500
)

// rows maps generations and claims to rows of the table.
type rows struct {
	table infra.Table
}

// requestName returns the part of a row's key that identifies the request.
func requestName(r dedup.Request) string {
	return fmt.Sprintf("%s/%s/%x", r.Team, r.Service, sha256.Sum256([]byte(r.ID)))
}

func rowKey(generation uint64, name string) string {
	return fmt.Sprintf("%s%020d/%s", rowPrefix, generation, name)
}

func generationOf(key string) (uint64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, rowPrefix), "/")
	return strconv.ParseUint(text, 10, 64)
}

// generation reads the newest generation.
func (r rows) generation(ctx context.Context) (g dedup.Generation, err error) {
	g.Number, err = infra.GetJSON(ctx, r.table, generationKey, &g.Retention)
	return g, err
}

// advance advances the generation.
func (r rows) advance(ctx context.Context, a dedup.AdvanceGeneration) error {
	return r.table.Commit(ctx, infra.PutJSON(generationKey, a.IfVersion, a.Retention))
}

// readRow reads the row of a request in one generation.
func (r rows) readRow(ctx context.Context, generation uint64, name string) (v dedup.Versioned, err error) {
	v.Version, err = infra.GetJSON(ctx, r.table, rowKey(generation, name), &v.Row)
	return v, err
}

// claim performs one claim's write in a transaction of its own.
func (r rows) claim(ctx context.Context, name string, w dedup.Write) error {
	fence := infra.CheckVersion(generationKey, w.Generation)
	return r.table.Commit(ctx, append(claimOps(name, w), fence)...)
}

// claimOps returns the operations of a claim's write without the check of its
// generation.
func claimOps(name string, w dedup.Write) []infra.Op {
	return []infra.Op{
		infra.CheckVersion(rowKey(w.Generation-1, name), w.IfPrevious),
		infra.PutJSON(rowKey(w.Generation, name), w.IfVersion, w.Row),
	}
}

// readRows reads the rows of a request that are valid in the newest generation:
// the row of that generation, and the one of the generation before.
func (r rows) readRows(ctx context.Context, name string, newest dedup.Generation) (result dedup.ReadResult, err error) {
	result.Newest = newest
	if newest.Number == 0 {
		return result, nil
	}
	if result.Current, err = r.readRow(ctx, newest.Number, name); err != nil {
		return result, err
	}
	result.Previous, err = r.readRow(ctx, newest.Number-1, name)
	return result, err
}

// sweep deletes up to sweepPage rows of generations before oldest, which is the
// oldest generation whose rows are valid. It returns the number of deleted rows.
func (r rows) sweep(ctx context.Context, oldest uint64) (int, error) {
	page, err := r.table.List(ctx, rowPrefix, "", sweepPage)
	if err != nil {
		return 0, err
	}
	var ops []infra.Op
	for _, row := range page {
		g, err := generationOf(row.Key)
		if err != nil || g >= oldest {
			break
		}
		ops = append(ops, infra.Delete(row.Key))
	}
	if len(ops) == 0 {
		return 0, nil
	}
	return len(ops), r.table.Commit(ctx, ops...)
}
