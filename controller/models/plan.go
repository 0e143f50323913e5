package models

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Engine is an engine as Plan sees it.
type Engine struct {
	Name string
	// Weights is the version of each model that it holds.
	Weights map[string]uint64
}

// Goal is what the trainers want of the models.
type Goal struct {
	// Named is the wanted version of each model that has one.
	Named map[string]uint64
	// Demand is the work that the steps of a model bring, in any unit. Models
	// that are not in it count as the mean of the others.
	Demand map[string]float64
}

// Load says that an engine should load the named version of a model.
type Load struct {
	Engine  string
	Model   string
	Version uint64
	// lag is how many versions the engine is behind.
	lag uint64
}

// Plan returns the loads that are due: those of the model with the fewest engines
// at its version first, and of its engines those that are furthest behind.
func Plan(engines []Engine, g Goal) []Load {
	var loads []Load
	ready := map[string]int{}
	for model, share := range Shares(engines, g) {
		for _, e := range share {
			behind := g.lag(e, model)
			if behind == 0 {
				ready[model]++
				continue
			}
			loads = append(loads, Load{Engine: e.Name, Model: model, Version: g.Named[model], lag: behind})
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(ready[a.Model], ready[b.Model]), cmp.Compare(a.Model, b.Model),
			cmp.Compare(b.lag, a.lag), cmp.Compare(a.Engine, b.Engine))
	})
	return loads
}

// seatGain is by what factor an engine must have more work with one model than
// it would have with another before it moves there: a move costs a load, and its
// use until then.
const seatGain = 1.25

// Shares divides the engines between the models by their demand. An engine stays
// with the model that it follows unless the shares are far off.
func Shares(engines []Engine, g Goal) map[string][]Engine {
	models := modelsOf(engines)
	if len(models) == 0 {
		return nil
	}
	homes := map[string][]Engine{}
	var free []Engine
	for _, e := range slices.SortedFunc(slices.Values(engines), byName) {
		if home := g.home(e, models); home != "" {
			homes[home] = append(homes[home], e)
		} else {
			free = append(free, e)
		}
	}
	demand := g.demands(models)
	work := func(m string, engines int) float64 { return perEngine(demand[m], engines) }
	for _, e := range free {
		m := busiest(models, func(m string) float64 { return work(m, len(homes[m])) })
		homes[m] = append(homes[m], e)
	}
	for range engines {
		to := busiest(models, func(m string) float64 { return work(m, len(homes[m])) })
		from := busiest(models, func(m string) float64 { return -work(m, len(homes[m])-1) })
		if work(to, len(homes[to])) <= seatGain*work(from, len(homes[from])-1) {
			break
		}
		list := homes[from]
		at := g.closest(list, to)
		homes[to] = append(homes[to], list[at])
		homes[from] = slices.Delete(list, at, at+1)
	}
	return homes
}

// perEngine is the work of each of a number of engines.
func perEngine(demand float64, engines int) float64 {
	if engines <= 0 {
		return math.Inf(1)
	}
	return demand / float64(engines)
}

func byName(a, b Engine) int { return cmp.Compare(a.Name, b.Name) }

// modelsOf lists the models that any engine holds.
func modelsOf(engines []Engine) []string {
	set := map[string]bool{}
	for _, e := range engines {
		for model := range e.Weights {
			set[model] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// home returns the model that an engine follows: it keeps up with that one only.
func (g Goal) home(e Engine, models []string) string {
	home := ""
	for _, m := range models {
		if g.lag(e, m) > 1 {
			continue
		}
		if home != "" {
			return ""
		}
		home = m
	}
	return home
}

// demands returns the work of each model. One that is not known counts as the
// mean of the others.
func (g Goal) demands(models []string) map[string]float64 {
	sum, known := 0.0, 0
	for _, m := range models {
		if d := g.Demand[m]; d > 0 {
			sum += d
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	demands := make(map[string]float64, len(models))
	for _, m := range models {
		demands[m] = mean
		if d := g.Demand[m]; d > 0 {
			demands[m] = d
		}
	}
	return demands
}

// busiest returns the model with the most work by a measure.
func busiest(models []string, work func(model string) float64) string {
	return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(work(a), work(b)) })
}

// closest returns the position of the engine that is least behind in a model.
func (g Goal) closest(list []Engine, model string) int {
	best := 0
	for i := range list {
		if g.lag(list[i], model) < g.lag(list[best], model) {
			best = i
		}
	}
	return best
}

// lag is how many versions an engine is behind in a model.
func (g Goal) lag(e Engine, model string) uint64 {
	if e.Weights[model] >= g.Named[model] {
		return 0
	}
	return g.Named[model] - e.Weights[model]
}
