package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cumincove/cumincove/api"
)

type status struct{}

func newStatus(app *kingpin.Application) status {
	app.Command("status", `Shows the state of the system as one instance sees it: members and their
configuration versions, leases and their holders, endpoints and teams.`)
	return status{}
}

func (status) run(ctx context.Context, s *session) error {
	st, err := s.status(ctx)
	if err != nil {
		return err
	}
	return s.out.print(st, statusTables(st)...)
}

func (s *session) status(ctx context.Context) (api.Status, error) {
	return callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.Status, error) {
		return c.Status(ctx)
	})
}

func statusTables(st api.Status) []table {
	instance := table{heading: []string{"INSTANCE", "DATA CENTRE", "VERSION", "IN FORCE", "FRESH", "DRAINING", "SPEND/H", "FORECAST/H"}}
	instance.add(st.Instance, st.DataCentre, st.Version, st.InForce, yesNo(st.Fresh), yesNo(st.Draining), st.SpendPerHour, st.SpendForecast)
	members := table{heading: []string{"MEMBER", "DATA CENTRE", "PEER ADDR", "VERSION", "IN FLIGHT", "LEAVING"}}
	for _, m := range st.Members {
		members.add(m.Name, m.DataCentre, m.PeerAddr, m.Version, m.InFlight, yesNo(m.Leaving))
	}
	leases := table{heading: []string{"LEASE", "DATA CENTRE", "HOLDER", "EPOCH", "HELD HERE"}}
	for _, l := range st.Leases {
		leases.add(l.Duty, l.DataCentre, l.Holder, l.Epoch, yesNo(l.HeldLocally))
	}
	endpoints := table{heading: []string{"SERVICE", "ENDPOINT", "DATA CENTRE", "TIER", "ADDR", "IN FLIGHT", "WEIGHTS", "LEAVING"}}
	for _, e := range st.Endpoints {
		endpoints.add(e.Service, e.Name, e.DataCentre, e.Tier, e.Addr, e.InFlight, e.WeightVersion, yesNo(e.Leaving))
	}
	spend := table{heading: []string{"SERVICE", "DATA CENTRE", "TIER", "PAID FOR", "SPEND/H", "FORECAST/H"}}
	for _, p := range st.Spend {
		spend.add(p.Service, p.DataCentre, p.Tier, p.Endpoints, p.PerHour, p.Forecast)
	}
	demand := table{heading: []string{"SERVICE", "INTERACTIVE", "ROLLOUT", "ALL INSTANCES HEARD"}}
	for _, d := range st.Demand {
		demand.add(d.Service, d.Interactive, d.Rollout, yesNo(d.Complete))
	}
	teams := table{heading: []string{"TEAM", "WEIGHT", "IN FLIGHT", "QUEUED"}}
	for _, t := range st.Teams {
		teams.add(t.Name, t.Weight, t.InFlight, t.Queued)
	}
	pending := table{heading: []string{"NOT YET IN FORCE AT", "KEYS NOT YET WITHDRAWN IN THE STORE"}}
	pending.add(strings.Join(st.Missing, ","), strings.Join(st.PendingWithdrawals, ","))
	return []table{instance, pending, members, leases, endpoints, spend, demand, teams}
}

type audit struct {
	after uint64
	limit int
}

func newAudit(app *kingpin.Application) *audit {
	a := &audit{}
	cmd := app.Command("audit", "Shows the audit trail: who made each change and when, the values before and after, and the outcome.")
	cmd.Flag("after", "Show only changes after this version.").Uint64Var(&a.after)
	cmd.Flag("limit", "Maximum number of changes to show.").Default("100").IntVar(&a.limit)
	return a
}

func (a *audit) run(ctx context.Context, s *session) error {
	page, err := callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.AuditPage, error) {
		return c.Audit(ctx, a.after, a.limit)
	})
	if err != nil {
		return err
	}
	var lines []string
	for _, r := range page.Rows {
		when := r.Time.UTC().Format(time.RFC3339)
		lines = append(lines, fmt.Sprintf("version %d  %s  %s  %s  %s", r.Version, when, r.Operator, r.Action, r.Outcome))
		for _, d := range r.Diff {
			lines = append(lines, "  "+d)
		}
	}
	if page.Next > 0 {
		lines = append(lines, fmt.Sprintf("more: --after %d", page.Next))
	}
	return s.out.lines(page, lines...)
}

type drain struct{}

func newDrain(app *kingpin.Application) drain {
	app.Command("drain", `Drains the instance at --server: it refuses new requests, finishes those in
flight, and is no longer listed to callers.`)
	return drain{}
}

func (drain) run(ctx context.Context, s *session) error {
	resp, err := callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.DrainResponse, error) {
		return c.Drain(ctx)
	})
	if err != nil {
		return err
	}
	return s.out.lines(resp, fmt.Sprintf("draining: %s, %d requests in flight", yesNo(resp.Draining), resp.InFlight))
}

type usage struct {
	window int64
}

func newUsage(app *kingpin.Application) *usage {
	u := &usage{}
	cmd := app.Command("usage", "Shows each team's usage in one usage window. The figures of a sealed window never change.")
	cmd.Flag("window", "Start of the usage window, in Unix seconds; by default the newest sealed window.").Int64Var(&u.window)
	return u
}

func (u *usage) run(ctx context.Context, s *session) error {
	resp, err := callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.Usage, error) {
		return c.Usage(ctx, u.window)
	})
	if err != nil {
		return err
	}
	window := table{heading: []string{"WINDOW", "SEALED"}}
	window.add(time.Unix(resp.Window, 0).UTC().Format(time.RFC3339), yesNo(resp.Sealed))
	teams := table{heading: []string{"TEAM", "REQUESTS", "TOKENS", "LATE"}}
	for _, t := range resp.Teams {
		teams.add(t.Team, t.Requests, t.Tokens, t.LateTokens)
	}
	return s.out.print(resp, window, teams)
}

type steps struct{}

func newSteps(app *kingpin.Application) steps {
	app.Command("steps", "Shows the rollout steps that the instance at --server owns, and how many of their samples are complete, scored and delivered.")
	return steps{}
}

func (steps) run(ctx context.Context, s *session) error {
	resp, err := callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.Steps, error) {
		return c.Steps(ctx)
	})
	if err != nil {
		return err
	}
	list := table{heading: []string{"STEP", "TEAM", "SERVICE", "OWNER", "SAMPLES", "WHOLE", "SCORED", "UNSCORED", "DELIVERED"}}
	for _, st := range resp.Steps {
		list.add(st.ID, st.Team, st.Service, st.Owner, st.Samples, st.Completed, st.Scored, st.Unscored, st.Delivered)
	}
	return s.out.print(resp, list)
}
