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

// seatGain is by how many engines a model must be nearer to its share than
// another before it takes one from it: a move costs a load, and its use until
// then.
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
	ideal := g.ideal(models, len(engines))
	need := func(m string) float64 { return ideal[m] - float64(len(homes[m])) }
	for _, e := range free {
		m := neediest(models, need)
		homes[m] = append(homes[m], e)
	}
	for range engines {
		to, from := neediest(models, need), richest(models, need)
		if need(to)-need(from) <= seatGain || len(homes[from]) <= 1 {
			break
		}
		list := homes[from]
		at := g.closest(list, to)
		homes[to] = append(homes[to], list[at])
		homes[from] = slices.Delete(list, at, at+1)
	}
	return homes
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

// ideal is each model's share of a number of engines.
func (g Goal) ideal(models []string, n int) map[string]float64 {
	sum, known := 0.0, 0
	for _, m := range models {
		if d, ok := g.Demand[m]; ok && d > 0 {
			sum += d
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	demand := func(m string) float64 {
		if d := g.Demand[m]; d > 0 {
			return d
		}
		return mean
	}
	total := sum + mean*float64(len(models)-known)
	shares := make(map[string]float64, len(models))
	for _, m := range models {
		shares[m] = demand(m) / total * float64(n)
	}
	return shares
}

// neediest returns the model that lacks most of its share.
func neediest(models []string, need func(string) float64) string {
	return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(need(a), need(b)) })
}

// richest returns the model that is most over its share.
func richest(models []string, need func(string) float64) string {
	return slices.MinFunc(models, func(a, b string) int { return cmp.Compare(need(a), need(b)) })
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
