package soak

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/invariant"
)

const (
	// setupTimeout bounds the time until the initial configuration is in force.
	setupTimeout = time.Minute
	// faultFreeTime is the time without faults before and after each graceful
	// shutdown.
	faultFreeTime = 10 * time.Second
	// faultPhaseTime is the length of a phase with faults.
	faultPhaseTime = 90 * time.Second
	// teardownTime is the time after the run in which all goroutines end.
	teardownTime = time.Minute
	callerCount  = 6
	trainerCount = 2
	changerCount = 2
)

// Options configures a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	// Log receives the logs of the instances and of the run. If it is nil, they
	// are discarded.
	Log io.Writer
}

// Report is the outcome of a run.
type Report struct {
	Options Options
	Verdict Verdict
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Invariants lists the violations that the program itself detected.
	Invariants []string
}

// Run runs the system for opt.Duration of fake time. It must be called in a
// synctest bubble in which no other run is active.
func Run(ctx context.Context, opt Options) (Report, error) {
	if opt.Log == nil {
		opt.Log = io.Discard
	}
	report := Report{Options: opt, Faults: map[string]int{}}
	var mu sync.Mutex
	invariant.OnBroken(func(n invariant.Name, detail string) {
		mu.Lock()
		defer mu.Unlock()
		report.Invariants = append(report.Invariants, fmt.Sprintf("%s: %s", n, detail))
	})
	defer invariant.OnBroken(nil)
	env, err := newEnvironment(opt.Seed, opt.Instances, opt.Log)
	if err != nil {
		return report, err
	}
	defer time.Sleep(teardownTime) // pending dials end at their timeouts
	defer env.close()
	setupCtx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	if err := env.setup(setupCtx, env.client()); err != nil {
		return report, err
	}
	env.runActors(ctx, opt.Duration, report.Faults)
	env.checkPlatform()
	report.Verdict = env.oracle.verdict()
	return report, nil
}

// runActors runs all actors (callers, trainers and operators) for d and injects
// faults in this time. It checks the call log at the end.
func (env *environment) runActors(ctx context.Context, d time.Duration, faults map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var (
		wg sync.WaitGroup
		c  callLog
	)
	for i := range callerCount {
		wg.Go(func() { env.caller(ctx, i, &c) })
	}
	for i := range changerCount {
		wg.Go(func() { env.changer(ctx, i) })
	}
	var p publishedVersion
	wg.Go(func() { env.publisher(ctx, &p) })
	for i := range trainerCount {
		wg.Go(func() { env.trainer(ctx, i, &p) })
	}
	wg.Go(func() { env.watchVersions(ctx) })
	wg.Go(func() { env.exerciseKeys(ctx, &c) })
	for round := 0; ctx.Err() == nil; round++ {
		pause(ctx, faultFreeTime)
		env.gracefulStop(ctx, round, &c)
		pause(ctx, faultFreeTime)
		env.runFaultPhase(ctx, round, faults)
	}
	wg.Wait()
	env.checkCallLog(&c)
}

// runFaultPhase injects faults for faultPhaseTime, during which one endpoint is
// marked as leaving.
func (env *environment) runFaultPhase(ctx context.Context, round int, faults map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, faultPhaseTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { env.exerciseLeavingEndpoint(ctx, round) })
	env.injectFaults(ctx, round, faults)
	wg.Wait()
}

// checkPlatform checks the orders and the usage reports that the platform
// received.
func (env *environment) checkPlatform() {
	record := env.platform.Record()
	type leaseTerm struct {
		epoch  uint64
		holder string
	}
	last := map[string]leaseTerm{}
	for _, o := range record.Orders {
		prev := last[o.DataCentre]
		ok := o.Epoch > prev.epoch || (o.Epoch == prev.epoch && o.Holder == prev.holder)
		env.oracle.check(OneOrderer, ok, "%s: order of %s at epoch %d after %s at %d", o.DataCentre, o.Holder, o.Epoch, prev.holder, prev.epoch)
		last[o.DataCentre] = leaseTerm{o.Epoch, o.Holder}
	}
	reported := map[int64]string{}
	for _, r := range record.Reports {
		usage := formatUsage(r)
		prev, found := reported[r.Window]
		env.oracle.check(OneReporter, !found || prev == usage, "window %d: reported %s after %s", r.Window, usage, prev)
		reported[r.Window] = usage
	}
}

func formatUsage(r infra.UsageReport) string {
	return fmt.Sprintf("%+v", r.Teams)
}

// String lists how often each guarantee was exercised and broken, the number of
// faults, and the details of violations.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d instances\n", r.Options.Seed, r.Options.Duration, r.Options.Instances)
	for g := Guarantee(1); int(g) <= guaranteeCount; g++ {
		fmt.Fprintf(&b, "%-52s exercised %7d  broken %d\n", g, r.Verdict.Exercised[g], r.Verdict.Broken[g])
	}
	for _, f := range faultKinds {
		fmt.Fprintf(&b, "fault %-30s %d\n", f.name, r.Faults[f.name])
	}
	for _, d := range r.Verdict.Details {
		fmt.Fprintf(&b, "BROKEN %s\n", d)
	}
	for _, i := range r.Invariants {
		fmt.Fprintf(&b, "INVARIANT %s\n", i)
	}
	return b.String()
}

// Err returns an error if a guarantee or an invariant was broken, or if a
// guarantee was never exercised.
func (r Report) Err() error {
	var problems []string
	for g := Guarantee(1); int(g) <= guaranteeCount; g++ {
		if r.Verdict.Broken[g] > 0 {
			problems = append(problems, fmt.Sprintf("guarantee %d broken %d times", g, r.Verdict.Broken[g]))
		}
		if r.Verdict.Exercised[g] == 0 {
			problems = append(problems, fmt.Sprintf("guarantee %d never exercised", g))
		}
	}
	if len(r.Invariants) > 0 {
		problems = append(problems, fmt.Sprintf("%d invariants broken", len(r.Invariants)))
	}
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(problems, "; "))
}
