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
	// generationKey is the row whose version is the newest generation.
	generationKey = "dedup/generation"
	rowPrefix     = "dedup/row/"
	// sweepPage bounds the rows deleted in one step.
	sweepPage = 500
)

// rows maps generations and claims to rows of the table.
type rows struct {
	table infra.Table
}

// name is the part of a row's key that names the request.
func name(r dedup.Request) string {
	return fmt.Sprintf("%s/%s/%x", r.Team, r.Service, sha256.Sum256([]byte(r.ID)))
}

func rowKey(generation uint64, name string) string {
	return fmt.Sprintf("%s%020d/%s", rowPrefix, generation, name)
}

func generationOf(key string) (uint64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, rowPrefix), "/")
	return strconv.ParseUint(text, 10, 64)
}

func (r rows) newest(ctx context.Context) (g dedup.Generation, err error) {
	g.Number, err = infra.GetJSON(ctx, r.table, generationKey, &g.Promise)
	return g, err
}

func (r rows) bump(ctx context.Context, b dedup.Bump) error {
	return r.table.Commit(ctx, infra.PutJSON(generationKey, b.IfVersion, b.Promise))
}

// versioned reads the row of a request in one generation.
func (r rows) versioned(ctx context.Context, generation uint64, name string) (v dedup.Versioned, err error) {
	v.Version, err = infra.GetJSON(ctx, r.table, rowKey(generation, name), &v.Row)
	return v, err
}

// claim carries out a claim's write alone.
func (r rows) claim(ctx context.Context, name string, w dedup.Write) error {
	fence := infra.Check(generationKey, w.Generation)
	return r.table.Commit(ctx, append(claimOps(name, w), fence)...)
}

// claimOps are the steps of a claim's write but for the check of its generation.
func claimOps(name string, w dedup.Write) []infra.Op {
	return []infra.Op{
		infra.Check(rowKey(w.Generation-1, name), w.IfBefore),
		infra.PutJSON(rowKey(w.Generation, name), w.IfVersion, w.Row),
	}
}

// look reads the newest generation and then the rows that count in it.
func (r rows) look(ctx context.Context, name string, newest dedup.Generation) (l dedup.Looked, err error) {
	l.Newest = newest
	if newest.Number == 0 {
		return l, nil
	}
	if l.Current, err = r.versioned(ctx, newest.Number, name); err != nil {
		return l, err
	}
	l.Before, err = r.versioned(ctx, newest.Number-1, name)
	return l, err
}

// sweep deletes a page of rows of generations before the given one, and
// returns how many.
func (r rows) sweep(ctx context.Context, counts uint64) (int, error) {
	page, err := r.table.List(ctx, rowPrefix, "", sweepPage)
	if err != nil {
		return 0, err
	}
	var ops []infra.Op
	for _, row := range page {
		g, err := generationOf(row.Key)
		if err != nil || g >= counts {
			break
		}
		ops = append(ops, infra.Delete(row.Key))
	}
	if len(ops) == 0 {
		return 0, nil
	}
	return len(ops), r.table.Commit(ctx, ops...)
}
