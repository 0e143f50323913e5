package ratelimits

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/cumincove/cumincove/controller/presence"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/ratelimit"
)

const (
	// rowPrefix is the prefix of the keys of limits, followed by the endpoint.
	rowPrefix = "limit/"
	// rowTimeout bounds one call of the table, and rowRetry is the time between two
	// attempts.
	rowTimeout = time.Second
	rowRetry   = 200 * time.Millisecond
)

var errTooManyAsks = errors.New("ratelimits: too many asks")

// row is the value of a row.
type row struct {
	Incarnation int64   `json:"incarnation"`
	PerSecond   float64 `json:"per_second"`
}

// rows are the limits in the table, one row for each endpoint with a limit.
type rows struct {
	// stored has the rows as last read, by endpoint.
	stored map[string]ratelimit.Limit
	// pending has the changes that are not written yet, by endpoint.
	pending map[string]ratelimit.Limit
}

func newRows() rows {
	return rows{stored: map[string]ratelimit.Limit{}, pending: map[string]ratelimit.Limit{}}
}

// write queues a change. A rate of zero removes the row.
func (r *rows) write(endpoint string, l ratelimit.Limit) {
	if r.stored[endpoint] == l {
		delete(r.pending, endpoint)
		return
	}
	r.pending[endpoint] = l
}

// HandleChanges handles changes of the table.
func (c *Controller) HandleChanges(changes infra.Changes) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	current := map[string]bool{}
	for _, change := range changes.Rows {
		endpoint, ok := strings.CutPrefix(change.Key, rowPrefix)
		if !ok {
			continue
		}
		if change.Removed {
			c.handleRow(now, endpoint, ratelimit.Limit{})
			continue
		}
		var r row
		if err := json.Unmarshal(change.Value, &r); err != nil {
			c.o.Log.Warn("limit row not decoded", "row", change.Key, "error", err)
			continue
		}
		current[endpoint] = true
		c.handleRow(now, endpoint, ratelimit.Limit{Incarnation: r.Incarnation, Rate: max(r.PerSecond, ratelimit.MinRate)})
	}
	if !changes.Complete {
		return
	}
	for endpoint := range c.rows.stored {
		if !current[endpoint] {
			c.handleRow(now, endpoint, ratelimit.Limit{})
		}
	}
}

// handleRow handles a row that was written, or removed if the rate is zero. The
// caller must hold mu.
func (c *Controller) handleRow(now time.Duration, endpoint string, l ratelimit.Limit) {
	old, stored := c.rows.stored[endpoint]
	if l.Rate > 0 {
		c.rows.stored[endpoint] = l
	} else {
		delete(c.rows.stored, endpoint)
		l.Incarnation = old.Incarnation
	}
	if (stored || l.Rate > 0) && c.node.HandlePeer(now, endpoint, l) {
		c.recordChange(endpoint, l, sourceRow)
	}
}

// runRows writes the queued changes until ctx ends.
func (c *Controller) runRows(ctx context.Context) {
	for {
		select {
		case <-c.wakeRows:
		case <-ctx.Done():
			return
		}
		for c.writeRow(ctx) {
		}
	}
}

// writeRow writes one queued change. It reports whether there may be more. A change
// that can't be written stays in the queue.
func (c *Controller) writeRow(ctx context.Context) bool {
	c.mu.Lock()
	endpoint, l, found := "", ratelimit.Limit{}, false
	for endpoint, l = range c.rows.pending {
		found = true
		break
	}
	c.mu.Unlock()
	if !found || ctx.Err() != nil {
		return false
	}
	if err := c.commit(ctx, endpoint, l); err != nil {
		c.o.Log.Debug("limit row not written", "endpoint", endpoint, "error", err)
		select {
		case <-time.After(rowRetry):
		case <-ctx.Done():
		}
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows.pending[endpoint] == l {
		delete(c.rows.pending, endpoint)
	}
	return true
}

// commit writes a limit to the first part that accepts it, or removes it from both
// parts that may contain it.
func (c *Controller) commit(ctx context.Context, endpoint string, l ratelimit.Limit) error {
	key := rowPrefix + endpoint
	parts := presence.RowParts(endpoint)
	if l.Rate == 0 {
		return errors.Join(c.commitTo(ctx, parts[0], infra.Delete(key)), c.commitTo(ctx, parts[1], infra.Delete(key)))
	}
	value, err := json.Marshal(row{Incarnation: l.Incarnation, PerSecond: l.Rate})
	if err != nil {
		return err
	}
	err = c.commitTo(ctx, parts[0], infra.Put(key, value))
	if err != nil {
		err = c.commitTo(ctx, parts[1], infra.Put(key, value))
	}
	return err
}

func (c *Controller) commitTo(ctx context.Context, part string, op infra.Op) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	return c.o.Tables.Part(part).Commit(ctx, op)
}
