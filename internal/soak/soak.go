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
	// setupTime bounds the time until the deployment is in force.
	setupTime = time.Minute
	// calmTime is the quiet time before and after graceful shutdowns.
	calmTime = 10 * time.Second
	// troublePhase is the length of a phase with faults between two calm ones.
	troublePhase = 90 * time.Second
	// endTime is the time for everything to end after the run.
	endTime     = time.Minute
	callerCount = 6
	trainers    = 2
	changers    = 2
)

// Options says what to run.
type Options struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	// Log takes the logs of the instances and of the run; nil drops them.
	Log io.Writer
}

// Report is the outcome of a run.
type Report struct {
	Options Options
	Verdict Verdict
	// Faults counts the faults by name, and Invariants those broken inside
	// the program.
	Faults     map[string]int
	Invariants []string
}

// Run runs the system for a while of fake time. It must be called within a
// synctest bubble, in which no other run goes on.
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
	w, err := newWorld(opt.Seed, opt.Instances, opt.Log)
	if err != nil {
		return report, err
	}
	defer time.Sleep(endTime) // dials under way end by their timeouts
	defer w.close()
	setupCtx, cancel := context.WithTimeout(ctx, setupTime)
	defer cancel()
	if err := w.setup(setupCtx, w.client()); err != nil {
		return report, err
	}
	w.play(ctx, opt.Duration, report.Faults)
	w.checkPlatform()
	report.Verdict = w.oracle.verdict()
	return report, nil
}

// play runs all actors for a while.
func (w *world) play(ctx context.Context, d time.Duration, faults map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var (
		wg sync.WaitGroup
		c  calls
	)
	for i := range callerCount {
		wg.Go(func() { w.caller(ctx, i, &c) })
	}
	for i := range changers {
		wg.Go(func() { w.changer(ctx, i) })
	}
	var p published
	wg.Go(func() { w.publisher(ctx, &p) })
	for i := range trainers {
		wg.Go(func() { w.trainer(ctx, i, &p) })
	}
	wg.Go(func() { w.versions(ctx) })
	wg.Go(func() { w.keys(ctx, &c) })
	for round := 0; ctx.Err() == nil; round++ {
		pause(ctx, calmTime)
		w.gracefulStop(ctx, round, &c)
		pause(ctx, calmTime)
		w.troubleFor(ctx, round, faults)
	}
	wg.Wait()
	w.checkCalls(&c)
}

func (w *world) troubleFor(ctx context.Context, round int, faults map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, troublePhase)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { w.leaveEndpoint(ctx, round) })
	w.trouble(ctx, round, faults)
	wg.Wait()
}

// checkPlatform checks orders and reports as the platform saw them.
func (w *world) checkPlatform() {
	record := w.platform.Record()
	type charge struct {
		epoch  uint64
		holder string
	}
	last := map[string]charge{}
	for _, o := range record.Orders {
		was := last[o.DataCentre]
		ok := o.Epoch > was.epoch || (o.Epoch == was.epoch && o.Holder == was.holder)
		w.oracle.check(OneOrderer, ok, "%s: order of %s at epoch %d after %s at %d", o.DataCentre, o.Holder, o.Epoch, was.holder, was.epoch)
		last[o.DataCentre] = charge{o.Epoch, o.Holder}
	}
	first := map[int64]string{}
	for _, r := range record.Reports {
		figures := figuresOf(r)
		was, seen := first[r.Window]
		w.oracle.check(OneReporter, !seen || was == figures, "window %d: %s, before %s", r.Window, figures, was)
		first[r.Window] = figures
	}
}

func figuresOf(r infra.UsageReport) string {
	return fmt.Sprintf("%+v", r.Teams)
}

// String lists, by line, how often it was exercised and broken.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d instances\n", r.Options.Seed, r.Options.Duration, r.Options.Instances)
	for l := Line(1); int(l) <= lineCount; l++ {
		fmt.Fprintf(&b, "%-52s exercised %7d  broken %d\n", l, r.Verdict.Exercised[l], r.Verdict.Broken[l])
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

// Err reports broken lines, broken invariants and lines never exercised.
func (r Report) Err() error {
	var faults []string
	for l := Line(1); int(l) <= lineCount; l++ {
		if r.Verdict.Broken[l] > 0 {
			faults = append(faults, fmt.Sprintf("line %d broken %d times", l, r.Verdict.Broken[l]))
		}
		if r.Verdict.Exercised[l] == 0 {
			faults = append(faults, fmt.Sprintf("line %d never exercised", l))
		}
	}
	if len(r.Invariants) > 0 {
		faults = append(faults, fmt.Sprintf("%d invariants broken", len(r.Invariants)))
	}
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(faults, "; "))
}
