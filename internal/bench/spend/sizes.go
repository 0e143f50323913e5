package main

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/capacity"
)

const (
	// slots is the number of requests that an endpoint runs at a time, and
	// serviceTime the time for which it runs an interactive request.
	slots       = 8
	serviceTime = 2 * time.Second
	// startDelay is the time from an order until the endpoint runs.
	startDelay = 30 * time.Second
	// reclaimInterval is the time between two reclaims of the cheap endpoints of
	// a data centre, which provides none for reclaimDuration after that.
	reclaimInterval = 10 * time.Minute
	reclaimDuration = 3 * time.Minute
	// Every burstInterval the mean demand is multiplied by burstFactor for
	// burstDuration.
	burstInterval = 45 * time.Minute
	burstDuration = 5 * time.Minute
	burstFactor   = 10
	// cheapPrice and onDemandPrice are the prices of an endpoint per hour.
	cheapPrice    = 0.3
	onDemandPrice = 1.0
)

// size is a deployment and its demand.
type size struct {
	name         string
	dataCentres  int
	maxEndpoints int     // per pool
	interactive  float64 // mean number of interactive requests that run at a time
	rollout      int     // demand for rollout work, in slots
	duration     time.Duration
}

var sizes = []size{
	{"Celeste", 3, 12, 10, 40, 6 * time.Hour},
	{"Sahra", 3, 12, 20, 40, 6 * time.Hour},
	{"1,600", 10, 160, 700, 7000, 2 * time.Hour},
}

// pools returns a cheap and an on-demand pool for each data centre, in this order.
func (s size) pools() []capacity.Pool {
	var list []capacity.Pool
	for i := range s.dataCentres {
		dc := fmt.Sprint(i)
		list = append(list,
			capacity.Pool{DataCentre: dc, Cheap: true, Max: s.maxEndpoints, HourlyCost: cheapPrice},
			capacity.Pool{DataCentre: dc, Max: s.maxEndpoints, HourlyCost: onDemandPrice})
	}
	return list
}

// policy changes the input of the planner.
type policy struct {
	name  string
	pools func([]capacity.Pool)             // changes the pools in place
	need  func(capacity.Need) capacity.Need // returns the changed need
}

var policies = []policy{
	{"cheap first, with reserve", func([]capacity.Pool) {}, func(n capacity.Need) capacity.Need { return n }},
	{"all on demand", func(list []capacity.Pool) {
		for i := range list {
			if list[i].Cheap {
				list[i].Max = 0
			}
		}
	}, func(n capacity.Need) capacity.Need {
		return capacity.Need{Interactive: n.Interactive + n.Rollout}
	}},
	{"cheap without reserve", func([]capacity.Pool) {}, func(n capacity.Need) capacity.Need {
		return capacity.Need{Rollout: n.Interactive + n.Rollout}
	}},
}
