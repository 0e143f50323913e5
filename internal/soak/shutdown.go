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

// shutdownStreams is the number of streams under way when an instance is told
// to stop.
const shutdownStreams = 4

// shutdownTokens is the least length of these streams: longer than a stopping
// instance goes on taking requests.
const shutdownTokens = 1800

// gracefulStop stops an instance while streams run there, checks that each
// comes whole, and starts a fresh instance in its place. Nothing else fails
// meanwhile, so a stream that is cut was cut by the shutdown.
func (w *world) gracefulStop(ctx context.Context, round int, c *calls) {
	rnd := w.random(fmt.Sprintf("stop-%d", round))
	in := w.pickInstance(rnd)
	if in == nil {
		return
	}
	var wg sync.WaitGroup
	for range shutdownStreams {
		tokens := shutdownTokens + rnd.IntN(shutdownTokens)
		wg.Go(func() {
			r := w.callTagger(ctx, w.client(), in, teamSecret(0), tokens, c)
			if r.status == http.StatusOK && ctx.Err() == nil {
				w.oracle.check(ShutdownCutsNone, r.whole, "%s at %s: cut by a graceful shutdown: %v", r.content, in.name, r.err)
			}
		})
	}
	pause(ctx, time.Second)
	w.remove(in)
	w.platform.SetInstance(leavingEntry(in))
	in.cancel()
	wg.Wait()
	select {
	case <-in.done:
	case <-time.After(shutdownWait):
		w.oracle.check(ShutdownCutsNone, false, "%s did not end within %s", in.name, shutdownWait)
	}
	w.net.Kill(in.name) // its process is gone, and its connections with it
	w.platform.RemoveInstance(in.name)
	w.startInstance(in.set.DataCentre)
}

// leaveEndpoint marks an endpoint as leaving and checks that it gets nothing
// new after the bound.
func (w *world) leaveEndpoint(ctx context.Context, round int) {
	rnd := w.random(fmt.Sprintf("leave-%d", round))
	client := w.client()
	b := w.backendsOf(true)[rnd.IntN(engineCount)]
	if !w.markLeaving(ctx, client, b, true) {
		return
	}
	pause(ctx, leaveBound)
	before := newWork(b)
	pause(ctx, 5*time.Second)
	if ctx.Err() == nil {
		w.oracle.check(LeavingGetsNothing, newWork(b) == before, "%s got %d requests after it left", b.host, newWork(b)-before)
	}
	for ctx.Err() == nil && !w.markLeaving(ctx, client, b, false) {
		pause(ctx, time.Second)
	}
}

func (w *world) markLeaving(ctx context.Context, client *http.Client, b *backend, leaving bool) bool {
	live := w.live()
	if len(live) == 0 {
		return false
	}
	object := b.object
	object.Leaving = leaving
	put := config.Objects{Endpoints: []config.Endpoint{object}}
	ctx, cancel := context.WithTimeout(ctx, forceWait)
	defer cancel()
	resp, err := w.operator(live[0], "leaver", client).Change(ctx, api.ChangeRequest{Put: put})
	return err == nil && resp.Committed
}

// newWork counts the requests for tokens that an endpoint ever got.
func newWork(b *backend) int {
	n := 0
	for _, x := range b.Record().Exchanges {
		if x.URL == "/v1/generate" {
			n++
		}
	}
	return n
}

// leavingEntry is what the platform's list says of an instance that stops.
func leavingEntry(in *instance) infra.Instance {
	return infra.Instance{
		Name: in.name, DataCentre: in.set.DataCentre, State: infra.InstanceLeaving,
		PeerAddr: in.set.Listen.Peers, CallerAddr: in.set.Listen.Callers,
	}
}
