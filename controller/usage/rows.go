package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/window"
)

// The keys and key prefixes of the rows. The closed row (window.Closed) determines
// which windows are closed, and the cursor row (window.Cursor) which are frozen and
// reported. There is one sealed row for each frozen window, and one part, the
// totals that a process counted, for each window and process.
const (
	closedKey    = "usage/closed"
	cursorKey    = "usage/cursor"
	sealedPrefix = "usage/sealed/"
	partPrefix   = "usage/part/"
)

// rowPage is the number of rows read or deleted at a time.
const rowPage = 500

// rows maps the windows' state to rows of the table.
type rows struct {
	// part is the last section of the keys of this process's rows.
	part string
}

func sealedKey(w int64) string { return fmt.Sprintf("%s%012d", sealedPrefix, w) }

func partsOf(w int64) string { return fmt.Sprintf("%s%012d/", partPrefix, w) }

func windowOf(partKey string) (int64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(partKey, partPrefix), "/")
	return strconv.ParseInt(text, 10, 64)
}

func (r rows) upsert(u window.Upsert) []infra.Op {
	return []infra.Op{
		infra.CheckVersion(closedKey, u.ClosedVersion),
		infra.PutJSON(partsOf(u.Window)+r.part, u.IfVersion, u.Totals),
	}
}

// readPart reads the closed row before the part: once the closed row contains the
// window, the part can't change.
func (r rows) readPart(ctx context.Context, t infra.Table, w int64) (p window.PartRead, err error) {
	if p.ClosedVersion, err = infra.GetJSON(ctx, t, closedKey, &p.Closed); err != nil {
		return p, err
	}
	p.Version, err = infra.GetJSON(ctx, t, partsOf(w)+r.part, &p.Totals)
	return p, err
}

func (r rows) readState(ctx context.Context, t infra.Table) (s window.State, err error) {
	if s.ClosedVersion, err = infra.GetJSON(ctx, t, closedKey, &s.Closed); err != nil {
		return s, err
	}
	if s.CursorVersion, err = infra.GetJSON(ctx, t, cursorKey, &s.Cursor); err != nil || s.CursorVersion > 0 {
		return s, err
	}
	first, err := t.List(ctx, partPrefix, "", 1)
	if err != nil || len(first) == 0 {
		return s, err
	}
	s.HasOldest = true
	s.Oldest, err = windowOf(first[0].Key)
	return s, err
}

func (r rows) listParts(ctx context.Context, t infra.Table, w int64) (window.Parts, error) {
	var parts window.Parts
	for after := ""; ; {
		page, err := t.List(ctx, partsOf(w), after, rowPage)
		if err != nil {
			return window.Parts{}, err
		}
		for _, row := range page {
			var totals window.Totals
			if err := json.Unmarshal(row.Value, &totals); err != nil {
				return window.Parts{}, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			parts.Totals = append(parts.Totals, totals)
			after = row.Key
		}
		if len(page) < rowPage {
			return parts, nil
		}
	}
}

func (r rows) readFrozen(ctx context.Context, t infra.Table, w int64) (window.Frozen, error) {
	f := window.Frozen{}
	version, err := infra.GetJSON(ctx, t, sealedKey(w), &f.Report)
	if err == nil && version == 0 {
		err = fmt.Errorf("%s: %w", sealedKey(w), infra.ErrNotFound)
	}
	return f, err
}

func (r rows) close(c window.Close, fence infra.Op) []infra.Op {
	return []infra.Op{fence, infra.PutJSON(closedKey, c.IfVersion, c.Closed)}
}

func (r rows) move(m window.MoveCursor, fence infra.Op) []infra.Op {
	ops := []infra.Op{fence, infra.PutJSON(cursorKey, m.IfVersion, m.Cursor)}
	if m.Freeze != nil {
		ops = append(ops, infra.PutJSON(sealedKey(m.Freeze.Window), 0, m.Freeze))
	}
	return ops
}

// prune deletes up to one page of parts of windows before the given one. The next
// call deletes further parts.
func (r rows) prune(ctx context.Context, t infra.Table, before int64, fence infra.Op) error {
	page, err := t.List(ctx, partPrefix, "", rowPage)
	if err != nil {
		return nil // the window is closed; a failure to prune is not an error
	}
	ops := []infra.Op{fence}
	for _, row := range page {
		w, err := windowOf(row.Key)
		if err != nil || w >= before {
			break
		}
		ops = append(ops, infra.Delete(row.Key))
	}
	if len(ops) > 1 {
		_ = t.Commit(ctx, ops...)
	}
	return nil
}
