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

// Worth of an engine to its model: one at the named version, and one that is a
// version behind, which steps still take. Others are worth nothing.
const (
	worthCurrent = 2
	worthUsable  = 1
)

// Plan returns the loads that are due, in the order in which to give them: always one
// of the model whose engines are worth least for its demand, and of its engines the
// one that is furthest behind. Given counts the loads of each model under way.
func Plan(engines []Engine, g Goal, given map[string]int) []Load {
	shares := Shares(engines, g)
	due := map[string][]Load{}
	worth := map[string]float64{}
	total := 0
	for model, share := range shares {
		worth[model] = float64(worthCurrent * given[model])
		for _, e := range share {
			behind := g.lag(e, model)
			worth[model] += worthOf(behind)
			if behind > 0 {
				due[model] = append(due[model], Load{Engine: e.Name, Model: model, Version: g.Named[model], lag: behind})
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
		model := poorest(due, func(m string) float64 { return worth[m] / demand[m] })
		next := due[model][0]
		due[model] = due[model][1:]
		worth[model] += worthCurrent - worthOf(next.lag)
		loads = append(loads, next)
	}
	return loads
}

// worthOf is the worth of an engine that is some versions behind.
func worthOf(lag uint64) float64 {
	switch lag {
	case 0:
		return worthCurrent
	case 1:
		return worthUsable
	}
	return 0
}

// poorest returns the model with a load due that has the least worth.
func poorest(due map[string][]Load, worth func(model string) float64) string {
	best := ""
	for _, model := range slices.Sorted(maps.Keys(due)) {
		if len(due[model]) > 0 && (best == "" || worth(model) < worth(best)) {
			best = model
		}
	}
	return best
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
