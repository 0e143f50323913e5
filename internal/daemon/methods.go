package daemon

import (
	"context"
	"crypto/rand"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/view"
)

// keyPrefix identifies a key as one of this system, for example when a leaked key
// is found.
const keyPrefix = "cck_"

func (d *Daemon) change(ctx context.Context, r api.ChangeRequest) (api.ChangeResponse, error) {
	return d.configuration.Commit(ctx, operatorName(ctx), "apply", r)
}

func (d *Daemon) createKey(ctx context.Context, r api.KeyRequest) (api.KeyResponse, error) {
	if _, ok := d.views.Load().Config.Keys[r.Name]; ok {
		return api.KeyResponse{}, code.New(code.VersionConflict, "key %q exists", r.Name)
	}
	secret := keyPrefix + rand.Text()
	k := config.Key{
		Meta:   config.Meta{Name: r.Name, Labels: r.Labels},
		Team:   r.Team,
		Digest: view.Digest(secret),
	}
	change := api.ChangeRequest{Put: config.Objects{Keys: []config.Key{k}}}
	resp, err := d.configuration.Commit(ctx, operatorName(ctx), "create key "+r.Name, change)
	if err != nil {
		return api.KeyResponse{}, err
	}
	return api.KeyResponse{Name: r.Name, Key: secret, Version: resp.Version}, nil
}

func (d *Daemon) withdrawKey(ctx context.Context, name string) (api.WithdrawResponse, error) {
	return d.keys.Withdraw(ctx, operatorName(ctx), name)
}

func (d *Daemon) audit(ctx context.Context, r auditRequest) (api.AuditPage, error) {
	return d.configuration.Audit(ctx, r.after, r.limit)
}

func (d *Daemon) usage(ctx context.Context, window int64) (api.Usage, error) {
	return d.duties.usage.Window(ctx, window)
}

func (d *Daemon) steps(context.Context, noParams) (api.Steps, error) {
	return api.Steps{Steps: d.rollouts.steps.Status()}, nil
}

func (d *Daemon) objects(_ context.Context, r objectsRequest) (api.Objects, error) {
	sel, err := label.Parse(r.selector)
	if err != nil {
		return api.Objects{}, code.Wrap(code.BadRequest, err, "%v", err)
	}
	s := d.views.Load().Config
	out := api.Objects{Version: s.Version}
	out.Objects = s.Select(config.Kind(r.kind), sel)
	return out, nil
}

func (d *Daemon) status(context.Context, noParams) (api.Status, error) {
	v := d.views.Load()
	s := api.Status{
		Instance:           d.deps.Settings.Name,
		DataCentre:         d.deps.Settings.DataCentre,
		Version:            v.Config.Version,
		Fresh:              d.configuration.Fresh(d.deps.Clock.Now()),
		Draining:           d.leaving.Load(),
		InForce:            d.configuration.InForce(),
		Missing:            d.configuration.Missing(),
		PendingWithdrawals: d.keys.PendingNames(),
	}
	for _, m := range sortedMembers(v) {
		s.Members = append(s.Members, api.MemberStatus{
			Name: m.Name, DataCentre: m.DataCentre, PeerAddr: m.PeerAddr,
			Version: m.ConfigVersion, InFlight: m.InFlight, Leaving: m.Leaving,
		})
	}
	s.Leases = d.duties.leaseManager.Status()
	s.Endpoints = endpointStatus(v)
	s.Spend, s.Demand = d.duties.endpoints.Spend()
	for _, p := range s.Spend {
		s.SpendPerHour += p.PerHour
		s.SpendForecast += p.Forecast
	}
	for _, name := range v.Config.TeamNames() {
		s.Teams = append(s.Teams, api.TeamStatus{Name: name, Weight: v.Config.Teams[name].Weight})
	}
	return s, nil
}

func endpointStatus(v *view.View) []api.EndpointStatus {
	var list []api.EndpointStatus
	for _, service := range v.Config.ServiceNames() {
		for _, e := range v.Endpoints[service] {
			list = append(list, api.EndpointStatus{
				Service: service, Name: e.Name, DataCentre: e.DataCentre, Tier: e.Tier, Addr: e.Addr,
				InFlight: e.Stats.InFlight.Load(), WeightVersion: e.Load.WeightVersion, Leaving: e.Leaving,
			})
		}
	}
	return list
}
