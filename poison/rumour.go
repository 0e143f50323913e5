package poison

import "time"

// Rumour is a loss on its way between instances.
type Rumour struct {
	Fingerprint Fingerprint
	ID          string
	Endpoint    string
	Incarnation int64
	Crashed     bool
	Alone       bool
	Begun       bool
	// Age is how long ago the loss was when the rumour was sent.
	Age time.Duration
}

func (l Loss) rumour(now time.Duration, f Fingerprint) Rumour {
	return Rumour{
		Fingerprint: f, ID: l.ID, Endpoint: l.Place.Endpoint, Incarnation: l.Place.Incarnation,
		Crashed: l.Crashed, Alone: l.Alone, Begun: l.Begun, Age: now - l.At,
	}
}

// loss is the loss that a rumour heard now tells of.
func (r Rumour) loss(now time.Duration) Loss {
	return Loss{
		ID: r.ID, Place: Place{Endpoint: r.Endpoint, Incarnation: r.Incarnation},
		Crashed: r.Crashed, Alone: r.Alone, Begun: r.Begun, At: now - max(r.Age, 0),
	}
}

// Rumours returns at most limit of the crashes to spread, in no order.
func (t *Table) Rumours(now time.Duration, limit int) []Rumour {
	var list []Rumour
	for f, losses := range t.crashes {
		for _, l := range losses {
			if len(list) == limit {
				return list
			}
			if now-l.At < t.opt.Forget {
				list = append(list, l.rumour(now, f))
			}
		}
	}
	return list
}

// Hear takes in rumours from another instance.
func (t *Table) Hear(now time.Duration, rumours []Rumour) {
	for _, r := range rumours {
		t.Lost(now, r.Fingerprint, r.loss(now))
	}
}
