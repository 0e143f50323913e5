package endpoints_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/endpoints"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

// replaceWithin is the longest time from a reclaim notice to the orders for the
// replacements.
const replaceWithin = time.Second

// TestReclaimIsReplaced repeatedly reclaims the cheap endpoints of a data centre,
// with and without notice. Replacements must be ordered in the other data centres
// within a second. Once the capacity is offered again, the orders must return to
// the original counts.
func TestReclaimIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{StartDelay: 5 * time.Second, StopNotice: time.Second})
		in, stop := startWithDemand(t, fake, 0, never)
		defer stop()
		setPools(in, 1, reclaimPools())
		time.Sleep(time.Minute)
		wantOrdered(t, fake, map[string]int{"0": 4, "1": 4, "2": 4})

		rng := rand.New(rand.NewPCG(1, 1))
		var took []time.Duration
		for round := range 6 {
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			lost := fmt.Sprint(round % 3)
			notice := time.Duration(round%2) * 10 * time.Second // every second reclaim comes without notice
			fake.Reclaim(lost, "cheap", notice)
			at := time.Now()
			want := map[string]int{"0": 7, "1": 7, "2": 7, lost: 4}
			for ; !same(ordered(fake), want) && time.Since(at) < time.Minute; time.Sleep(10 * time.Millisecond) {
			}
			took = append(took, time.Since(at))
			time.Sleep(time.Minute)
			wantOrdered(t, fake, want)
			if err := fake.MakeAvailable(lost, "cheap"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(15 * time.Minute)
			wantOrdered(t, fake, map[string]int{"0": 4, "1": 4, "2": 4})
		}
		t.Logf("replaced after %v", took)
		if slow := slices.Max(took); slow > replaceWithin {
			t.Errorf("replacements were ordered after %v", slow)
		}
		wantOneOrderer(t, fake.Record().Orders)
	})
}

// TestCountsGoDownDespiteMissedReports stops the exchanges between instances for
// eight seconds every four minutes. The instances then observe on their own, and
// the replacements for reclaimed endpoints must still be removed in the end.
func TestCountsGoDownDespiteMissedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{StartDelay: 5 * time.Second, StopNotice: time.Second})
		var gossipStopped atomic.Bool
		in, stop := startWithDemand(t, fake, 0, gossipStopped.Load)
		defer stop()
		setPools(in, 1, reclaimPools())
		time.Sleep(time.Minute)
		fake.Reclaim("0", "cheap", 0)
		time.Sleep(time.Minute)
		wantOrdered(t, fake, map[string]int{"0": 4, "1": 7, "2": 7})
		if err := fake.MakeAvailable("0", "cheap"); err != nil {
			t.Fatal(err)
		}
		for range 4 {
			time.Sleep(4*time.Minute - 8*time.Second)
			gossipStopped.Store(true)
			time.Sleep(8 * time.Second)
			gossipStopped.Store(false)
		}
		wantOrdered(t, fake, map[string]int{"0": 4, "1": 4, "2": 4})
	})
}

// startWithDemand starts three instances that receive reports of a demand of 42
// requests. They exchange reports on endpoints except while gossipStopped returns
// true.
func startWithDemand(t *testing.T, fake *fakeplatform.Platform, first int, gossipStopped func() bool) (in []*instance, stop func()) {
	started := time.Now()
	demands := func() []capacity.InstanceReport {
		report := capacity.Report{Seq: uint32(time.Since(started)/time.Second) + 1, Loads: map[capacity.ServiceID]capacity.Load{
			capacity.ServiceIDOf("tags"): {Interactive: 42},
		}}
		return []capacity.InstanceReport{{Name: "i0", Report: &report}}
	}
	pushAll := func() {
		if gossipStopped() {
			return
		}
		for _, a := range in {
			for _, b := range in {
				e := &gossipv1.Envelope{}
				a.c.Fill(e, "", nil)
				b.c.HandlePush(t.Context(), e)
			}
		}
	}
	for i := range 3 {
		in = append(in, startWith(t, fake, first+i, func(o *endpoints.Options) {
			o.Poll = 500 * time.Millisecond
			o.DemandReports = demands
			o.NotifyPeers = func() { time.AfterFunc(10*time.Millisecond, pushAll) }
		}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	go exchange(ctx, in, gossipStopped)
	return in, func() {
		cancel()
		for _, i := range in {
			i.stop()
		}
	}
}

func never() bool { return false }

func reclaimPools() []config.Pool {
	var list []config.Pool
	for i := range 3 {
		list = append(list, config.Pool{DataCentre: fmt.Sprint(i), Tier: "cheap", Max: 9})
	}
	return append(list, config.Pool{DataCentre: "0", Tier: "ondemand", Max: 9})
}

// TestTakeoverAfterReclaim reclaims the cheap endpoints of a data centre while no
// instance holds the duties. New instances, which never observed these endpoints,
// must order the replacements within a second of the start of their terms.
func TestTakeoverAfterReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{StartDelay: 5 * time.Second, StopNotice: time.Second})
		in, stop := startWithDemand(t, fake, 0, never)
		setPools(in, 1, reclaimPools())
		time.Sleep(time.Minute)
		wantOrdered(t, fake, map[string]int{"0": 4, "1": 4, "2": 4})
		stop()
		before := terms(t, fake)
		fake.Reclaim("0", "cheap", 0)
		time.Sleep(10 * time.Second)

		in, stop = startWithDemand(t, fake, 3, never)
		defer stop()
		setPools(in, 1, reclaimPools())
		for terms(t, fake) < before+3 {
			time.Sleep(10 * time.Millisecond)
		}
		at := time.Now()
		want := map[string]int{"0": 4, "1": 7, "2": 7}
		for !same(ordered(fake), want) && time.Since(at) < 2*time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(at)
		t.Logf("replaced %v after the last term started", took)
		if took > replaceWithin {
			t.Errorf("replacements were ordered after %v", took)
		}
	})
}

// terms returns the number of terms so far, summed over all data centres.
func terms(t *testing.T, fake *fakeplatform.Platform) (sum uint64) {
	for i := range 3 {
		row, err := fake.Platform().Table.Get(t.Context(), leases.Duty{Name: leases.Orders, DataCentre: fmt.Sprint(i)}.FenceKey())
		if err != nil {
			t.Fatal(err)
		}
		sum += row.Version
	}
	return sum
}

// ordered returns the last ordered count of cheap endpoints in each data centre.
func ordered(fake *fakeplatform.Platform) map[string]int {
	counts := map[string]int{}
	for _, o := range fake.Record().Orders {
		if o.Tier == "cheap" {
			counts[o.DataCentre] = o.Count
		}
	}
	return counts
}

func same(a, b map[string]int) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func wantOrdered(t *testing.T, fake *fakeplatform.Platform, want map[string]int) {
	t.Helper()
	if got := ordered(fake); !same(got, want) {
		t.Errorf("ordered %v, want %v", got, want)
	}
}
