package usage_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/controller/usage"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/view"
)

type instance struct {
	*usage.Counter
	stop func()
	off  atomic.Bool
}

// crash stops the instance without any further write to the table.
func (in *instance) crash() {
	in.off.Store(true)
	in.stop()
}

// partitionedTable is a table whose writes fail while off is set.
type partitionedTable struct {
	infra.Table
	off *atomic.Bool
}

func (c *partitionedTable) Commit(ctx context.Context, ops ...infra.Op) error {
	if c.off.Load() {
		return infra.ErrUnavailable
	}
	return c.Table.Commit(ctx, ops...)
}

// timing contains the periods of an instance.
type timing struct {
	lease, window, flush, grace time.Duration
	storeAvailableFor           func() time.Duration
}

func start(t *testing.T, fake *fakeplatform.Platform, i int, flush time.Duration) *instance {
	return startWith(t, fake, i, timing{lease: 5 * time.Second, window: time.Minute, flush: flush})
}

func startWith(t *testing.T, fake *fakeplatform.Platform, i int, o timing) *instance {
	p := fake.Platform()
	in := &instance{}
	p.Table = &partitionedTable{Table: p.Table, off: &in.off}
	views := view.NewStore()
	name := fmt.Sprintf("i%d", i)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	manager := leases.NewManager(leases.Options{
		Table: p.Table, Clock: clock.NewMonotonic(), Holder: name, Incarnation: 1,
		Duration: o.lease, Log: log,
	}, views)
	c := usage.New(usage.Options{
		Reports: p.Usage, Leases: manager, Holder: name, Incarnation: 1,
		Log: log, Metrics: tally.NoopScope, Window: o.window, Flush: o.flush, Grace: o.grace,
		StoreAvailableFor: o.storeAvailableFor,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = manager.Run(ctx) })
	wg.Go(func() { _ = c.Run(ctx) })
	in.Counter, in.stop = c.Counter(), func() { cancel(); wg.Wait() }
	return in
}

// TestReportedUsageEqualsCountedUsage runs three instances through lost requests
// and responses, an outage and the shutdown of an instance. Every window must have
// a single set of figures, and their sum must equal the counted usage.
func TestReportedUsageEqualsCountedUsage(t *testing.T) {
	systemtest.FailOnBrokenInvariant(t)
	synctest.Test(t, func(t *testing.T) {
		const flush = 2 * time.Second
		fake := fakeplatform.New(fakeplatform.Options{})
		var in []*instance
		for i := range 3 {
			in = append(in, start(t, fake, i, flush))
			time.Sleep(700 * time.Millisecond) // the instances flush at different times
		}
		rnd := rand.New(rand.NewPCG(1, 2))
		var want infra.TeamUsage
		for second := range 1800 {
			switch {
			case second == 600:
				fake.SetFaults(fakeplatform.Faults{Down: true})
			case second == 900:
				fake.SetFaults(fakeplatform.Faults{})
			case second == 1000:
				in[0].stop()
				in[0] = start(t, fake, 3, flush)
			case second%10 == 0 && (second < 600 || second > 900):
				fake.SetFaults(fakeplatform.Faults{LoseResponses: rnd.IntN(3), LoseRequests: rnd.IntN(3)})
			}
			for _, i := range in {
				tokens := uint64(rnd.IntN(100))
				i.Add("pressing", 1, tokens)
				want.Requests++
				want.Tokens += tokens
			}
			time.Sleep(time.Second)
		}
		fake.SetFaults(fakeplatform.Faults{})
		time.Sleep(5 * time.Minute)
		for _, i := range in {
			i.stop()
		}
		check(t, fake.Record().Reports, want)
	})
}

func check(t *testing.T, list []infra.UsageReport, want infra.TeamUsage) {
	t.Helper()
	got := sum(t, list)
	t.Logf("%d reports: %d requests, %d tokens, %d of them late", len(list), got.Requests, got.Tokens, got.LateTokens)
	if got.Requests != want.Requests || got.Tokens != want.Tokens {
		t.Errorf("reported %+v, counted %+v", got, want)
	}
	if got.LateTokens != 0 {
		t.Errorf("%d tokens late, although no single instance was cut off", got.LateTokens)
	}
}

// sum adds up the reports, each window once. It fails the test if reports of a
// window differ.
func sum(t *testing.T, list []infra.UsageReport) infra.TeamUsage {
	t.Helper()
	windows := map[int64][]infra.TeamUsage{}
	var got infra.TeamUsage
	for _, r := range list {
		if before, ok := windows[r.Window]; ok {
			if !reflect.DeepEqual(before, r.Teams) {
				t.Errorf("window %d reported as %v and %v", r.Window, before, r.Teams)
			}
			continue
		}
		windows[r.Window] = r.Teams
		for _, u := range r.Teams {
			got.Requests += u.Requests
			got.Tokens += u.Tokens
			got.LateTokens += u.LateTokens
		}
	}
	return got
}

// TestLossByCrash measures the usage that a crash loses, with the store up and
// while it is down. One request is counted per step. At most the requests of one
// flush period and of the outage may be lost.
func TestLossByCrash(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, outage := range []time.Duration{0, time.Minute} {
		for _, flush := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				fake := fakeplatform.New(fakeplatform.Options{})
				other := start(t, fake, 0, flush)
				rnd := rand.New(rand.NewPCG(1, 2))
				const crashes = 20
				var counted, worst, last uint64
				for i := range crashes {
					in := start(t, fake, i+1, flush)
					addRequests := func(d time.Duration) {
						for range d / step {
							in.Add("pressing", 1, 0)
							counted++
							time.Sleep(step)
						}
					}
					addRequests(20*time.Second + time.Duration(rnd.Int64N(int64(flush))))
					fake.SetFaults(fakeplatform.Faults{Down: outage > 0})
					addRequests(outage)
					in.crash()
					fake.SetFaults(fakeplatform.Faults{})
					time.Sleep(3 * time.Minute)
					lost := counted - sum(t, fake.Record().Reports).Requests
					worst, last = max(worst, lost-last), lost
				}
				other.stop()
				t.Logf("flush %v, outage %v: a crash lost %.1f requests on average, %d at worst, of %d a second",
					flush, outage, float64(last)/crashes, worst, time.Second/step)
				if bound := uint64((flush+outage)/step) + 1; worst > bound {
					t.Errorf("a crash lost %d requests, want at most %d", worst, bound)
				}
			})
		}
	}
}

func BenchmarkCounter(b *testing.B) {
	var c usage.Counter
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c.Add("pressing", 1, 100)
		}
	})
}
