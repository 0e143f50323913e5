package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

const (
	// maxFaultPause bounds the pause between two faults.
	maxFaultPause = 6 * time.Second
	// maxFaultTime bounds the duration of a fault.
	maxFaultTime = 15 * time.Second
	// shutdownTimeout bounds the wait for the end of a graceful shutdown.
	shutdownTimeout = requestTime + 30*time.Second
	// doubleFaultTenths is the share of injections with two faults at once, in
	// tenths.
	doubleFaultTenths = 4
)

// fault is a kind of fault. Its function injects the fault. If the fault lasts, the
// function removes it after about the given time.
type fault struct {
	name string
	run  func(env *environment, ctx context.Context, rnd *rand.Rand, d time.Duration)
}

var faultKinds = []fault{
	{"store down", (*environment).storeDown},
	{"store slow", (*environment).storeSlow},
	{"responses lost", (*environment).loseResponses},
	{"instance killed", (*environment).killInstance},
	{"instance cut from store", (*environment).cutFromStore},
	{"instances split", (*environment).split},
	{"instance frozen", (*environment).freezeInstance},
	{"connections silent", (*environment).silenceConnections},
	{"endpoint crashes", (*environment).crashEndpoint},
	{"endpoint stalls", (*environment).stallEndpoint},
	{"responses crossed", (*environment).crossResponses},
	{"endpoint loses responses", (*environment).loseEndpointResponses},
	{"endpoints reclaimed", (*environment).reclaim},
}

// injectFaults injects random faults, one or two at a time, until ctx ends. It
// counts them by name in counts.
func (env *environment) injectFaults(ctx context.Context, round int, counts map[string]int) {
	rnd := env.random(fmt.Sprintf("trouble-%d", round))
	for ctx.Err() == nil {
		pause(ctx, time.Duration(rnd.Int64N(int64(maxFaultPause))))
		n := 1
		if rnd.IntN(10) < doubleFaultTenths {
			n = 2
		}
		var wg sync.WaitGroup
		for range n {
			f := faultKinds[rnd.IntN(len(faultKinds))]
			d := time.Duration(rnd.Int64N(int64(maxFaultTime)))
			faultRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
			counts[f.name]++
			env.log.Info("fault", "name", f.name, "hold", d)
			wg.Go(func() { f.run(env, ctx, faultRand, d) })
		}
		wg.Wait()
	}
}

// setPlatformFaults changes the platform's faults. It keeps the settings of other
// active faults, except for the numbers of requests and responses to lose, which
// start at zero in each call.
func (env *environment) setPlatformFaults(change func(*fakeplatform.Faults)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change(&env.faults)
	env.platform.SetFaults(env.faults)
	env.faults.LoseResponses, env.faults.LoseRequests = 0, 0
}

func (env *environment) storeDown(ctx context.Context, _ *rand.Rand, d time.Duration) {
	env.setPlatformFaults(func(f *fakeplatform.Faults) { f.Down = true })
	pause(ctx, d)
	env.setPlatformFaults(func(f *fakeplatform.Faults) { f.Down = false })
}

func (env *environment) storeSlow(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	slow := time.Duration(rnd.Int64N(int64(3 * time.Second)))
	env.setPlatformFaults(func(f *fakeplatform.Faults) { f.Slow, f.SlowResponse = slow/2, slow/2 })
	pause(ctx, d)
	env.setPlatformFaults(func(f *fakeplatform.Faults) { f.Slow, f.SlowResponse = 0, 0 })
}

func (env *environment) loseResponses(_ context.Context, rnd *rand.Rand, _ time.Duration) {
	env.setPlatformFaults(func(f *fakeplatform.Faults) { f.LoseResponses, f.LoseRequests = 1+rnd.IntN(6), rnd.IntN(4) })
}

func (env *environment) pickInstance(rnd *rand.Rand) *instance {
	live := env.live()
	if len(live) == 0 {
		return nil
	}
	return live[rnd.IntN(len(live))]
}

// killInstance crashes an instance and starts a new one in its data centre.
func (env *environment) killInstance(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	in := env.pickInstance(rnd)
	if in == nil || len(env.live()) < 3 {
		return
	}
	env.kill(in)
	pause(ctx, d/2)
	env.startInstance(in.settings.DataCentre)
}

func (env *environment) cutFromStore(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	if in := env.pickInstance(rnd); in != nil {
		env.net.Cut(in.name, platformHost)
		pause(ctx, d)
		env.net.Heal(in.name, platformHost)
	}
}

// split disconnects one instance from all others, and at random from the store
// too.
func (env *environment) split(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	in := env.pickInstance(rnd)
	if in == nil {
		return
	}
	others := env.live()
	store := rnd.IntN(2) == 0
	for _, o := range others {
		env.net.Cut(in.name, o.name)
	}
	if store {
		env.net.Cut(in.name, platformHost)
	}
	pause(ctx, d)
	for _, o := range others {
		env.net.Heal(in.name, o.name)
	}
	if store {
		env.net.Heal(in.name, platformHost)
	}
}

// freezeInstance simulates the suspension of one instance: it neither sends nor
// receives anything, and its boot time jumps ahead at the end. In contrast to a
// real suspension its timers continue, but nothing that they start is sent.
func (env *environment) freezeInstance(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	in := env.pickInstance(rnd)
	if in == nil || !in.clock.freeze() {
		return
	}
	env.net.Freeze(in.name)
	pause(ctx, d)
	in.clock.resume()
	env.net.Thaw(in.name)
}

// silenceConnections makes all open connections between an instance and a random
// host silent.
func (env *environment) silenceConnections(_ context.Context, rnd *rand.Rand, _ time.Duration) {
	in := env.pickInstance(rnd)
	if in == nil {
		return
	}
	hosts := []string{platformHost, clientHost}
	for _, o := range env.live() {
		hosts = append(hosts, o.name)
	}
	for _, ep := range env.allEndpoints() {
		hosts = append(hosts, ep.host)
	}
	env.net.Silence(in.name, hosts[rnd.IntN(len(hosts))])
}

func (env *environment) pickEndpoint(rnd *rand.Rand) *testEndpoint {
	list := append(env.configuredEndpoints(true), env.configuredEndpoints(false)...)
	return list[rnd.IntN(len(list))]
}

func (env *environment) crashEndpoint(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	ep := env.pickEndpoint(rnd)
	ep.Crash()
	pause(ctx, d/2)
	ep.Restart()
}

// setEndpointFaults sets the faults of a random endpoint for d.
func (env *environment) setEndpointFaults(ctx context.Context, rnd *rand.Rand, d time.Duration, f fakeendpoint.Faults) {
	ep := env.pickEndpoint(rnd)
	ep.SetFaults(f)
	pause(ctx, d)
	ep.SetFaults(fakeendpoint.Faults{})
}

func (env *environment) stallEndpoint(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	f := fakeendpoint.Faults{StallAfter: 1 + rnd.IntN(40)}
	if rnd.IntN(2) == 0 {
		f = fakeendpoint.Faults{TruncateAfter: 1 + rnd.IntN(40)}
	}
	env.setEndpointFaults(ctx, rnd, d, f)
}

func (env *environment) crossResponses(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	env.setEndpointFaults(ctx, rnd, d, fakeendpoint.Faults{CrossedResponses: 1 + rnd.IntN(3)})
}

func (env *environment) loseEndpointResponses(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	env.setEndpointFaults(ctx, rnd, d, fakeendpoint.Faults{LoseResponses: 1 + rnd.IntN(3), LoseRequests: rnd.IntN(2)})
}

func (env *environment) reclaim(ctx context.Context, rnd *rand.Rand, d time.Duration) {
	dc := dataCentres[rnd.IntN(len(dataCentres))]
	env.platform.Reclaim(dc, "cheap", 3*time.Second)
	pause(ctx, d)
	if err := env.platform.MakeAvailable(dc, "cheap"); err != nil {
		env.log.Warn("platform refused to offer capacity again", "error", err)
	}
}
