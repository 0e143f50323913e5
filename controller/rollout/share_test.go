package rollout

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/share"
	"github.com/cumincove/cumincove/view"
)

const (
	// sharers is the number of trainers, or of instances, that share the
	// engines.
	sharers     = 10
	smallGroups = 16
	largeGroups = 10 * smallGroups
	// trainerTime is the total time for which a trainer processes its samples.
	trainerTime = 200 * time.Second
)

// runTrainers runs ten trainers with one step each at the same time. The first
// trainer has ten times as many samples as each of the others, and processes
// samples ten times as fast. It returns how long each trainer waited for
// samples.
func runTrainers(t *testing.T, divide func(int, []share.Need) []int) []time.Duration {
	idle := make([]time.Duration, sharers)
	bubble.Test(t, func(t *testing.T) {
		set := tailSet(&tailProxy{}, 2*tailEngines)
		set.divide = divide
		c := set.controller(t, fakeplatform.New(fakeplatform.Options{}))
		var wg sync.WaitGroup
		for i := range sharers {
			k := stepKey{"team", fmt.Sprintf("s%d", i)}
			groups := smallGroups
			if i == 0 {
				groups = largeGroups
			}
			spec := rollout.Spec{ID: k.id, Service: "m", Prompts: make([]string, groups), Samples: 8, MaxTokens: tailMaxTokens}
			if _, err := c.open(t.Context(), k.team, "", spec); err != nil {
				t.Fatal(err)
			}
			wg.Go(func() {
				run := newTailRun()
				run.pullAll(t, c, k, float64(groups*8)/trainerTime.Seconds())
				idle[i] = run.idle
			})
			time.Sleep(time.Second)
		}
		wg.Wait()
	})
	return idle
}

// TestLargeStepWithSmallSteps: a large step does not keep the trainers of small
// steps waiting, nor do these keep the trainer of the large one waiting. The
// longest wait of a trainer is shorter with a division by need than with the
// alternatives.
func TestLargeStepWithSmallSteps(t *testing.T) {
	policies := map[string]func(int, []share.Need) []int{
		"need": nil,
		"first come": func(streams int, needs []share.Need) []int {
			return slices.Repeat([]int{streams}, len(needs))
		},
		"equal shares": func(streams int, needs []share.Need) []int {
			for i := range needs {
				needs[i].Tokens, needs[i].Remaining = 1/float64(max(needs[i].Samples, 1)), share.MinRemaining
			}
			return share.Divide(streams, needs)
		},
	}
	worst := map[string]time.Duration{}
	for name, divide := range policies {
		idle := runTrainers(t, divide)
		worst[name] = slices.Max(idle)
		t.Logf("%s: the trainer of the large step waits %v, the others %v; longest wait %v", name, idle[0], idle[1:], worst[name])
	}
	for name, w := range worst {
		if name != "need" && w <= worst["need"] {
			t.Errorf("longest wait of a trainer: %v by need, %v with %s", worst["need"], w, name)
		}
	}
}

// TestStepOfOnlyInstanceWithRollouts: steps run at one of ten instances, and no
// other instance has rollout work. The steps take less time if the instance has
// received that information than if it assumes that all ten share the engines.
func TestStepOfOnlyInstanceWithRollouts(t *testing.T) {
	members := map[string]view.Member{}
	for i := range sharers {
		members[fmt.Sprint(i)] = view.Member{DataCentre: "elsewhere"}
	}
	took := map[int]time.Duration{} // sum over three steps, by View.RolloutInstances
	for i := range uint64(6) {
		instances := int(i % 2)
		bubble.Test(t, func(t *testing.T) {
			c := tailSet(&tailProxy{}, tailEngines).controller(t, fakeplatform.New(fakeplatform.Options{}))
			c.o.Views.Update(func(v *view.View) { v.Members, v.RolloutInstances = members, instances })
			k := stepKey{"team", "s"}
			spec := rollout.Spec{ID: k.id, Service: "m", Prompts: make([]string, tailGroups), Samples: 8, MaxTokens: tailMaxTokens, Seed: i / 2}
			if _, err := c.open(t.Context(), k.team, "", spec); err != nil {
				t.Fatal(err)
			}
			start, run := time.Now(), newTailRun()
			run.pullAll(t, c, k, 1e9)
			took[instances] += time.Since(start)
		})
	}
	t.Logf("three steps: %v if all ten instances share the engines, %v if one uses them", took[0], took[1])
	if took[1] >= took[0] {
		t.Errorf("steps of the only instance with rollout work take %v, want less than the %v of one of ten", took[1], took[0])
	}
}
