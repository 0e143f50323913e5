package endpoints

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cumincove/cumincove/order"
)

const (
	// ordersReadPeriod is the average time between two reads of the orders of
	// all data centres. Only instances that hold a duty read them.
	ordersReadPeriod = 5 * time.Second
	// stuckAfter is how long an order may stay open before it is treated as
	// refused.
	stuckAfter = 10 * time.Second
)

// storedOrders are the orders of all data centres as stored in their rows. They
// are protected by the Controller's mu.
type storedOrders struct {
	orders map[string]map[order.Set]storedOrder
}

// storedOrder is the last order for a set.
type storedOrder struct {
	count, observedRunning int
	// openSince is when the order was first read as open; zero if it is done.
	openSince time.Duration
	stuck     bool
}

// pollOrders reads the orders of all data centres while this instance holds the
// duty of at least one. After a failed read the previous orders stay.
func (c *Controller) pollOrders(ctx context.Context) {
	var due time.Duration
	for {
		now, held := c.o.Clock.Now(), time.Duration(c.heldAt.Load())
		if held > 0 && now-held < ordersReadPeriod && now >= due {
			c.readOrders(ctx)
			due = now + ordersReadPeriod*3/4 + rand.N(ordersReadPeriod/2)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.o.Poll):
		}
	}
}

func (c *Controller) readOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ordersReadPeriod)
	defer cancel()
	next := map[string]map[order.Set]storedOrder{}
	for after := ""; ; {
		page, err := c.o.Table.List(ctx, rowsPrefix, after, rowPage)
		if err != nil {
			c.o.Log.Debug("orders of all data centres not read", "error", err)
			return
		}
		for _, row := range page {
			after = row.Key
			var in order.Intent
			dataCentre, set, ok := parseKey(row.Key)
			if ok && json.Unmarshal(row.Value, &in) == nil {
				c.addOrder(next, dataCentre, set, in)
			}
		}
		if len(page) < rowPage {
			break
		}
	}
	c.mu.Lock()
	c.storedOrders.orders = next
	c.mu.Unlock()
}

func (c *Controller) addOrder(next map[string]map[order.Set]storedOrder, dataCentre string, set order.Set, in order.Intent) {
	if next[dataCentre] == nil {
		next[dataCentre] = map[order.Set]storedOrder{}
	}
	o := storedOrder{count: in.Count, observedRunning: in.ObservedRunning}
	if !in.Done {
		now := c.o.Clock.Now()
		o.openSince = now
		c.mu.Lock()
		if old := c.storedOrders.orders[dataCentre][set]; old.openSince > 0 {
			o.openSince = old.openSince
		}
		c.mu.Unlock()
		o.stuck = now-o.openSince >= stuckAfter
	}
	next[dataCentre][set] = o
}

func parseKey(key string) (dataCentre string, set order.Set, ok bool) {
	parts := strings.SplitN(strings.TrimPrefix(key, rowsPrefix), "/", 3)
	if len(parts) != 3 {
		return "", order.Set{}, false
	}
	return parts[0], order.Set{Service: parts[1], Tier: parts[2]}, true
}
