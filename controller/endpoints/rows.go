package endpoints

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/order"
)

// rowPage is the number of rows read at a time.
const rowPage = 500

// rowsPrefix is the prefix of the keys of all rows.
const rowsPrefix = "order/"

// prefix returns the prefix of the keys of the data centre's rows, which have
// the form order/<data centre>/<service>/<tier>.
func (w *dcWorker) prefix() string { return rowsPrefix + w.dataCentre + "/" }

func (w *dcWorker) key(set order.Set) string {
	return w.prefix() + set.Service + "/" + set.Tier
}

func (w *dcWorker) load(ctx context.Context) order.Event {
	rows := map[order.Set]order.Stored{}
	err := w.duty.Do(ctx, func(ctx context.Context, _ uint64) error {
		for after := ""; ; {
			page, err := w.c.o.Table.List(ctx, w.prefix(), after, rowPage)
			if err != nil {
				return err
			}
			for _, row := range page {
				if err := w.decode(row, rows); err != nil {
					return err
				}
				after = row.Key
			}
			if len(page) < rowPage {
				return nil
			}
		}
	})
	if err != nil {
		w.log.Warn("intents not read", "error", err)
		return order.LoadFailed{}
	}
	return order.Loaded{Rows: rows}
}

func (w *dcWorker) decode(row infra.Row, into map[order.Set]order.Stored) error {
	service, tier, ok := strings.Cut(strings.TrimPrefix(row.Key, w.prefix()), "/")
	if !ok {
		return fmt.Errorf("row %s has no tier", row.Key)
	}
	var in order.Intent
	if err := json.Unmarshal(row.Value, &in); err != nil {
		return fmt.Errorf("decode %s: %w", row.Key, err)
	}
	into[order.Set{Service: service, Tier: tier}] = order.Stored{Intent: in, Version: row.Version}
	return nil
}

// write commits an intent, provided that the lease is still in the intent's
// epoch.
func (w *dcWorker) write(ctx context.Context, a order.Write) error {
	value, err := json.Marshal(a.Intent)
	if err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	return w.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		if epoch != a.Intent.Epoch {
			return lease.ErrNotHeld
		}
		return w.c.o.Table.Commit(ctx,
			infra.PutIf(w.key(a.Set), a.IfVersion, value),
			w.duty.Duty().Fence(epoch))
	})
}
