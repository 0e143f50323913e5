package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// measurePeriod is the time between two measurements of the pace of the
	// streams.
	measurePeriod = 500 * time.Millisecond
	// paceWindow is the shortest time over which a pace is measured. The
	// longest is twice that.
	paceWindow = 2 * time.Second
	// minMoveSpeedup is the minimum ratio of an endpoint's pace to that of a
	// stream for the stream to be moved there.
	minMoveSpeedup = 1.5
	// moveCost is the time that a move is assumed to cost.
	moveCost = time.Second
	// maxMoves bounds the moves of one sample.
	maxMoves = 3
	// maxMovesPerMeasurement bounds the streams halted after one measurement.
	maxMovesPerMeasurement = 32
	// haltTimeout bounds the time from a Halt to the end of the stream.
	haltTimeout = time.Second
	// maxPaces bounds the endpoints whose pace is kept.
	maxPaces = 4096
)

// pace is a number of tokens and the time that they took.
type pace struct {
	tokens int
	time   time.Duration
}

func (p pace) add(q pace) pace { return pace{p.tokens + q.tokens, p.time + q.time} }

// rate returns the tokens per second.
func (p pace) rate() float64 {
	if p.time <= 0 {
		return 0
	}
	return float64(p.tokens) / p.time.Seconds()
}

// progressPoint is the number of tokens that a stream had at a point in time.
type progressPoint struct {
	at     time.Duration
	tokens int
}

// measure sets the stream's pace over the last one to two windows.
func (r *run) measure(now time.Duration) {
	tokenCount := len(r.partial.tokens)
	r.pace = pace{}
	if now-r.windowStart.at >= paceWindow {
		r.pace = pace{tokens: tokenCount - r.windowStart.tokens, time: now - r.windowStart.at}
	}
	if now-r.nextWindowStart.at >= paceWindow {
		r.windowStart = r.nextWindowStart
		r.nextWindowStart = progressPoint{at: now, tokens: tokenCount}
	}
}

// measurePaces measures the streams and the endpoints. It returns the pace of
// each group and the mean pace of all endpoints.
func (s *Step) measurePaces(now time.Duration) (groups map[int]pace, all pace) {
	groups = map[int]pace{}
	endpoints := map[string]pace{}
	for _, r := range s.runs {
		r.measure(now)
		groups[r.slot.Group] = groups[r.slot.Group].add(r.pace)
		endpoints[r.endpoint] = endpoints[r.endpoint].add(r.pace)
	}
	for name, p := range endpoints {
		s.recordPace(name, p)
	}
	all = pace{}
	for _, p := range s.paces {
		all = all.add(p)
	}
	return groups, all
}

// recordPace adds p to the pace of an endpoint. The pace recorded before is
// weighted by one half.
func (s *Step) recordPace(endpoint string, p pace) {
	if p.time <= 0 {
		return
	}
	if len(s.paces) >= maxPaces {
		clear(s.paces)
	}
	old := s.paces[endpoint]
	s.paces[endpoint] = p.add(pace{old.tokens / 2, old.time / 2})
}

// recordShortRun records the pace of a stream that ended before its pace was
// measured over a window.
func (s *Step) recordShortRun(now time.Duration, r *run) {
	if r.pace.time == 0 {
		s.recordPace(r.endpoint, pace{len(r.partial.tokens) - r.windowStart.tokens, now - r.windowStart.at})
	}
}

// move halts the streams that delay their groups, so that they continue at
// faster endpoints. It reserves the capacity there by decrementing Free in
// free.
func (s *Step) move(now time.Duration, free []Endpoint) []Action {
	s.stopOverdueHalts(now)
	if s.opt.NoMoves || now < s.measuredAt+measurePeriod {
		return nil
	}
	s.measuredAt = now
	groups, all := s.measurePaces(now)
	var actions []Action
	for _, r := range s.stragglers(groups, all) {
		if len(actions) >= maxMovesPerMeasurement {
			break
		}
		e := s.fasterEndpoint(now, r, free, all)
		if e == nil {
			continue
		}
		e.Free--
		r.haltedAt = now
		r.partial.target = e.Name
		r.partial.moves++
		s.moved++
		actions = append(actions, Halt{Run: r.id, Endpoint: r.endpoint})
	}
	return actions
}

// stopOverdueHalts stops the streams that did not end within haltTimeout of
// their Halt.
func (s *Step) stopOverdueHalts(now time.Duration) {
	var overdueRuns []*run
	for _, r := range s.runs {
		if r.halted() && now >= r.haltedAt+haltTimeout {
			overdueRuns = append(overdueRuns, r)
		}
	}
	sortRuns(overdueRuns)
	for _, r := range overdueRuns {
		s.interrupt(now, r)
	}
}

// stragglers returns the streams that delay their groups: at least half of the
// group's samples are complete, or the stream is slow compared with the rest of
// the group. Groups with the fewest missing samples come first.
func (s *Step) stragglers(groups map[int]pace, all pace) []*run {
	var list []*run
	missing := map[int]int{}
	for _, r := range s.runs {
		if r.pace.time == 0 || r.halted() || r.partial.moves >= maxMoves {
			continue
		}
		g := r.slot.Group
		if _, ok := missing[g]; !ok {
			missing[g] = s.missing(g)
		}
		rest := pace{groups[g].tokens - r.pace.tokens, groups[g].time - r.pace.time}
		if rest.time <= 0 {
			rest = all
		}
		if 2*missing[g] <= s.spec.Samples || r.pace.rate()*minMoveSpeedup < rest.rate() {
			list = append(list, r)
		}
	}
	sortRuns(list)
	slices.SortStableFunc(list, func(a, b *run) int {
		return missing[a.slot.Group] - missing[b.slot.Group]
	})
	return list
}

// missing returns the number of incomplete samples of a group.
func (s *Step) missing(g int) int {
	n := 0
	for i := range s.spec.Samples {
		if _, ok := s.slots.PendingAttempt(slotOf(g, i)); ok {
			n++
		}
	}
	return n
}

// fasterEndpoint returns the fastest endpoint with free capacity, or nil if the
// stream would not gain by a move there. An endpoint that has run nothing yet is
// assumed to have the mean pace of all endpoints.
func (s *Step) fasterEndpoint(now time.Duration, r *run, free []Endpoint, all pace) *Endpoint {
	var (
		best     *Endpoint
		bestRate float64
	)
	for i := range free {
		e := &free[i]
		if e.Free <= 0 || e.Name == r.endpoint || s.waitsForWeights(now, r.slot, e) {
			continue
		}
		p, ok := s.paces[e.Name]
		if !ok {
			p = all
		}
		if rate := p.rate(); rate > bestRate {
			best, bestRate = e, rate
		}
	}
	if best == nil || !s.worthMoving(r, bestRate) {
		return nil
	}
	return best
}

// worthMoving reports whether a stream gains by a move to an endpoint with this
// rate. Lengths have a heavy tail, so the number of tokens still to be generated
// is estimated as the number generated so far.
func (s *Step) worthMoving(r *run, rate float64) bool {
	current := r.pace.rate()
	if rate < current*minMoveSpeedup {
		return false
	}
	if current == 0 {
		return true
	}
	left := float64(min(len(r.partial.tokens), s.spec.MaxTokens-len(r.partial.tokens)))
	return left/current > left/rate+moveCost.Seconds()
}

func (r *run) halted() bool { return r.haltedAt != 0 }

func sortRuns(list []*run) {
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
}
