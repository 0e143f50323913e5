package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
)

// shutdownStreams is the number of streams that run when an instance starts to
// shut down.
const shutdownStreams = 4

// minShutdownTokens is the minimum length of these streams. With it they are still
// running when the instance no longer accepts requests.
const minShutdownTokens = 1800

// gracefulStop shuts down an instance while streams run there, checks that each of
// them completes, and starts a new instance in its data centre. No faults are
// injected in this time, so the shutdown is the cause if a stream is interrupted.
func (env *environment) gracefulStop(ctx context.Context, round int, c *callLog) {
	rnd := env.random(fmt.Sprintf("stop-%d", round))
	in := env.pickInstance(rnd)
	if in == nil {
		return
	}
	var wg sync.WaitGroup
	for range shutdownStreams {
		tokens := minShutdownTokens + rnd.IntN(minShutdownTokens)
		wg.Go(func() {
			r := env.callTagger(ctx, env.client(), in, teamSecret(0), tokens, c)
			if r.status == http.StatusOK && ctx.Err() == nil {
				env.oracle.check(ShutdownCutsNone, r.complete, "%s at %s: interrupted by a graceful shutdown: %v", r.content, in.name, r.err)
			}
		})
	}
	pause(ctx, time.Second)
	env.remove(in)
	env.platform.SetInstance(leavingEntry(in))
	in.cancel()
	wg.Wait()
	select {
	case <-in.done:
	case <-time.After(shutdownTimeout):
		env.oracle.check(ShutdownCutsNone, false, "%s did not end within %s", in.name, shutdownTimeout)
	}
	env.net.Kill(in.name) // the end of the process closes its connections
	env.platform.RemoveInstance(in.name)
	env.startInstance(in.settings.DataCentre)
}

// exerciseLeavingEndpoint marks an endpoint as leaving and checks that it receives
// no new requests after leaveBound.
func (env *environment) exerciseLeavingEndpoint(ctx context.Context, round int) {
	rnd := env.random(fmt.Sprintf("leave-%d", round))
	client := env.client()
	ep := env.configuredEndpoints(true)[rnd.IntN(engineCount)]
	if !env.markLeaving(ctx, client, ep, true) {
		return
	}
	pause(ctx, leaveBound)
	before := generateCalls(ep)
	pause(ctx, 5*time.Second)
	if ctx.Err() == nil {
		env.oracle.check(LeavingGetsNothing, generateCalls(ep) == before, "%s received %d new requests although it was leaving", ep.host, generateCalls(ep)-before)
	}
	for ctx.Err() == nil && !env.markLeaving(ctx, client, ep, false) {
		pause(ctx, time.Second)
	}
}

func (env *environment) markLeaving(ctx context.Context, client *http.Client, ep *testEndpoint, leaving bool) bool {
	live := env.live()
	if len(live) == 0 {
		return false
	}
	object := ep.object
	object.Leaving = leaving
	put := config.Objects{Endpoints: []config.Endpoint{object}}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	resp, err := env.operator(live[0], "leaver", client).Change(ctx, api.ChangeRequest{Put: put})
	return err == nil && resp.Committed
}

// generateCalls returns the number of requests for tokens that an endpoint has
// received so far.
func generateCalls(ep *testEndpoint) int {
	n := 0
	for _, exchange := range ep.Record().Requests {
		if exchange.URL == "/v1/generate" {
			n++
		}
	}
	return n
}

// leavingEntry returns the entry of an instance that shuts down in the platform's
// list.
func leavingEntry(in *instance) infra.Instance {
	return infra.Instance{
		Name: in.name, DataCentre: in.settings.DataCentre, State: infra.InstanceLeaving,
		PeerAddr: in.settings.Listen.Peers, CallerAddr: in.settings.Listen.Callers,
	}
}
