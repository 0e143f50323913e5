package poison

import "time"

// Rumour is a loss report that one instance sends to others.
type Rumour struct {
	Fingerprint Fingerprint
	ID          string
	Endpoint    string
	Incarnation int64
	Crashed     bool
	Alone       bool
	Begun       bool
	// Age is the time between the loss and the sending of the report.
	Age time.Duration
}

func (l Loss) report(now time.Duration, f Fingerprint) Rumour {
	return Rumour{
		Fingerprint: f, ID: l.ID, Endpoint: l.Place.Endpoint, Incarnation: l.Place.Incarnation,
		Crashed: l.Crashed, Alone: l.Alone, Begun: l.Begun, Age: now - l.At,
	}
}

// loss returns the loss that the report describes. Now is the time at which the
// report was received.
func (r Rumour) loss(now time.Duration) Loss {
	return Loss{
		ID: r.ID, Place: Place{Endpoint: r.Endpoint, Incarnation: r.Incarnation},
		Crashed: r.Crashed, Alone: r.Alone, Begun: r.Begun, At: now - max(r.Age, 0),
	}
}

// Rumours returns loss reports of at most limit crashes, in no particular order.
func (t *Table) Rumours(now time.Duration, limit int) []Rumour {
	var list []Rumour
	for f, losses := range t.crashes {
		for _, l := range losses {
			if len(list) == limit {
				return list
			}
			if now-l.At < t.opt.Forget {
				list = append(list, l.report(now, f))
			}
		}
	}
	return list
}

// Hear adds loss reports received from another instance.
func (t *Table) Hear(now time.Duration, reports []Rumour) {
	for _, r := range reports {
		t.Lost(now, r.Fingerprint, r.loss(now))
	}
}
