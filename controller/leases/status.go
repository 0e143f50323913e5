package leases

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
)

// Status lists the leases that this instance takes part in, ordered by duty.
// Holder and epoch are those of the row as last read or written; they are certain
// only for leases that this instance holds.
func (m *Manager) Status() []api.LeaseStatus {
	var list []api.LeaseStatus
	for _, r := range m.all() {
		list = append(list, r.status())
	}
	slices.SortFunc(list, func(a, b api.LeaseStatus) int {
		return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return list
}

func (r *Runner) status() api.LeaseStatus {
	mine := r.Holds()
	r.mu.Lock()
	defer r.mu.Unlock()
	row, _ := r.machine.Row()
	return api.LeaseStatus{
		Duty:        r.duty.Name,
		DataCentre:  r.duty.DataCentre,
		Holder:      row.Holder,
		Epoch:       row.Epoch,
		HeldLocally: mine,
	}
}

// Read reads the lease of a duty whose rows are in their own part; see
// Options.Tables. If the epoch is zero, no instance has held the lease yet.
func Read(ctx context.Context, tables infra.Tables, d Duty) (lease.Row, error) {
	var row lease.Row
	if _, err := infra.GetJSON(ctx, tables.Part(d.String()), d.Key(), &row); err != nil {
		return lease.Row{}, fmt.Errorf("read lease of %s: %w", d, err)
	}
	return row, nil
}
