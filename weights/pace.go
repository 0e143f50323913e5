package weights

import "time"

const (
	// initialLoadTime is the assumed load time before any load was observed.
	initialLoadTime = time.Second
	// loadTimeWeight is the reciprocal of the weight of a new load time in the
	// moving average.
	loadTimeWeight = 8
)

// updateLoadTime adds the time that a load took to the moving average.
func (m *Machine) updateLoadTime(took time.Duration) {
	m.loadTime += (took - m.loadTime) / loadTimeWeight
}

// maxLoads returns the number of local replicas that may load at once:
// Config.MaxLoads, or more if otherwise not all of them would reach the desired
// version within Config.TargetTime. If the weight store becomes slower under
// concurrent loads, each load takes longer and more loads run at once, up to
// the budget.
func (m *Machine) maxLoads(responsive []Replica) int {
	if m.cfg.TargetTime <= 0 {
		return m.cfg.MaxLoads
	}
	localCount := 0
	for _, r := range responsive {
		if r.DataCentre == m.cfg.LocalDataCentre {
			localCount++
		}
	}
	needed := time.Duration(localCount) * m.loadTime
	return max(m.cfg.MaxLoads, int((needed+m.cfg.TargetTime-1)/m.cfg.TargetTime))
}
