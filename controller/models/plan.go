package models

import (
	"cmp"
	"maps"
	"slices"
)

// Engine is an engine as Plan sees it.
type Engine struct {
	Name string
	// Weights is the version of each model that it holds.
	Weights map[string]uint64
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
// at its version first, and of its engines those that are furthest behind. Named is the wanted version of each model that has one.
func Plan(engines []Engine, named map[string]uint64) []Load {
	var loads []Load
	for model, share := range Shares(engines, named) {
		for _, e := range share {
			if e.Weights[model] < named[model] {
				loads = append(loads, Load{Engine: e.Name, Model: model, Version: named[model], lag: lag(e, model, named)})
			}
		}
	}
	ready := readyCounts(engines, named)
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(ready[a.Model], ready[b.Model]), cmp.Compare(a.Model, b.Model),
			cmp.Compare(b.lag, a.lag), cmp.Compare(a.Engine, b.Engine))
	})
	return loads
}

// readyCounts counts the engines that hold the named version of each model.
func readyCounts(engines []Engine, named map[string]uint64) map[string]int {
	counts := map[string]int{}
	for _, e := range engines {
		for model, version := range named {
			if e.Weights[model] >= version {
				counts[model]++
			}
		}
	}
	return counts
}

// Shares divides the engines between the models: each model gets as many as the
// others, or one more, and those first that are least behind.
func Shares(engines []Engine, named map[string]uint64) map[string][]Engine {
	models := slices.Sorted(maps.Keys(named))
	shares := map[string][]Engine{}
	if len(models) == 0 {
		return shares
	}
	free := slices.Clone(engines)
	slices.SortFunc(free, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	for range len(free) {
		model := neediest(models, shares, free, named)
		at := closest(free, model, named)
		shares[model] = append(shares[model], free[at])
		free = slices.Delete(free, at, at+1)
	}
	return shares
}

// neediest returns the model with the smallest share; of several, the one that
// has an engine which is least behind.
func neediest(models []string, shares map[string][]Engine, free []Engine, named map[string]uint64) string {
	best := models[0]
	for _, m := range models[1:] {
		if c := cmp.Compare(len(shares[m]), len(shares[best])); c < 0 ||
			c == 0 && lag(free[closest(free, m, named)], m, named) < lag(free[closest(free, best, named)], best, named) {
			best = m
		}
	}
	return best
}

// closest returns the position of the engine that is least behind in a model,
// and of several the one that is furthest behind in the others, which lose it.
func closest(free []Engine, model string, named map[string]uint64) int {
	best := 0
	for i := 1; i < len(free); i++ {
		c := cmp.Compare(lag(free[i], model, named), lag(free[best], model, named))
		if c < 0 || c == 0 && loss(free[i], model, named) < loss(free[best], model, named) {
			best = i
		}
	}
	return best
}

// lag is how many versions an engine is behind in a model.
func lag(e Engine, model string, named map[string]uint64) uint64 {
	if e.Weights[model] >= named[model] {
		return 0
	}
	return named[model] - e.Weights[model]
}

// loss tells how up to date an engine is in the models other than one: the more,
// the greater.
func loss(e Engine, model string, named map[string]uint64) int {
	n := 0
	for other := range named {
		if other != model && lag(e, other, named) <= 1 && named[other] > 1 {
			n++
		}
	}
	return n
}
