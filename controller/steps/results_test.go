package steps_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

// position is a position in the results of a step.
type position struct {
	step string
	n    int
}

// observedResults are the results that readers were given, by position.
type observedResults struct {
	mu    sync.Mutex
	first map[position]durable.Result
	// broken has a line for each position that had another result, and reported these
	// positions.
	broken   []string
	reported map[position]bool
}

func newObservedResults() *observedResults {
	return &observedResults{first: map[position]durable.Result{}, reported: map[position]bool{}}
}

// add records results that an instance returned from a position on. Different results
// at one position are recorded as broken.
func (o *observedResults) add(instance, step string, from int, list []durable.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, r := range list {
		at := position{step, from + i}
		first, known := o.first[at]
		if !known {
			o.first[at] = r
		} else if !reflect.DeepEqual(first, r) && !o.reported[at] {
			o.reported[at] = true
			o.broken = append(o.broken, fmt.Sprintf("%s: %s position %d is %s %q, was %s %q",
				instance, step, at.n, r.ID, r.Score, first.ID, first.Score))
		}
	}
}

// readPause is the time between two reads of a reader.
const readPause = 20 * time.Millisecond

// follow reads a step at an instance until ctx ends: from the start, and on from what
// it was given.
func (o *observedResults) follow(ctx context.Context, in *instance, step string, wait time.Duration) {
	for from := 0; ctx.Err() == nil; time.Sleep(readPause) {
		list, err := in.Read(ctx, step, team, from, wait)
		if err != nil {
			continue
		}
		o.add(in.name, step, from, list.Results)
		if from = list.Next; from >= list.Total {
			from = 0
		}
	}
}

// TestFormerOwnerServesOnlyStoredResults guards against a former owner that takes its
// successor's results for its own because the first has the same ID, and then returns
// results that were never stored.
func TestFormerOwnerServesOnlyStoredResults(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		cluster.countScores = true
		defer cluster.stopAll()
		cluster.engines.pause = func(sample string, run int) time.Duration {
			switch {
			case sample == "s-0":
				return eventPeriod
			case sample == "s-1" && run == 0:
				return eventPeriod + eventPeriod/400 // just after s-0, in one batch with it
			}
			return 2 * eventPeriod // the successor stores s-0 alone
		}
		cluster.mustAccept(cluster.instances["a"], spec("s", 3))
		time.Sleep(time.Second)
		owner, other := cluster.owner(t)
		lost := func(func()) error { return infra.ErrUnknownOutcome }
		owner.table.interceptCommit.Store(&lost)
		time.Sleep(eventPeriod * eventCount) // s-0 and s-1 end, and their results are not stored
		owner.table.down.Store(true)
		cluster.setMembers([]string{other.name}, nil)
		stored, err := other.Read(t.Context(), "s", team, 0, time.Minute)
		if err != nil || len(stored.Results) != 1 || stored.Results[0].ID != "s-0" {
			t.Fatalf("the successor stored %+v (error %v), want s-0", stored, err)
		}
		observed := newObservedResults()
		observed.add(other.name, "s", 0, stored.Results)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { observed.follow(ctx, owner, "s", 0) })
		wg.Go(func() { observed.follow(ctx, owner, "s", time.Second) })
		wg.Go(func() { observed.follow(ctx, other, "s", 0) })
		owner.table.stateDown.Store(true) // the owner learns from the results that it was replaced
		owner.table.down.Store(false)
		owner.table.interceptCommit.Store(nil)
		time.Sleep(2 * time.Second)
		owner.table.stateDown.Store(false)
		time.Sleep(endTime)
		cancel()
		wg.Wait()
		if len(observed.first) != 3 {
			t.Errorf("%d positions were read, want 3", len(observed.first))
		}
		for _, line := range observed.broken {
			t.Error(line)
		}
	})
}

// TestOwnerContinuesAfterOtherResults guards against a step that nobody continues
// because its owner finds another result than its own at a position, written late by a
// runner that it stopped earlier.
func TestOwnerContinuesAfterOtherResults(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a")
		defer cluster.stopAll()
		a := cluster.instances["a"]
		cluster.mustAccept(a, spec("s", 2))
		time.Sleep(time.Second)
		late := durable.Result{ID: "s-1", Complete: true, Text: completeText("s-1"), Versions: []uint64{1}, Score: "score of rs-1"}
		value, err := json.Marshal(late)
		if err != nil {
			t.Fatal(err)
		}
		row := infra.PutIf("result/000000/00", 0, append([]byte("."), value...))
		if err := cluster.fake.Tables().Part("s").Commit(t.Context(), row); err != nil {
			t.Fatal(err)
		}
		if all := cluster.mustRead(a, "s", 2, time.Minute); !reflect.DeepEqual(all[0], late) {
			t.Errorf("position 0 is %s, want %s", all[0].ID, late.ID)
		}
	})
}

// maxDisturbance bounds the time that an event of drawResultSchedule lasts.
const maxDisturbance = memberLapse + 5*time.Second + stateDownTime

// drawResultSchedule returns a schedule in which samples end while their step's owner
// is cut off, and another instance runs them, too.
func drawResultSchedule(t *rapid.T) schedule {
	s := schedule{instances: 3, seed: rapid.Uint64().Draw(t, "seed")}
	for range rapid.IntRange(1, 4).Draw(t, "events") {
		s.events = append(s.events, event{
			kind:     rapid.SampledFrom([]eventKind{eventPart, eventPart, eventLose, eventRestart, eventSubmit}).Draw(t, "kind"),
			busiest:  rapid.IntRange(0, 3).Draw(t, "busiest") > 0,
			instance: rapid.IntRange(0, 2).Draw(t, "instance"),
			after:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "after")) * time.Millisecond,
			lasts:    memberLapse + time.Duration(rapid.IntRange(0, 5000).Draw(t, "lasts"))*time.Millisecond,
		})
	}
	return s
}

// endTime is the time within which all samples of the steps of a schedule end once
// nothing is disturbed any more.
const endTime = 30 * time.Second

// playResults plays a schedule while readers at all instances read all steps. It
// returns an error if a position had two results, another one than the store has, or
// a step did not end.
func playResults(t *testing.T, s schedule) (err error) {
	bubble.Test(t, func(t *testing.T) {
		p := &player{seed: s.seed, nextProcess: 2, samples: 8}
		for i := range s.instances {
			p.left = append(p.left, fmt.Sprintf("i%03d", i))
		}
		p.testCluster = newMemberCluster(t, p.left...)
		p.countScores = true
		p.engines.pause = func(sample string, run int) time.Duration {
			rng := rand.New(rand.NewPCG(s.seed+uint64(run), xxhash.Sum64String(sample)))
			return time.Duration(10+rng.IntN(60)) * time.Millisecond
		}
		for _, in := range p.instances {
			in.table.unknownWhenDown.Store(true)
		}
		observed := newObservedResults()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		p.onSubmit = func(id string) {
			for _, name := range p.left {
				for _, wait := range []time.Duration{0, time.Second} {
					wg.Go(func() {
						for ctx.Err() == nil {
							in := p.current(name)
							process, stop := context.WithTimeout(ctx, time.Second) // a restarted process replaces it
							observed.follow(process, in, id, wait)
							stop()
						}
					})
				}
			}
		}
		p.submit(p.left[0])
		p.submit(p.left[1])
		for _, e := range s.events {
			time.Sleep(e.after)
			p.play(e)
		}
		time.Sleep(maxDisturbance)
		p.heal()
		time.Sleep(maxDelay + recoveryTime + endTime)
		cancel()
		wg.Wait()
		p.stopAll()
		reader := p.start("reader", 1)
		defer reader.stop()
		for _, id := range p.steps {
			stored := p.read(reader, id, p.samples, time.Second)
			observed.add("store", id, 0, stored)
			if len(stored) != p.samples {
				observed.broken = append(observed.broken, fmt.Sprintf("%s has %d results, want %d", id, len(stored), p.samples))
			}
		}
		for _, line := range observed.broken {
			err = errors.Join(err, errors.New(line))
		}
	})
	return err
}

// TestPositionsHaveStoredResults guards against positions that hold another result at
// one instance than in the store, at any time: owners in turn, whose writes are
// executed, executed late or not at all without a response, run the same samples with
// other results and in another order.
func TestPositionsHaveStoredResults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawResultSchedule(rt)
		if err := playResults(t, s); err != nil {
			rt.Fatal(err)
		}
	})
}
