package capacity

import "time"

const (
	// trendStep is the time between two points of a Trend, and trendPoints their
	// maximum number.
	trendStep   = time.Minute
	trendPoints = 15
)

// Trend records a quantity and extrapolates it. The zero value is ready for use.
type Trend struct {
	points []float64 // one each trendStep, the newest last
	last   time.Duration
}

// Add records the current value, unless the last point is newer than trendStep.
func (t *Trend) Add(now time.Duration, value float64) {
	if len(t.points) > 0 && now-t.last < trendStep {
		return
	}
	t.last = now
	t.points = append(t.points, value)
	if len(t.points) > trendPoints {
		t.points = t.points[1:]
	}
}

// Forecast extrapolates the value to the point in time that is later than the last
// point by after, with a least-squares line through the points. The result is never
// less than zero.
func (t *Trend) Forecast(after time.Duration) float64 {
	n := float64(len(t.points))
	if n == 0 {
		return 0
	}
	var sumX, sumY, sumXY, sumXX float64
	for i, y := range t.points {
		x := float64(i)
		sumX += x
		sumY += y
		sumXY += x * y
		sumXX += x * x
	}
	slope := 0.0
	if n > 1 {
		slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	}
	middle := (n - 1) / 2
	x := n - 1 + float64(after)/float64(trendStep)
	return max(sumY/n+slope*(x-middle), 0)
}
