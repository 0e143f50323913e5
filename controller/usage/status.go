package usage

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/window"
)

// Window returns the figures of the window that starts at w, in Unix seconds;
// zero means the newest sealed one. A window that is not sealed is returned
// without figures, since they can still change. Window returns code.StoreDown if
// the read from the store fails.
func (c *Controller) Window(ctx context.Context, w int64) (api.Usage, error) {
	if w == 0 {
		var cursor window.Cursor
		if _, err := infra.GetJSON(ctx, c.duty.Table(), cursorKey, &cursor); err != nil {
			return api.Usage{}, code.Wrap(code.StoreDown, err, "read usage cursor")
		}
		w = cursor.Seal - int64(c.o.Window.Seconds())
	}
	u := api.Usage{Window: w}
	frozen, err := c.rows.readFrozen(ctx, c.duty.Table(), w)
	if errors.Is(err, infra.ErrNotFound) {
		return u, nil
	}
	if err != nil {
		return u, code.Wrap(code.StoreDown, err, "read usage window %d", w)
	}
	u.Sealed = true
	u.Teams = teamUsage(frozen.Report.Teams)
	return u, nil
}

// teamUsage lists usage by team, sorted by name.
func teamUsage(totals window.Totals) []infra.TeamUsage {
	var list []infra.TeamUsage
	for _, team := range slices.Sorted(maps.Keys(totals)) {
		u := totals[team]
		list = append(list, infra.TeamUsage{Team: team, Requests: u.Requests, Tokens: u.Tokens, LateTokens: u.Late})
	}
	return list
}
