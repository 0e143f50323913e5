package speeds

import (
	"maps"
	"slices"
	"time"

	"github.com/cumincove/cumincove/internal/telemetry"
	"github.com/cumincove/cumincove/speed"
)

// Classes of endpoints.
const (
	slow   = "slow"
	normal = "normal"
	fast   = "fast"
)

// classOf returns the class of a speed. Zero means unknown. An endpoint leaves its old
// class only if the speed is clearly outside of it.
func classOf(speed float64, old string) string {
	slowBound, fastBound := slowBelow, fastFrom
	if old == slow {
		slowBound *= classMargin
	}
	if old == fast {
		fastBound /= classMargin
	}
	switch {
	case speed == 0:
		return normal
	case speed < slowBound:
		return slow
	case speed >= fastBound:
		return fast
	}
	return normal
}

// classify updates the classes of the endpoints and the gauges, and logs the endpoints
// whose class changed. The caller must hold the lock.
func (c *Controller) classify(now time.Duration, speeds map[string]speed.Speed) {
	classes := map[string]string{}
	for name, s := range speeds {
		class := classOf(s.Value, c.classes[name])
		if class == normal {
			continue
		}
		classes[name] = class
		if class == slow && c.classes[name] != slow {
			c.o.Scope.Counter("endpoints_classed_slow").Inc(1)
		}
	}
	c.classes = classes
	c.updateGauges(speeds)
	if now-c.loggedAt < logPeriod || maps.Equal(c.logged, classes) {
		return
	}
	c.o.Log.Info("endpoint speeds changed", "endpoints", changes(c.logged, classes))
	c.logged, c.loggedAt = classes, now
}

// changes lists the endpoints whose class differs, with their new class.
func changes(before, after map[string]string) telemetry.Names {
	var list telemetry.Names
	for name := range before {
		if after[name] == "" {
			list = append(list, name+"/"+normal)
		}
	}
	for name, class := range after {
		if before[name] != class {
			list = append(list, name+"/"+class)
		}
	}
	slices.Sort(list)
	return list
}

// updateGauges reports the speeds that differ from 1. Gauges of endpoints whose speed
// no longer does are set to 1.
func (c *Controller) updateGauges(speeds map[string]speed.Speed) {
	for name := range c.gauges {
		if _, ok := speeds[name]; !ok {
			c.gauge(name, 1)
			delete(c.gauges, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(speeds)) {
		if !c.gauges[name] && len(c.gauges) >= maxGauges {
			continue
		}
		c.gauges[name] = true
		c.gauge(name, speeds[name].Value)
	}
}

func (c *Controller) gauge(endpoint string, value float64) {
	c.o.Scope.Tagged(map[string]string{"endpoint": endpoint}).Gauge("endpoint_speed").Update(value)
}
