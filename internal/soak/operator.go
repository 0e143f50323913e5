package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
)

const (
	// withdrawBound is the time within which a withdrawn key must stop working.
	withdrawBound = 3 * time.Second
	// leaveBound is the time within which a leaving endpoint must stop receiving
	// new work.
	leaveBound = 3 * time.Second
	// changeTimeout bounds a change and the wait until it is in force.
	changeTimeout = 30 * time.Second
)

// changer changes the configuration concurrently with other operators. It checks
// that a change reported as in force is in force at every instance and stays so.
func (env *environment) changer(ctx context.Context, id int) {
	rnd := env.random(fmt.Sprintf("changer-%d", id))
	client := env.client()
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, time.Second+time.Duration(rnd.Int64N(int64(4*time.Second))))
		live := env.live()
		if len(live) == 0 || ctx.Err() != nil {
			continue
		}
		in := live[rnd.IntN(len(live))]
		op := env.operator(in, fmt.Sprintf("changer-%d", id), client)
		team := config.Team{Meta: config.Meta{Name: fmt.Sprintf("extra-%d", id)}, Weight: float64(n + 1)}
		callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		resp, err := op.Change(callCtx, api.ChangeRequest{Put: config.Objects{Teams: []config.Team{team}}})
		if err == nil && resp.Committed {
			env.awaitInForce(callCtx, op, resp.Version)
		}
		cancel()
	}
}

// awaitInForce waits until an instance reports that a version is in force at all
// instances, and then checks the version of every instance that accepts requests.
func (env *environment) awaitInForce(ctx context.Context, op *api.Client, version uint64) {
	for ctx.Err() == nil {
		s, err := op.Status(ctx)
		if err == nil && s.InForce >= version {
			env.checkAllInstances(ctx, op.HTTP, version)
			return
		}
		pause(ctx, 200*time.Millisecond)
	}
}

func (env *environment) checkAllInstances(ctx context.Context, client *http.Client, version uint64) {
	for _, in := range env.live() {
		s, err := env.operator(in, "check", client).Status(ctx)
		if err != nil || !s.Fresh {
			continue // it accepts no request with a key
		}
		env.oracle.check(ConfigNeverReverts, s.Version >= version,
			"%s has version %d after %d was in force", in.name, s.Version, version)
	}
}

// watchVersions checks that no instance's version decreases.
func (env *environment) watchVersions(ctx context.Context) {
	client := env.client()
	for ctx.Err() == nil {
		for _, in := range env.live() {
			s, err := env.operator(in, "watch", client).Status(ctx)
			if err != nil {
				continue
			}
			prev := in.version.Load()
			env.oracle.check(ConfigNeverReverts, s.Version >= prev, "%s went back from version %d to %d", in.name, prev, s.Version)
			in.version.Store(max(prev, s.Version))
		}
		pause(ctx, time.Second)
	}
}

// exerciseKeys repeatedly creates a key, uses it at every instance and withdraws
// it. It checks that the key then stops working at all instances, also for running
// streams.
func (env *environment) exerciseKeys(ctx context.Context, c *callLog) {
	rnd := env.random("keys")
	client := env.client()
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, 3*time.Second)
		live := env.live()
		if len(live) == 0 {
			continue
		}
		op := env.operator(live[rnd.IntN(len(live))], "keys", client)
		name := fmt.Sprintf("temp-%d", n)
		k, err := op.CreateKey(ctx, api.KeyRequest{Name: name, Team: teamName(rnd.IntN(teamCount))})
		if err != nil {
			continue
		}
		env.useAndWithdraw(ctx, k, client, c)
	}
}

// keyUse is a key that is in use at all instances.
type keyUse struct {
	name, secret string
	// withdrawnAt is the Unix time in nanoseconds at which the withdrawal was
	// acknowledged. It is zero before that.
	withdrawnAt atomic.Int64
}

// pastBound reports whether withdrawBound has passed since the key's withdrawal.
func (k *keyUse) pastBound(t time.Time) bool {
	withdrawn := k.withdrawnAt.Load()
	return withdrawn != 0 && t.Sub(time.Unix(0, withdrawn)) > withdrawBound
}

func (env *environment) useAndWithdraw(ctx context.Context, k api.KeyResponse, client *http.Client, c *callLog) {
	use := &keyUse{name: k.Name, secret: k.Key}
	useCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, in := range env.live() {
		wg.Go(func() { env.useKey(useCtx, in, use, c) })
	}
	pause(ctx, 4*time.Second)
	for ctx.Err() == nil && use.withdrawnAt.Load() == 0 {
		env.withdraw(ctx, client, use)
		pause(ctx, 200*time.Millisecond)
	}
	pause(ctx, withdrawBound+2*time.Second)
	stop()
	wg.Wait()
}

func (env *environment) withdraw(ctx context.Context, client *http.Client, use *keyUse) {
	for _, in := range env.live() {
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp, err := env.operator(in, "keys", client).WithdrawKey(callCtx, use.name)
		cancel()
		if err == nil && (resp.InForce || resp.Durable) {
			use.withdrawnAt.Store(time.Now().UnixNano())
			return
		}
	}
}

// useKey streams long responses with a key from one instance until ctx ends.
func (env *environment) useKey(ctx context.Context, in *instance, use *keyUse, c *callLog) {
	client := env.client()
	for ctx.Err() == nil && !in.leaving.Load() {
		started := time.Now()
		content := env.newContent("keyed")
		r, resp := env.send(ctx, client, in, taggerService+"/v1/generate", use.secret, content, longRequest(content))
		if resp != nil {
			env.oracle.check(WithdrawnKeyStops, !use.pastBound(started), "%s at %s: started with %s after its withdrawal", content, in.name, use.name)
			env.readKeyedStream(resp, in, use, content)
			resp.Body.Close()
		} else {
			refused := use.pastBound(started) && r.code == code.KeyWithdrawn
			env.oracle.check(WithdrawnKeyStops, true, "refused: %v", refused)
			env.record(in, r, c)
		}
		pause(ctx, 300*time.Millisecond)
	}
}
