package endpoints

import (
	"math"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/order"
)

const (
	// demandPeriod is the time between two updates of the total demand.
	demandPeriod = time.Second
	// forecastHorizon is how far ahead the need is forecast.
	forecastHorizon = 15 * time.Minute
)

// needTrend tracks the trend of the capacity that a service needs.
type needTrend struct {
	interactive, rollout capacity.Trend
}

func (t *needTrend) add(now time.Duration, n capacity.Need) {
	t.interactive.Add(now, float64(n.Interactive))
	t.rollout.Add(now, float64(n.Rollout))
}

func (t *needTrend) forecastNeed(after time.Duration) capacity.Need {
	return capacity.Need{
		Interactive: int(math.Ceil(t.interactive.Forecast(after))),
		Rollout:     int(math.Ceil(t.rollout.Forecast(after))),
	}
}

// updateDemand adds up the demand that all instances report, and updates the
// trends and the metrics.
func (c *Controller) updateDemand() {
	now := c.o.Clock.Now()
	if c.o.DemandReports == nil || now < c.demandDue {
		return
	}
	c.demandDue = now + demandPeriod
	reports := c.o.DemandReports()
	v := c.o.Views.Load()
	c.mu.Lock()
	c.demand.Step(now, reports)
	next := make(map[string]*needTrend, len(c.trends))
	for name, service := range v.Config.Services {
		d := c.demand.Demand(name)
		if len(service.Pools) == 0 {
			continue
		}
		t := c.trends[name]
		if t == nil {
			t = &needTrend{}
		}
		if d.Complete {
			t.add(now, capacity.NeedOf(d.Load, slots(v, name)))
		}
		next[name] = t
	}
	c.trends = next
	c.mu.Unlock()
	c.updateMetrics()
}

// Spend returns the cost of each configured pool, now and as forecast from the
// trend of the demand, and the demand of each service.
func (c *Controller) Spend() (pools []api.SpendStatus, demand []api.DemandStatus) {
	v := c.o.Views.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range v.Config.ServiceNames() {
		service := v.Config.Services[name]
		if len(service.Pools) == 0 {
			continue
		}
		d := c.demand.Demand(name)
		demand = append(demand, api.DemandStatus{
			Service: name, Interactive: d.Interactive, Rollout: d.Rollout, Complete: d.Complete,
		})
		pools = append(pools, c.spendOf(service, d.Complete)...)
	}
	return pools, demand
}

// spendOf returns the cost of each pool of a service. Unless the demand is
// complete, the forecast is the current cost. The caller must hold mu.
func (c *Controller) spendOf(service config.Service, demandComplete bool) []api.SpendStatus {
	bounds := make([]capacity.Pool, len(service.Pools))
	for i, p := range service.Pools {
		bounds[i] = poolOf(p)
	}
	var forecast []int
	if t := c.trends[service.Name]; t != nil && demandComplete {
		forecast = capacity.Target(bounds, t.forecastNeed(forecastHorizon))
	}
	list := make([]api.SpendStatus, len(service.Pools))
	for i, p := range service.Pools {
		n := c.billedEndpoints(p, service.Name)
		list[i] = api.SpendStatus{
			Service: service.Name, DataCentre: p.DataCentre, Tier: p.Tier,
			Endpoints: n, PerHour: float64(n) * p.HourlyCost, Forecast: float64(n) * p.HourlyCost,
		}
		if forecast != nil {
			list[i].Forecast = float64(forecast[i]) * p.HourlyCost
		}
	}
	return list
}

// billedEndpoints counts the endpoints of a pool that cost money, which includes
// those that are starting or about to be reclaimed. The caller must hold mu.
func (c *Controller) billedEndpoints(p config.Pool, service string) int {
	w := c.watches[p.DataCentre]
	if w == nil {
		return 0
	}
	n := 0
	list, _ := w.List()
	for _, e := range list {
		if e.Service == service && e.Tier == p.Tier {
			n++
		}
	}
	return n
}

func (c *Controller) updateMetrics() {
	pools, demand := c.Spend()
	for _, p := range pools {
		scope := c.o.Metrics.Tagged(map[string]string{
			"service": p.Service, "data_centre": p.DataCentre, "tier": p.Tier,
		})
		scope.Gauge("spend_per_hour").Update(p.PerHour)
		scope.Gauge("spend_forecast").Update(p.Forecast)
	}
	for _, d := range demand {
		scope := c.o.Metrics.Tagged(map[string]string{"service": d.Service})
		scope.Gauge("demand_interactive").Update(float64(d.Interactive))
		scope.Gauge("demand_rollout").Update(float64(d.Rollout))
	}
}

// liveCounts counts the endpoints that are not being reclaimed.
func liveCounts(list []infra.RunningEndpoint) map[order.Set]int {
	counts := map[order.Set]int{}
	for _, e := range list {
		if e.State != infra.EndpointReclaiming {
			counts[order.Set{Service: e.Service, Tier: e.Tier}]++
		}
	}
	return counts
}
