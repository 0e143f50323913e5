package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/controller/presence"
	rollout "github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/settings"
	"github.com/cumincove/cumincove/view"
)

// rows shows the state that the system has in a managed platform's store.
type rows struct{ file string }

func newRows(app *kingpin.Application) *rows {
	r := &rows{}
	cmd := app.Command("rows", `Shows the state in a managed platform's store: the version of the configuration,
the target weight versions, the instances, leases and steps. Calls no instance.`)
	cmd.Flag("config", "Settings file of an instance, JSON with comments.").Short('c').Required().ExistingFileVar(&r.file)
	return r
}

// storedState is the state that is read from the store.
type storedState struct {
	Version uint64            `json:"version"`
	Weights map[string]uint64 `json:"weights"`
	Members []view.Member     `json:"members"`
	Leases  []dutyLease       `json:"leases"`
	Steps   []rollout.Info    `json:"steps"`
}

type dutyLease struct {
	Duty string `json:"duty"`
	lease.Row
}

func (r *rows) run(ctx context.Context, s *session) error {
	file, err := settings.Load(r.file)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if file.Platform.Kind != settings.KindManaged {
		return fmt.Errorf("%w: %s does not configure a managed platform", errUsage, r.file)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	st, err := readState(ctx, s.NewManaged(file))
	if err != nil {
		return err
	}
	return s.out.print(st, stateTables(st)...)
}

func readState(ctx context.Context, p infra.Managed) (st storedState, err error) {
	intent, err := p.IntentSource.Read(ctx)
	if err != nil {
		return st, fmt.Errorf("read configuration: %w", err)
	}
	if intent.Config != nil {
		st.Version = intent.Config.Version
	}
	st.Weights = intent.Weights
	if st.Members, err = presence.List(ctx, p.Members); err != nil {
		return st, err
	}
	for _, name := range []string{leases.Orders, leases.Usage, leases.Weights} {
		row, err := leases.Read(ctx, p.SystemTables, leases.Duty{Name: name})
		if err != nil {
			return st, err
		}
		st.Leases = append(st.Leases, dutyLease{name, row})
	}
	st.Steps, err = rollout.List(ctx, p.Steps)
	return st, err
}

func stateTables(st storedState) []table {
	config := table{heading: []string{"CONFIGURATION"}}
	config.add(st.Version)
	weights := table{heading: []string{"MODEL", "VERSION"}}
	for _, model := range slices.Sorted(maps.Keys(st.Weights)) {
		weights.add(model, st.Weights[model])
	}
	members := table{heading: []string{"MEMBER", "DATA CENTRE", "INCARNATION", "CALLERS", "IN FLIGHT", "LEAVING"}}
	for _, m := range st.Members {
		members.add(m.Name, m.DataCentre, m.Incarnation, m.CallerAddr, m.InFlight, yesNo(m.Leaving))
	}
	leaseTable := table{heading: []string{"LEASE", "HOLDER", "INCARNATION", "EPOCH", "RELEASED"}}
	for _, l := range st.Leases {
		leaseTable.add(l.Duty, l.Holder, l.Incarnation, l.Epoch, yesNo(l.Released))
	}
	list := table{heading: []string{"STEP", "TEAM", "MODEL", "RESULTS", "SAMPLES", "OWNER", "INCARNATION", "ENDED"}}
	for _, i := range st.Steps {
		list.add(i.ID, i.Team, i.Model, i.Results, i.Samples, i.Owner, i.Incarnation, yesNo(i.Ended))
	}
	return []table{config, weights, members, leaseTable, list}
}
