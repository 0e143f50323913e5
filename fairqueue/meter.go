package fairqueue

import "time"

// meterPeriod is the duration of one measurement. Only time with waiting
// requests counts.
const meterPeriod = 500 * time.Millisecond

// maxWait bounds the estimates, which a very low rate would make meaningless.
const maxWait = time.Hour

// meter measures the rate at which cost is served. Only time during which
// requests wait counts; otherwise the rate of arrivals would be measured.
type meter struct {
	last    time.Duration
	busy    time.Duration
	sum     float64
	rate    float64
	started bool
}

// advance moves the time to now. Waiting indicates whether requests waited
// since the last call.
func (m *meter) advance(now time.Duration, waiting bool) {
	if m.started && waiting && now > m.last {
		m.busy += now - m.last
	}
	m.last = max(m.last, now)
	m.started = true
	if m.busy < meterPeriod {
		return
	}
	latest := m.sum / m.busy.Seconds()
	if m.rate == 0 {
		m.rate = latest
	}
	m.rate = (m.rate + latest) / 2
	m.sum, m.busy = 0, 0
}

// add counts cost that was served while requests waited.
func (m *meter) add(cost float64) { m.sum += cost }

// wait returns the time needed to serve a cost. It returns zero until the rate
// has been measured.
func (m *meter) wait(cost float64) time.Duration {
	if m.rate == 0 || cost <= 0 {
		return 0
	}
	seconds := cost / m.rate
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}
