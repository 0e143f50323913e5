package steps

import (
	"time"

	"github.com/cumincove/cumincove/view"
)

// Speeds provides the speeds of endpoints, and is given the measurements from which
// they are estimated.
type Speeds interface {
	// Speed returns the endpoint's speed relative to the median of its service; zero
	// means unknown.
	Speed(e *view.Endpoint) float64
	// Observe records the duration of an amount of work, with other work beside it.
	Observe(e *view.Endpoint, kind string, work float64, took time.Duration, beside int)
	// CountPlacement counts work that starts at the endpoint.
	CountPlacement(e *view.Endpoint)
}

// noSpeeds are the Speeds of endpoints whose speeds are unknown.
type noSpeeds struct{}

func (noSpeeds) Speed(*view.Endpoint) float64                                { return 0 }
func (noSpeeds) Observe(*view.Endpoint, string, float64, time.Duration, int) {}
func (noSpeeds) CountPlacement(*view.Endpoint)                               {}

const (
	// speedWindow is the time over which the rate of a stream is measured.
	speedWindow = 500 * time.Millisecond
	// minWindowEvents is the number of events that a window must contain.
	minWindowEvents = 3
)

// speedMeter measures the rate of events of one stream, from the first event on: the
// time before it depends on the prompt and on the queue of the endpoint.
type speedMeter struct {
	c        *Controller
	endpoint *view.Endpoint
	start    time.Duration
	events   int
	started  bool
}

// observe records an event.
func (m *speedMeter) observe() {
	now := m.c.o.Clock.Now()
	if !m.started {
		m.start, m.started = now, true
		return
	}
	m.events++
	if now-m.start < speedWindow || m.events < minWindowEvents {
		return
	}
	beside := 0
	if e, ok := m.c.o.Views.Load().EndpointByName(m.endpoint.Name); ok && e.Incarnation == m.endpoint.Incarnation {
		beside = max(int(e.Stats.InFlight.Load())+e.RemoteRequests()-1, 0)
	}
	m.c.o.Speeds.Observe(m.endpoint, "", float64(m.events), now-m.start, beside)
	m.start, m.events = now, 0
}
