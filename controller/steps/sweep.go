package steps

import (
	"context"

	"github.com/cumincove/cumincove/infra"
)

// sweep deletes the rows of one step that has been in c.closed for more than
// rowRetention. The state rows are deleted last, so that an incomplete deletion is
// found again.
func (c *Controller) sweep(ctx context.Context) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	var id string
	for closed, at := range c.closed {
		if now-at > rowRetention {
			id = closed
			break
		}
	}
	c.mu.Unlock()
	if id == "" {
		return
	}
	if c.sweeperOf(id) == c.o.Self {
		if err := deleteStep(ctx, c.table(id)); err != nil {
			c.o.Log.Debug("step not deleted", "step", id, "error", err)
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closed, id)
}

// deleteStep removes all rows of a step.
func deleteStep(ctx context.Context, t infra.Table) error {
	for _, prefix := range []string{specPrefix, resultPrefix, textPrefix, savedPrefix, statePrefix} {
		rows, err := listAll(ctx, t, prefix)
		if err != nil {
			return err
		}
		var ops []infra.Op
		for _, row := range rows {
			ops = append(ops, infra.Delete(row.Key))
		}
		if err := commitAll(ctx, t, ops); err != nil {
			return err
		}
	}
	return nil
}
