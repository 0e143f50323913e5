package leases_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/view"
)

var orders = leases.Duty{Name: "orders", DataCentre: "dc1"}

// partitionedTable is a table whose calls fail while off is set.
type partitionedTable struct {
	infra.Table
	off atomic.Bool
}

func (c *partitionedTable) Get(ctx context.Context, key string) (infra.Row, error) {
	if c.off.Load() {
		return infra.Row{}, infra.ErrUnavailable
	}
	return c.Table.Get(ctx, key)
}

func (c *partitionedTable) Commit(ctx context.Context, ops ...infra.Op) error {
	if c.off.Load() {
		return infra.ErrUnavailable
	}
	return c.Table.Commit(ctx, ops...)
}

type instance struct {
	name   string
	table  *partitionedTable
	runner *leases.Runner
	views  *view.Store
	stop   context.CancelFunc
	done   chan struct{}
}

type system struct {
	fake      *fakeplatform.Platform
	instances []*instance
}

// start starts n instances in a synctest bubble and waits until the lease has a
// holder.
func start(t *testing.T, n int, o leases.Options) *system {
	s := &system{fake: fakeplatform.New(fakeplatform.Options{})}
	for range n {
		s.add(t, o, 1)
	}
	s.setMembers(s.instances)
	time.Sleep(12 * o.Duration) // time for the lease to reach the preferred holder
	if s.holder() == nil {
		t.Fatal("no instance acquired the lease")
	}
	return s
}

// add starts one more instance that takes part in the given number of duties, of
// which the first is orders.
func (s *system) add(t *testing.T, o leases.Options, duties int) {
	in := &instance{
		name:  fmt.Sprintf("i%d", len(s.instances)),
		table: &partitionedTable{Table: s.fake.Platform().Table},
		views: view.NewStore(),
		done:  make(chan struct{}),
	}
	s.instances = append(s.instances, in)
	o.Table, o.Clock = in.table, clock.NewMonotonic()
	o.Holder, o.Incarnation = in.name, 1
	o.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	manager := leases.NewManager(o, in.views)
	in.runner = manager.Runner(orders)
	for i := 1; i < duties; i++ {
		manager.Runner(leases.Duty{Name: fmt.Sprintf("duty%d", i)})
	}
	ctx, stop := context.WithCancel(t.Context())
	in.stop = stop
	go func() { defer close(in.done); _ = manager.Run(ctx) }()
}

func (s *system) setMembers(alive []*instance) {
	members := map[string]view.Member{}
	for _, in := range alive {
		members[in.name] = view.Member{Name: in.name}
	}
	for _, in := range s.instances {
		in.views.Update(func(v *view.View) { v.Members = members })
	}
}

func (s *system) setLeaving(leaving *instance) {
	for _, in := range s.instances {
		in.views.Update(func(v *view.View) {
			v.Members = maps.Clone(v.Members)
			v.Members[leaving.name] = view.Member{Name: leaving.name, Leaving: true}
		})
	}
}

// holder returns the holder whose table calls don't fail, or nil. It panics if
// there are two.
func (s *system) holder() *instance {
	var h *instance
	for _, in := range s.instances {
		if _, err := in.runner.Guard().Term(); err != nil || in.table.off.Load() {
			continue
		}
		if h != nil {
			panic("two holders: " + h.name + " and " + in.name)
		}
		h = in
	}
	return h
}

// gap returns the time without a holder within a span, in steps of 10 ms.
func (s *system) gap(span time.Duration) time.Duration {
	const pollInterval = 10 * time.Millisecond
	var gap time.Duration
	for range span / pollInterval {
		time.Sleep(pollInterval)
		if s.holder() == nil {
			gap += pollInterval
		}
	}
	return gap
}

func (s *system) stopAll() {
	for _, in := range s.instances {
		in.stop()
	}
	for _, in := range s.instances {
		<-in.done
	}
}

// TestTimeWithoutHolder measures how long the duty has no holder after a crash and
// after outages. For comparison it also measures instances that take over as soon
// as a term has passed ("plain").
func TestTimeWithoutHolder(t *testing.T) {
	type faultCase struct {
		name string
		// outage is how long the table is down; zero means that the holder
		// crashes instead.
		outage time.Duration
	}
	faultCases := []faultCase{{"crash", 0}, {"outage 10s", 10 * time.Second}, {"outage 1m", time.Minute}, {"outage 10m", 10 * time.Minute}}
	for _, d := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
		for _, f := range faultCases {
			for _, plain := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					o := leases.Options{Duration: d}
					if plain {
						o.MaxOperationTime = time.Nanosecond
					}
					s := start(t, 3, o)
					defer s.stopAll()
					if f.outage == 0 {
						s.holder().table.off.Store(true)
					}
					s.fake.SetFaults(fakeplatform.Faults{Down: f.outage > 0})
					during := s.gap(f.outage)
					s.fake.SetFaults(fakeplatform.Faults{})
					after := s.gap(5 * d)
					t.Logf("duration %v, %s, plain %v: without a holder %v during, %v after", d, f.name, plain, during, after)
					if s.holder() == nil {
						t.Error("no holder at the end of the test")
					}
				})
			}
		}
	}
}

// TestHandoff checks that the preferred holder gets the lease without waiting for
// the end of a term, when it reaches the table again and when the holder leaves.
// After a shutdown of the holder, another instance must hold the lease within a
// term. While the preferred holder can't reach the table, the lease must not move
// to it.
func TestHandoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const d = 5 * time.Second
		s := start(t, 3, leases.Options{Duration: d})
		defer s.stopAll()
		ranked := leases.Rank(orders, []string{"i0", "i1", "i2"})
		first := s.wantHolder(t, ranked[0])
		first.table.off.Store(true)
		time.Sleep(4 * d)
		if gap := s.gap(20 * d); gap != 0 {
			t.Errorf("%v without a holder while the preferred holder can't reach the table", gap)
		}
		first.table.off.Store(false)
		gap := s.gap(4 * d)
		t.Logf("handoff to the preferred holder: %v without a holder", gap)
		s.wantHolder(t, ranked[0])
		s.setLeaving(first)
		gap = max(gap, s.gap(4*d))
		t.Logf("handoff by a leaving holder: %v without a holder", gap)
		if gap > d/5 {
			t.Errorf("%v without a holder", gap)
		}
		second := s.wantHolder(t, ranked[1])
		second.stop()
		gap = s.gap(4 * d)
		t.Logf("shutdown of the holder: %v without a holder", gap)
		if gap > d {
			t.Errorf("%v without a holder", gap)
		}
	})
}

func (s *system) wantHolder(t *testing.T, name string) *instance {
	t.Helper()
	h := s.holder()
	if h == nil || h.name != name {
		t.Fatalf("holder is %+v, want %s", h, name)
	}
	return h
}

// TestOperationsDelayRelease checks that a lease is released only after its
// operations have ended, and that no operation can start without the lease.
func TestOperationsDelayRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 2, leases.Options{Duration: 5 * time.Second})
		defer s.stopAll()
		h := s.holder()
		op, err := h.runner.Begin(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		h.stop()
		time.Sleep(4500 * time.Millisecond) // two renewals: the first names the successor, the second releases the lease
		if op.Check() == nil {
			t.Error("the operation may still write while the lease is being released")
		}
		if got := s.holder(); got != nil {
			t.Errorf("%s holds the lease while an operation of %s is in progress", got.name, h.name)
		}
		op.End(true)
		if _, err := h.runner.Begin(t.Context()); err != lease.ErrNotHeld {
			t.Errorf("operation without the lease: %v", err)
		}
		time.Sleep(3 * time.Second)
		if s.holder() == nil {
			t.Error("the lease was not handed off after the operation ended")
		}
	})
}

// TestAvailableForStartsAtTheEndOfAnOutage checks that holders and candidates
// observe an outage of the lease's table.
func TestAvailableForStartsAtTheEndOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 3 * time.Second
		s := start(t, 2, leases.Options{Duration: duration})
		defer s.stopAll()
		for _, in := range s.instances {
			if got := in.runner.AvailableFor(); got < duration {
				t.Errorf("%s: available for %v before the outage", in.name, got)
			}
			in.table.off.Store(true)
		}
		time.Sleep(2 * duration)
		for _, in := range s.instances {
			if got := in.runner.AvailableFor(); got != 0 {
				t.Errorf("%s: available for %v during the outage", in.name, got)
			}
			in.table.off.Store(false)
		}
		time.Sleep(duration)
		for _, in := range s.instances {
			if got := in.runner.AvailableFor(); got <= 0 || got > duration {
				t.Errorf("%s: available for %v, %v after the outage", in.name, got, duration)
			}
		}
	})
}
