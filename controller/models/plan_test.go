package models

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSharesFollowDemand checks that models with more work get more engines.
func TestSharesFollowDemand(t *testing.T) {
	var engines []Engine
	for i := range 8 {
		engines = append(engines, Engine{Name: fmt.Sprint("e", i), Weights: map[string]uint64{"a": 1, "b": 1, "c": 1}})
	}
	g := Goal{Demand: map[string]float64{"a": 50, "b": 45, "c": 20}}
	shares := Shares(engines, g)
	for model, want := range map[string]int{"a": 3, "b": 3, "c": 2} {
		if got := len(shares[model]); got != want {
			t.Errorf("%s has %d engines, want %d", model, got, want)
		}
	}
}

// TestFirstVersionLoadsOneShare checks that the first model with a named version
// gets only its share of the engines and leaves the other models theirs.
func TestFirstVersionLoadsOneShare(t *testing.T) {
	var engines []Engine
	for i := range 9 {
		engines = append(engines, Engine{Name: fmt.Sprint("e", i), Weights: map[string]uint64{"a": 1, "b": 1, "c": 1}})
	}
	if loads := Plan(engines, Goal{NamedVersions: map[string]uint64{"b": 2}}, nil); len(loads) != 3 {
		t.Errorf("%d loads, want 3: %v", len(loads), loads)
	}
}

// TestFurthestBehindFirst checks that the engine that is furthest behind loads
// first. When versions are named faster than engines load, each engine then loads
// every second version, and none starves.
func TestFurthestBehindFirst(t *testing.T) {
	engines := []Engine{
		{Name: "e0", Weights: map[string]uint64{"a": 6}},
		{Name: "e1", Weights: map[string]uint64{"a": 5}},
		{Name: "e2", Weights: map[string]uint64{"a": 6}},
	}
	loads := Plan(engines, Goal{NamedVersions: map[string]uint64{"a": 7}}, nil)
	if len(loads) != 3 || loads[0].Engine != "e1" {
		t.Errorf("loads %v, want e1 first", loads)
	}
}

// TestPlanIsStable names a sequence of versions and checks that every engine
// always has a model and stays with it.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")]
		weights := map[string]map[string]uint64{}
		for i := range rapid.IntRange(len(models), 20).Draw(t, "engines") {
			w := map[string]uint64{}
			for _, m := range models {
				w[m] = 1
			}
			weights[fmt.Sprintf("e%02d", i)] = w
		}
		g := Goal{NamedVersions: map[string]uint64{}, Demand: map[string]float64{}}
		for _, m := range models {
			g.NamedVersions[m] = 1
			g.Demand[m] = rapid.Float64Range(1, 3).Draw(t, "demand")
		}
		loads := 0
		const rounds = 12
		for range rounds {
			for _, m := range models {
				g.NamedVersions[m]++
			}
			for _, l := range Plan(enginesFrom(weights), g, nil) {
				weights[l.Engine][l.Model] = l.Version
				loads++
			}
			total := 0
			for _, share := range Shares(enginesFrom(weights), g) {
				total += len(share)
			}
			if total != len(weights) {
				t.Fatalf("%d of %d engines are assigned to models", total, len(weights))
			}
		}
		if most := rounds*len(weights) + len(weights); loads > most {
			t.Fatalf("%d loads for %d engines and %d versions", loads, len(weights), rounds)
		}
	})
}

func enginesFrom(weights map[string]map[string]uint64) []Engine {
	var list []Engine
	for name, w := range weights {
		list = append(list, Engine{Name: name, Weights: w})
	}
	return list
}

// TestNoModelIsLeftWithoutEngines starts with new engines that are far behind in
// all models. Only few load at a time, while new versions of all models are named.
// Each model must soon have engines that its steps accept, and keep some.
func TestNoModelIsLeftWithoutEngines(t *testing.T) {
	const (
		engines, maxLoads = 24, 3
		tick              = 100 * time.Millisecond
		loadTime          = time.Second
		namePeriod        = 4 * time.Second
	)
	models := []string{"a", "b", "c"}
	weights := map[string]map[string]uint64{}
	for i := range engines {
		weights[fmt.Sprintf("e%02d", i)] = map[string]uint64{"a": 1, "b": 1, "c": 1}
	}
	g := Goal{NamedVersions: map[string]uint64{"a": 5, "b": 5, "c": 5}}
	without := map[string]time.Duration{}
	loading := map[string]Load{}
	doneAt := map[string]time.Duration{}
	for now := time.Duration(0); now < 40*time.Second; now += tick {
		for i, m := range models {
			if at := now - time.Duration(i)*time.Second; at > 0 && at%namePeriod == 0 {
				g.NamedVersions[m]++
			}
		}
		loadingByModel := map[string]int{}
		for e, l := range loading {
			if now < doneAt[e] {
				loadingByModel[l.Model]++
				continue
			}
			weights[e][l.Model] = l.Version
			delete(loading, e)
		}
		for _, l := range Plan(enginesFrom(weights), g, loadingByModel) {
			if _, busy := loading[l.Engine]; !busy && len(loading) < maxLoads {
				loading[l.Engine] = l
				doneAt[l.Engine] = now + loadTime
			}
		}
		for _, m := range models {
			usable := 0
			for _, w := range weights {
				if w[m]+1 >= g.NamedVersions[m] {
					usable++
				}
			}
			if usable == 0 {
				without[m] += tick
			}
		}
	}
	for _, m := range models {
		if without[m] > 2*loadTime {
			t.Errorf("%s had no engine that its steps accept for %v", m, without[m])
		}
	}
}
