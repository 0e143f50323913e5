package poison

import "time"

// LossReport is the message that reports a loss to other instances.
type LossReport struct {
	Fingerprint   Fingerprint
	ID            string
	Endpoint      string
	Incarnation   int64
	Crashed       bool
	Isolated      bool `json:"Alone"`
	AnswerStarted bool `json:"Begun"`
	// Age is the time between the loss and the sending of the report.
	Age time.Duration
}

func (l Loss) report(now time.Duration, f Fingerprint) LossReport {
	return LossReport{
		Fingerprint: f, ID: l.ID, Endpoint: l.Location.Endpoint, Incarnation: l.Location.Incarnation,
		Crashed: l.Crashed, Isolated: l.Isolated, AnswerStarted: l.AnswerStarted, Age: now - l.At,
	}
}

// loss returns the loss that the report describes. Now is the time at which the
// report was received.
func (r LossReport) loss(now time.Duration) Loss {
	return Loss{
		ID: r.ID, Location: Location{Endpoint: r.Endpoint, Incarnation: r.Incarnation},
		Crashed: r.Crashed, Isolated: r.Isolated, AnswerStarted: r.AnswerStarted, At: now - max(r.Age, 0),
	}
}

// LossReports returns loss reports of at most limit crashes, in no particular
// order.
func (t *Table) LossReports(now time.Duration, limit int) []LossReport {
	var list []LossReport
	for f, losses := range t.crashes {
		for _, l := range losses {
			if len(list) == limit {
				return list
			}
			if now-l.At < t.opt.CrashLifetime {
				list = append(list, l.report(now, f))
			}
		}
	}
	return list
}

// HandleReports adds loss reports received from another instance.
func (t *Table) HandleReports(now time.Duration, reports []LossReport) {
	for _, r := range reports {
		t.Lost(now, r.Fingerprint, r.loss(now))
	}
}
