package fakeplatform

import (
	"context"
	"strings"

	"github.com/cumincove/cumincove/infra"
)

// partsPrefix is the prefix of the keys of all rows in parts. The platform's table
// stores such a row under partsPrefix, the name of the part, a slash and the key
// within the part. The name of a part must not contain a slash.
const partsPrefix = "parts/"

// Tables returns a set of tables, one for each part, with a feed of their
// changes. Their rows are stored in the platform's table under partsPrefix.
func (p *Platform) Tables() infra.Feed { return tables{p.Platform().Table} }

type tables struct{ table infra.Table }

// Part returns the table of a part.
func (t tables) Part(name string) infra.Table { return part{t.table, partsPrefix + name + "/"} }

// Parts returns up to limit names of parts that have rows, starting after the
// given name.
func (t tables) Parts(ctx context.Context, after string, limit int) ([]string, error) {
	rows, err := t.table.List(ctx, partsPrefix, "", 1<<20)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, row := range rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, partsPrefix), "/")
		listed := len(names) > 0 && names[len(names)-1] == name
		if name > after && !listed && len(names) < limit {
			names = append(names, name)
		}
	}
	return names, nil
}

// Changes returns all rows at each call, because no history is kept.
func (t tables) Changes(ctx context.Context, _ uint64) (infra.Changes, error) {
	rows, err := t.table.List(ctx, partsPrefix, "", 1<<20)
	if err != nil {
		return infra.Changes{}, err
	}
	all := infra.Changes{Complete: true}
	for _, row := range rows {
		_, key, _ := strings.Cut(strings.TrimPrefix(row.Key, partsPrefix), "/")
		all.Rows = append(all.Rows, infra.Change{Key: key, Value: row.Value})
	}
	return all, nil
}

// part is the table of one part: the rows of table whose keys have the prefix.
type part struct {
	table  infra.Table
	prefix string
}

func (p part) Get(ctx context.Context, key string) (infra.Row, error) {
	row, err := p.table.Get(ctx, p.prefix+key)
	row.Key = key
	return row, err
}

func (p part) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if after != "" {
		after = p.prefix + after
	}
	rows, err := p.table.List(ctx, p.prefix+prefix, after, limit)
	for i := range rows {
		rows[i].Key = strings.TrimPrefix(rows[i].Key, p.prefix)
	}
	return rows, err
}

func (p part) Commit(ctx context.Context, ops ...infra.Op) error {
	prefixed := make([]infra.Op, len(ops))
	for i, op := range ops {
		op.Key = p.prefix + op.Key
		prefixed[i] = op
	}
	return p.table.Commit(ctx, prefixed...)
}
