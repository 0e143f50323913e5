package models

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Engine is the state of an engine that Plan takes as input.
type Engine struct {
	Name string
	// Weights is the engine's version of each of its models.
	Weights map[string]uint64
}

// Goal is what the trainers request for the models.
type Goal struct {
	// NamedVersions is the requested version of each model that has one.
	NamedVersions map[string]uint64
	// Demand is the work that the steps of each model require, in any unit. A
	// model without an entry counts as the mean of the others.
	Demand map[string]float64
}

// Load is a load of the named version of a model by an engine.
type Load struct {
	Engine  string
	Model   string
	Version uint64
	// lag is the number of versions that the engine is behind.
	lag uint64
}

// The coverage that an engine adds to its model: coverageCurrent at the named
// version, coverageUsable one version behind, which steps still accept, and none
// further behind.
const (
	coverageCurrent = 2
	coverageUsable  = 1
)

// Plan returns the loads that are due, in the order in which to order them. The
// next load is always for the model whose engines have the least coverage
// relative to its demand, and for the engine of that model that is furthest
// behind. Loading is the number of loads in progress for each model.
func Plan(engines []Engine, g Goal, loading map[string]int) []Load {
	shares := Shares(engines, g)
	due := map[string][]Load{}
	coverage := map[string]float64{}
	total := 0
	for model, share := range shares {
		coverage[model] = float64(coverageCurrent * loading[model])
		for _, e := range share {
			behind := g.lag(e, model)
			coverage[model] += coverageOf(behind)
			if behind > 0 {
				due[model] = append(due[model], Load{Engine: e.Name, Model: model, Version: g.NamedVersions[model], lag: behind})
				total++
			}
		}
		slices.SortFunc(due[model], func(a, b Load) int {
			return cmp.Or(cmp.Compare(b.lag, a.lag), cmp.Compare(a.Engine, b.Engine))
		})
	}
	demand := g.demands(slices.Sorted(maps.Keys(shares)))
	loads := make([]Load, 0, total)
	for range total {
		model := leastCovered(due, func(m string) float64 { return coverage[m] / demand[m] })
		next := due[model][0]
		due[model] = due[model][1:]
		coverage[model] += coverageCurrent - coverageOf(next.lag)
		loads = append(loads, next)
	}
	return loads
}

// coverageOf returns the coverage that an engine adds if it is lag versions
// behind.
func coverageOf(lag uint64) float64 {
	switch lag {
	case 0:
		return coverageCurrent
	case 1:
		return coverageUsable
	}
	return 0
}

// leastCovered returns the model with the least coverage of those with a load due.
func leastCovered(due map[string][]Load, coverage func(model string) float64) string {
	best := ""
	for _, model := range slices.Sorted(maps.Keys(due)) {
		if len(due[model]) > 0 && (best == "" || coverage(model) < coverage(best)) {
			best = model
		}
	}
	return best
}

// minMoveGain is the factor by which the work per engine of a model must exceed
// that of another model, after the move, before an engine moves to it. A move
// costs a load, and the engine is of no use until the load is done.
const minMoveGain = 1.25

// Shares divides the engines between the models in proportion to their demand. An
// engine stays with the model that it follows unless the work per engine of two
// models differs by more than the factor minMoveGain.
func Shares(engines []Engine, g Goal) map[string][]Engine {
	models := modelsOf(engines)
	if len(models) == 0 {
		return nil
	}
	shares := map[string][]Engine{}
	var free []Engine
	for _, e := range slices.SortedFunc(slices.Values(engines), byName) {
		if followedModel := g.followedModel(e, models); followedModel != "" {
			shares[followedModel] = append(shares[followedModel], e)
		} else {
			free = append(free, e)
		}
	}
	demand := g.demands(models)
	work := func(m string, engines int) float64 { return perEngine(demand[m], engines) }
	for _, e := range free {
		m := busiest(models, func(m string) float64 { return work(m, len(shares[m])) })
		shares[m] = append(shares[m], e)
	}
	for range engines {
		to := busiest(models, func(m string) float64 { return work(m, len(shares[m])) })
		from := busiest(models, func(m string) float64 { return -work(m, len(shares[m])-1) })
		if work(to, len(shares[to])) <= minMoveGain*work(from, len(shares[from])-1) {
			break
		}
		list := shares[from]
		at := g.leastBehind(list, to)
		shares[to] = append(shares[to], list[at])
		shares[from] = slices.Delete(list, at, at+1)
	}
	return shares
}

// perEngine returns the work of each engine if the given number share the demand.
func perEngine(demand float64, engines int) float64 {
	if engines <= 0 {
		return math.Inf(1)
	}
	return demand / float64(engines)
}

func byName(a, b Engine) int { return cmp.Compare(a.Name, b.Name) }

// modelsOf lists the models of which any engine has weights.
func modelsOf(engines []Engine) []string {
	set := map[string]bool{}
	for _, e := range engines {
		for model := range e.Weights {
			set[model] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// followedModel returns the model that an engine follows: the only one in which
// the engine is at most one version behind. It returns "" if there is no such
// model or more than one.
func (g Goal) followedModel(e Engine, models []string) string {
	followedModel := ""
	for _, m := range models {
		if g.lag(e, m) > 1 {
			continue
		}
		if followedModel != "" {
			return ""
		}
		followedModel = m
	}
	return followedModel
}

// demands returns the work of each model. A model without an entry in Demand
// counts as the mean of the others.
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

// busiest returns the model for which work returns the highest value.
func busiest(models []string, work func(model string) float64) string {
	return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(work(a), work(b)) })
}

// leastBehind returns the index of the engine that is the fewest versions behind
// in a model.
func (g Goal) leastBehind(list []Engine, model string) int {
	best := 0
	for i := range list {
		if g.lag(list[i], model) < g.lag(list[best], model) {
			best = i
		}
	}
	return best
}

// lag returns the number of versions that an engine is behind in a model.
func (g Goal) lag(e Engine, model string) uint64 {
	if e.Weights[model] >= g.NamedVersions[model] {
		return 0
	}
	return g.NamedVersions[model] - e.Weights[model]
}
