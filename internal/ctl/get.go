package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
)

// kinds maps the accepted arguments to kinds. The empty kind means all kinds.
var kinds = map[string]config.Kind{
	"all":  "",
	"team": config.KindTeam, "teams": config.KindTeam,
	"key": config.KindKey, "keys": config.KindKey,
	"service": config.KindService, "services": config.KindService,
	"endpoint": config.KindEndpoint, "endpoints": config.KindEndpoint,
	"member": config.KindMember, "members": config.KindMember,
}

const (
	kindHelp     = "Kind: teams, keys, services, endpoints, members."
	selectorHelp = `Selector over labels, for example "zone=a,tier!=cheap" or "role in (prefill,decode)".`
)

func parseKind(text string) (config.Kind, error) {
	kind, ok := kinds[text]
	if !ok {
		return "", fmt.Errorf("%w: unknown kind %q; valid kinds are teams, keys, services, endpoints, members and all", errUsage, text)
	}
	return kind, nil
}

type get struct {
	kind     string
	names    []string
	selector string
}

func newGet(app *kingpin.Application) *get {
	g := &get{}
	cmd := app.Command("get", `Shows objects of the configuration.

Keys are shown as digests. The key itself is shown only once, when it is created.`)
	cmd.Arg("kind", kindHelp+" For every kind: all.").Required().StringVar(&g.kind)
	cmd.Arg("name", "Show only objects with these names.").StringsVar(&g.names)
	cmd.Flag("selector", selectorHelp).Short('l').StringVar(&g.selector)
	return g
}

func (g *get) run(ctx context.Context, s *session) error {
	kind, err := parseKind(g.kind)
	if err != nil {
		return err
	}
	list, err := s.objects(ctx, kind, g.selector)
	if err != nil {
		return err
	}
	filterByName(&list.Objects, g.names)
	return s.out.print(list, objectTables(list.Objects, kind)...)
}

func (s *session) objects(ctx context.Context, kind config.Kind, selector string) (api.Objects, error) {
	return callAnyServer(ctx, s, func(ctx context.Context, c *api.Client) (api.Objects, error) {
		return c.Objects(ctx, kind, selector)
	})
}

func filterByName(o *config.Objects, names []string) {
	if len(names) == 0 {
		return
	}
	o.Teams = withNames(o.Teams, names, func(t config.Team) string { return t.Name })
	o.Keys = withNames(o.Keys, names, func(k config.Key) string { return k.Name })
	o.Services = withNames(o.Services, names, func(v config.Service) string { return v.Name })
	o.Endpoints = withNames(o.Endpoints, names, func(e config.Endpoint) string { return e.Name })
	o.Members = withNames(o.Members, names, func(m config.Member) string { return m.Name })
}

func withNames[T any](list []T, names []string, name func(T) string) []T {
	return slices.DeleteFunc(list, func(v T) bool { return !slices.Contains(names, name(v)) })
}

// objectTables returns a table for the kind. If kind is empty, it returns a
// table for each kind that has objects.
func objectTables(o config.Objects, kind config.Kind) []table {
	teams := table{heading: []string{"TEAM", "WEIGHT", "MAX IN FLIGHT", "LABELS"}}
	for _, t := range o.Teams {
		teams.add(t.Name, t.Weight, t.MaxInFlight, labels(t.Labels))
	}
	keys := table{heading: []string{"KEY", "TEAM", "WITHDRAWN", "DIGEST", "LABELS"}}
	for _, k := range o.Keys {
		keys.add(k.Name, k.Team, yesNo(k.Withdrawn), k.Digest, labels(k.Labels))
	}
	services := table{heading: []string{"SERVICE", "TYPE", "ENDPOINTS", "TEAMS", "OPEN", "IDEMPOTENT", "LABELS"}}
	for _, v := range o.Services {
		services.add(v.Name, v.Type, v.Endpoints, strings.Join(v.Teams, ","), yesNo(v.Open), yesNo(v.Idempotent), labels(v.Labels))
	}
	endpoints := table{heading: []string{"ENDPOINT", "DATA CENTRE", "ADDR", "LEAVING", "CHECKS EPOCH", "LABELS"}}
	for _, e := range o.Endpoints {
		endpoints.add(e.Name, e.DataCentre, e.Addr, yesNo(e.Leaving), yesNo(e.ChecksEpoch), labels(e.Labels))
	}
	members := table{heading: []string{"MEMBER", "DATA CENTRE", "LABELS"}}
	for _, m := range o.Members {
		members.add(m.Name, m.DataCentre, labels(m.Labels))
	}
	byKind := map[config.Kind]table{
		config.KindTeam: teams, config.KindKey: keys, config.KindService: services,
		config.KindEndpoint: endpoints, config.KindMember: members,
	}
	if kind != "" {
		return []table{byKind[kind]}
	}
	var tables []table
	for _, t := range []table{teams, keys, services, endpoints, members} {
		if len(t.rows) > 0 {
			tables = append(tables, t)
		}
	}
	return tables
}

type remove struct {
	commitFlags
	kind     string
	names    []string
	selector string
}

func newRemove(app *kingpin.Application) *remove {
	r := &remove{}
	cmd := app.Command("delete", `Deletes objects by name or by selector.

To withdraw a key, use "key withdraw" instead: it takes effect immediately, even
while the platform's store is down.`)
	cmd.Arg("kind", kindHelp).Required().StringVar(&r.kind)
	cmd.Arg("name", "Names of the objects to delete.").StringsVar(&r.names)
	cmd.Flag("selector", selectorHelp).Short('l').StringVar(&r.selector)
	r.bind(cmd)
	return r
}

func (r *remove) run(ctx context.Context, s *session) error {
	kind, err := parseKind(r.kind)
	if err != nil {
		return err
	}
	if kind == "" || (len(r.names) == 0) == (r.selector == "") {
		return fmt.Errorf("%w: specify one kind, and either names or a selector", errUsage)
	}
	req := api.ChangeRequest{DryRun: r.dryRun}
	names := r.names
	if r.selector != "" {
		list, err := s.objects(ctx, kind, r.selector)
		if err != nil {
			return err
		}
		names = objectNames(list.Objects)
		req.Expected = &list.Version // deletes exactly the objects that were selected
	}
	for _, name := range names {
		req.Delete = append(req.Delete, config.Ref{Kind: kind, Name: name})
	}
	return s.commit(ctx, req, r.commitFlags)
}

func objectNames(o config.Objects) []string {
	var names []string
	for _, t := range objectTables(o, "") {
		for _, row := range t.rows {
			names = append(names, row[0])
		}
	}
	return names
}
