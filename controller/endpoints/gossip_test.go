package endpoints_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

var noGossip = flag.Bool("silent", false, "run TestTenInstances without gossip")

// gossipPeriod is the time between two exchanges started by an instance.
const gossipPeriod = 250 * time.Millisecond

// exchange makes each instance exchange messages with a random one in each
// gossip period until ctx ends, except while stopped returns true.
func exchange(ctx context.Context, in []*instance, stopped func() bool) {
	rng := rand.New(rand.NewPCG(1, 1))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gossipPeriod):
		}
		if stopped() {
			continue
		}
		for _, a := range in {
			b := in[rng.IntN(len(in))]
			push, reply := &gossipv1.Envelope{}, &gossipv1.Envelope{}
			a.c.Fill(push, "", nil)
			b.c.HandlePush(ctx, push)
			b.c.Fill(reply, "", push)
			a.c.HandleResponse(ctx, 0, reply)
		}
	}
}

// TestTenInstances bounds the rate of observations and checks that all instances
// learn of a reclaim notice within 3 s with gossip and within 10 s without.
func TestTenInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{StartDelay: 5 * time.Second, StopNotice: 20 * time.Second})
		var in []*instance
		for i := range 10 {
			in = append(in, start(t, fake, i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			for _, i := range in {
				i.stop()
			}
		}()
		if !*noGossip {
			go exchange(ctx, in, never)
		}
		setPools(in, 1, pools(2))
		time.Sleep(time.Minute)
		wantRunning(t, in, 2, 2, 1)
		before, reads := observations.Load(), fake.Record().Reads
		time.Sleep(time.Minute)
		perSecond := float64(observations.Load()-before) / 60
		t.Logf("%.1f observations a second by ten instances of two data centres, %.1f reads in all",
			perSecond, float64(fake.Record().Reads-reads)/60)
		if !*noGossip && perSecond > 3 {
			t.Errorf("%.1f observations a second, want about one per data centre", perSecond)
		}

		fake.Reclaim("dc1", "cheap", time.Minute)
		time.Sleep(3 * time.Second)
		wantLeaving(t, in, "dc1")

		cancel() // without gossip every instance observes after reportTimeout
		fake.Reclaim("dc2", "cheap", time.Minute)
		time.Sleep(10 * time.Second)
		wantLeaving(t, in, "dc2")
	})
}

// wantLeaving checks that the snapshot of each instance marks the cheap endpoints
// of a data centre as leaving, so that no instance sends requests to them.
func wantLeaving(t *testing.T, in []*instance, dataCentre string) {
	t.Helper()
	for n, i := range in {
		leaving := 0
		for _, e := range i.views.Load().Endpoints["tags"] {
			if e.Leaving && e.DataCentre == dataCentre && e.Tier == "cheap" {
				leaving++
			}
		}
		if leaving != 2 {
			t.Errorf("instance %d has %d leaving endpoints in %s, want 2", n, leaving, dataCentre)
		}
	}
}
