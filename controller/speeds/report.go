package speeds

import (
	"math"
	"time"

	"github.com/cumincove/cumincove/speed"
)

// maxIncarnation bounds the incarnations in reports: larger numbers aren't exact as
// floating-point numbers.
const maxIncarnation = 1 << 53

// Report is an instance's report in its row, by endpoint. The values are the
// endpoint's incarnation, its speed, the weight of the estimate and its age in
// seconds.
type Report map[string][4]float64

func toReport(r speed.Report) Report {
	if len(r) == 0 {
		return nil
	}
	wire := make(Report, len(r))
	for name, x := range r {
		if x.Incarnation > maxIncarnation || x.Incarnation < -maxIncarnation {
			continue
		}
		wire[name] = [4]float64{float64(x.Incarnation), x.Speed, x.Weight, math.Round(10*x.Age.Seconds()) / 10}
	}
	return wire
}

// entries converts the report. The estimator ignores entries with invalid values.
func (r Report) entries() speed.Report {
	report := make(speed.Report, len(r))
	for name, v := range r {
		if !(math.Abs(v[0]) <= maxIncarnation) {
			continue
		}
		age := time.Duration(-1)
		if v[3] >= 0 && v[3] < math.MaxInt32 {
			age = time.Duration(v[3] * float64(time.Second))
		}
		report[name] = speed.Entry{Incarnation: int64(v[0]), Speed: v[1], Weight: v[2], Age: age}
	}
	return report
}
