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
func (s *dcWorker) prefix() string { return rowsPrefix + s.dataCentre + "/" }

func (s *dcWorker) key(set order.Set) string {
	return s.prefix() + set.Service + "/" + set.Tier
}

func (s *dcWorker) load(ctx context.Context) order.Event {
	rows := map[order.Set]order.Stored{}
	err := s.duty.Do(ctx, func(ctx context.Context, _ uint64) error {
		for after := ""; ; {
			page, err := s.c.o.Table.List(ctx, s.prefix(), after, rowPage)
			if err != nil {
				return err
			}
			for _, row := range page {
				if err := s.decode(row, rows); err != nil {
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
		s.log.Warn("intents not read", "error", err)
		return order.LoadFailed{}
	}
	return order.Loaded{Rows: rows}
}

func (s *dcWorker) decode(row infra.Row, into map[order.Set]order.Stored) error {
	service, tier, ok := strings.Cut(strings.TrimPrefix(row.Key, s.prefix()), "/")
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
func (s *dcWorker) write(ctx context.Context, w order.Write) error {
	value, err := json.Marshal(w.Intent)
	if err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	return s.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		if epoch != w.Intent.Epoch {
			return lease.ErrNotHeld
		}
		return s.c.o.Table.Commit(ctx,
			infra.PutIf(s.key(w.Set), w.IfVersion, value),
			s.duty.Duty().Fence(epoch))
	})
}
