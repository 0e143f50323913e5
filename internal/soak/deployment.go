package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/view"
)

const (
	taggerService = "tagger"
	clipService   = "clips"
	// privateService uses the endpoints of clipService. Only ownerTeam may call
	// it.
	privateService = "private"
	// pooledService uses endpoints that the system orders from the platform.
	pooledService = "pooled"

	ownerTeam = "team-0"
	teamCount = 3
	// secretPrefix is the prefix of every caller's key in the deployment.
	secretPrefix = "secret-of-"
)

func teamName(i int) string    { return fmt.Sprintf("team-%d", i) }
func teamSecret(i int) string  { return secretPrefix + teamName(i) }
func teamKeyName(i int) string { return fmt.Sprintf("key-%d", i) }

// deployment returns the objects of the initial configuration.
func (env *environment) deployment() config.Objects {
	var o config.Objects
	for i := range teamCount {
		o.Teams = append(o.Teams, config.Team{Meta: config.Meta{Name: teamName(i)}, Weight: 1})
		o.Keys = append(o.Keys, config.Key{
			Meta: config.Meta{Name: teamKeyName(i)}, Team: teamName(i), Digest: view.Digest(teamSecret(i)),
		})
	}
	o.Services = []config.Service{
		{Meta: config.Meta{Name: taggerService}, Type: config.ServiceEngine, Idempotent: true,
			Endpoints: label.MustParse("app=" + taggerService)},
		{Meta: config.Meta{Name: clipService}, Type: config.ServicePlain,
			Endpoints: label.MustParse("app=" + clipService)},
		{Meta: config.Meta{Name: privateService}, Type: config.ServicePlain,
			Endpoints: label.MustParse("app=" + clipService), Teams: []string{ownerTeam}},
		{Meta: config.Meta{Name: pooledService}, Type: config.ServiceEngine,
			Endpoints: label.MustParse("app=" + pooledService), Pools: pools()},
	}
	for _, ep := range append(env.configuredEndpoints(true), env.configuredEndpoints(false)...) {
		o.Endpoints = append(o.Endpoints, ep.object)
	}
	for _, in := range env.live() {
		o.Members = append(o.Members, member(in))
	}
	return o
}

func pools() []config.Pool {
	var list []config.Pool
	for _, dc := range dataCentres {
		list = append(list, config.Pool{DataCentre: dc, Tier: "cheap", Min: 1, Max: 2, HourlyCost: 1})
	}
	return list
}

func member(in *instance) config.Member {
	return config.Member{Meta: config.Meta{Name: in.name}, DataCentre: in.settings.DataCentre}
}

// setup applies the initial configuration and waits until every instance has it.
func (env *environment) setup(ctx context.Context, client *http.Client) error {
	var err error
	for ctx.Err() == nil {
		_, err = env.operator(env.live()[0], "setup", client).Change(ctx, api.ChangeRequest{Put: env.deployment()})
		if err == nil {
			break
		}
		pause(ctx, time.Second)
	}
	for _, in := range env.live() {
		for ctx.Err() == nil {
			s, serr := env.operator(in, "setup", client).Status(ctx)
			if serr == nil && s.Version > 0 && s.Fresh {
				break
			}
			pause(ctx, 100*time.Millisecond)
		}
	}
	if ctx.Err() != nil {
		return fmt.Errorf("initial configuration is not in force in time: %w", err)
	}
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
