package route

import (
	"math"
	"time"
)

// Candidate is the information about an endpoint from which a choice is made.
type Candidate struct {
	// Usable indicates that the endpoint may get new work: for example, it is not
	// ejected and not reserved for isolated work.
	Usable bool
	// Load is the estimated number of requests at the endpoint (see
	// Report.Estimate), and Bound an upper estimate (see Report.Bound).
	Load  float64
	Bound float64
	// InFlight is the number of requests of this instance at the endpoint, and
	// Limit their maximum.
	InFlight int
	Limit    int
	// Capacity is the number of requests that the endpoint can process
	// concurrently, as it reports. Zero means that the number is unknown, and
	// that Limit is used in its place.
	Capacity int
	// Peers is the number of instances that share the endpoint.
	Peers int
	// Speed is the endpoint's speed relative to the median of its service; zero
	// means unknown.
	Speed float64
}

// fillFactor is the multiple of an endpoint's capacity up to which all instances
// together fill it. It is above one so that a few requests always wait at the
// endpoint, and it does not become idle between two requests.
const fillFactor = 1.25

// room reports whether this instance may send one more request to the endpoint.
// The instance may always use its own share of the capacity, even if an
// outdated report shows no free capacity. It may borrow capacity beyond its
// share while the report shows that it is unused.
func (c Candidate) room() bool {
	if !c.Usable || c.InFlight >= c.Limit {
		return false
	}
	if c.Capacity == 0 {
		return true
	}
	share := fillFactor * float64(c.Capacity) / float64(max(c.Peers, 1))
	return float64(c.InFlight) < share || c.Bound < float64(c.Capacity)
}

// score returns the utilization of the endpoint after one more request, divided by
// its speed: the time in which it processes its requests. Lower is better.
func (c Candidate) score() float64 {
	capacity := c.Capacity
	if capacity == 0 {
		capacity = c.Limit
	}
	score := (c.Load + 1) / float64(max(capacity, 1))
	if c.Speed > 0 {
		score /= c.Speed
	}
	return score
}

// Report is the last load report of an endpoint, with the requests that this
// instance had in flight there at that time and has now.
type Report struct {
	// Requests is the number of requests in the report.
	Requests int
	// InFlightAtReport is the number of requests of this instance at the endpoint
	// when it first received the report, and InFlight the current number.
	InFlightAtReport int
	InFlight         int
	// Peers is the number of instances. All are assumed to send equally.
	Peers int
	// Age is the age of the report, and MeanDuration the mean duration of a
	// request. The weight of a report decreases with the ratio of the two.
	Age          time.Duration
	MeanDuration time.Duration
}

// Estimate returns the estimated number of requests at the endpoint. It assumes
// that all instances have as many requests there as this one, and corrects the
// result by the difference between the report and the same assumption at that
// time. The correction decays with the age of the report.
func (r Report) Estimate() float64 {
	peers := max(r.Peers, 1)
	weight := 0.0
	if r.MeanDuration > 0 {
		weight = math.Exp(-r.Age.Seconds() / r.MeanDuration.Seconds())
	}
	difference := float64(r.Requests - r.InFlightAtReport*peers)
	return max(float64(r.InFlight*peers)+weight*difference, float64(r.InFlight))
}

// Bound returns the number of requests at the endpoint under the assumption that
// since the report the requests of each instance have changed by the same number
// as those of this one.
func (r Report) Bound() float64 {
	return float64(r.Requests + (r.InFlight-r.InFlightAtReport)*max(r.Peers, 1))
}

const (
	// choices is the number of candidates that are compared.
	choices = 4
	// maxDraws bounds the random draws to find the candidates.
	maxDraws = 12
)

// List is a list of candidates by position. At must compute a single candidate,
// so that the cost of a choice does not depend on the length of the list.
type List interface {
	Len() int
	At(i int) Candidate
}

// Choose returns the position of an endpoint with room, or -1 if there is none.
// Random must return a uniformly distributed number in [0, n).
func Choose(l List, random func(n int) int) int {
	if l.Len() == 0 {
		return -1
	}
	if d := draw(l, random); d.best >= 0 {
		return d.best
	}
	return scan(l, random(l.Len()))
}

// drawResult is the result of comparing a few random candidates.
type drawResult struct {
	// best is the position of the candidate with the lowest score, or -1, and
	// score is that score.
	best  int
	score float64
	// found is the number of candidates with room, and sum the sum of their
	// scores.
	found int
	sum   float64
}

// mean returns the mean score of the candidates with room.
func (d drawResult) mean() float64 { return d.sum / float64(max(d.found, 1)) }

// draw draws random candidates and compares up to choices of them that have
// room.
func draw(l List, random func(n int) int) drawResult {
	d := drawResult{best: -1}
	n := l.Len()
	if n == 0 {
		return d
	}
	for range maxDraws {
		i := random(n)
		c := l.At(i)
		if !c.room() {
			continue
		}
		s := c.score()
		if d.best < 0 || s < d.score {
			d.best, d.score = i, s
		}
		d.sum += s
		d.found++
		if d.found == choices {
			break
		}
	}
	return d
}

// scan returns the position of the first endpoint with room, starting at from,
// or -1. It is used if no random draw found one, since then few have room.
func scan(l List, from int) int {
	n := l.Len()
	for k := range n {
		i := (from + k) % n
		if l.At(i).room() {
			return i
		}
	}
	return -1
}
