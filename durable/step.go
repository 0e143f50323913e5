package durable

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"
)

// ErrOldRun says that an event belongs to a stream that is of no more use.
var ErrOldRun = errors.New("durable: the stream is of no more use")

// ErrGap says that an event does not follow the one before.
var ErrGap = errors.New("durable: events are missing")

// ErrOldWeights says that an event was produced under a version that the step
// does not take.
var ErrOldWeights = errors.New("durable: weight version is not allowed")

// state is what a sample is doing.
type state int

const (
	waiting state = iota
	running
	unscored
	scoring
	ready
	listed
)

// sample is a Sample with what is known of it.
type sample struct {
	Sample
	state    state
	events   []string
	versions []uint64
	score    string
	// unreachable samples get a result without a text; complete ones have a
	// whole one.
	unreachable, complete bool
	// failures counts the engine's failures and misses the streams that ended
	// early, in a row; scoreFailures and scoreMisses count the calls.
	failures, misses           int
	scoreFailures, scoreMisses int
	// notBefore is when the sample, or its scoring, may be tried again.
	notBefore  time.Duration
	run        RunID
	endpoint   string
	avoid      string
	avoidUntil time.Duration
	// savedEvents is how many events were saved, and savedFailures how many
	// failures of both kinds.
	savedEvents, savedFailures int
}

// Step is the state of one step.
type Step struct {
	spec    Spec
	samples []*sample
	byID    map[string]*sample
	byRun   map[RunID]*sample
	// order lists the samples that have no stream, most urgent first.
	order   []*sample
	nextRun RunID
	// position is the number of results that are stored, and storing those of
	// the batch under way.
	position int
	storing  []*sample
	queue    []*sample
	ended    bool
	cancels  []Action
	// rests holds the endpoints that refused samples of late.
	rests map[string]rest
}

// rest is a pause in the use of an endpoint. After it one sample is tried, and
// others only once that one has begun.
type rest struct {
	until time.Duration
	// refusals counts those in a row, and trying says that a sample is tried.
	refusals int
	trying   bool
}

func (r rest) closed(now time.Duration) bool { return now < r.until || r.trying }

// New returns a Step with the results that are stored already, in order of
// position, and what was saved of other samples.
func New(spec Spec, results []Result, saved []Saved) *Step {
	s := &Step{spec: spec, byID: map[string]*sample{}, byRun: map[RunID]*sample{}, rests: map[string]rest{}}
	for _, sm := range spec.Samples {
		p := &sample{Sample: sm}
		s.samples = append(s.samples, p)
		s.byID[sm.ID] = p
	}
	for _, r := range results {
		if p := s.byID[r.ID]; p != nil {
			p.state = listed
		}
	}
	s.position = len(results)
	for _, v := range saved {
		s.restore(v)
	}
	s.order = slices.Clone(s.samples)
	slices.SortStableFunc(s.order, func(a, b *sample) int { return cmp.Compare(b.Length, a.Length) })
	return s
}

// restore takes what was saved of a sample: its failures, and its events if the
// step takes their versions.
func (s *Step) restore(v Saved) {
	p := s.byID[v.ID]
	if p == nil || p.state != waiting || len(p.events) > 0 {
		return
	}
	p.failures, p.scoreFailures = v.Failures, v.ScoreFailures
	p.savedFailures = v.Failures + v.ScoreFailures
	if s.failedTooOften(p) {
		s.unreachable(p)
		return
	}
	if !s.takesSaved(v) {
		return
	}
	p.events = slices.Clone(v.Events)
	p.versions = slices.Clone(v.Versions)
	p.savedEvents = len(p.events)
	if v.Whole {
		s.whole(p)
	}
}

// failedTooOften reports whether a sample is to be given up.
func (s *Step) failedTooOften(p *sample) bool {
	return p.failures > 0 && p.failures >= s.spec.MaxFailures ||
		p.scoreFailures > 0 && p.scoreFailures >= s.spec.MaxScoreFailures
}

// takesSaved reports whether the step takes the versions of saved events.
func (s *Step) takesSaved(v Saved) bool {
	if len(v.Versions) == 0 || slices.Min(v.Versions) < s.spec.MinVersion {
		return false
	}
	return !s.spec.SingleVersion || len(v.Versions) == 1
}

// Spec returns the step's Spec.
func (s *Step) Spec() Spec { return s.spec }

// Position returns the number of results that are stored.
func (s *Step) Position() int { return s.position }

// Done reports that nothing is left to do.
func (s *Step) Done() bool { return s.ended || s.position == len(s.samples) }

// Running returns the number of streams under way.
func (s *Step) Running() int { return len(s.byRun) }

// Progress counts samples by what they do, for logs.
type Progress struct{ Waiting, Running, Scoring, Ready, Listed int }

// Progress returns the counts.
func (s *Step) Progress() Progress {
	var p Progress
	for _, sm := range s.samples {
		switch sm.state {
		case waiting:
			p.Waiting++
		case running:
			p.Running++
		case unscored, scoring:
			p.Scoring++
		case ready:
			p.Ready++
		case listed:
			p.Listed++
		}
	}
	return p
}

// Finish ends the step: streams are cancelled and no further result is listed.
func (s *Step) Finish() []Action {
	s.ended = true
	for run := range s.byRun {
		s.cancels = append(s.cancels, Cancel{run})
	}
	clear(s.byRun)
	s.queue = nil
	cancels := s.cancels
	s.cancels = nil
	return cancels
}

// GiveUp makes all samples that have no whole text unreachable.
func (s *Step) GiveUp() {
	for _, p := range s.samples {
		if p.state == waiting || p.state == running {
			s.drop(p)
			s.unreachable(p)
		}
	}
}

// drop forgets a sample's stream.
func (s *Step) drop(p *sample) {
	if p.state != running {
		return
	}
	delete(s.byRun, p.run)
	delete(s.rests, p.endpoint)
	s.cancels = append(s.cancels, Cancel{p.run})
	p.state = waiting
}

// Tick returns what to do now. It takes what it uses of the endpoints' Free.
func (s *Step) Tick(now time.Duration, endpoints []Endpoint) []Action {
	actions := s.cancels
	s.cancels = nil
	if s.ended {
		return actions
	}
	left := s.order[:0]
	for _, p := range s.order {
		switch p.state {
		case waiting:
			if a := s.start(now, p, endpoints); a != nil {
				actions = append(actions, a)
			}
		case unscored:
			if now >= p.notBefore {
				p.state = scoring
				actions = append(actions, Score{ID: p.ID, Scorer: *p.Scorer})
			}
		}
		if p.state != listed {
			left = append(left, p)
		}
	}
	clear(s.order[len(left):])
	s.order = left
	return actions
}

// start begins a sample's stream at the best endpoint, if it is time and one
// has room.
func (s *Step) start(now time.Duration, p *sample, endpoints []Endpoint) Action {
	if now < p.notBefore {
		return nil
	}
	if s.stranded(p, endpoints) {
		p.events, p.versions = nil, nil
	}
	e := s.pick(now, p, endpoints)
	if e == nil {
		return nil
	}
	if r, ok := s.rests[e.Name]; ok {
		r.trying = true
		s.rests[e.Name] = r
	}
	e.Free--
	e.Load += loadOf(e)
	s.nextRun++
	p.state = running
	p.run = s.nextRun
	p.endpoint = e.Name
	s.byRun[p.run] = p
	return Start{Run: p.run, Sample: p.Sample, Endpoint: e.Name, After: len(p.events)}
}

// stranded reports whether no endpoint can go on with a sample's events under
// their single version, while others could begin it anew.
func (s *Step) stranded(p *sample, endpoints []Endpoint) bool {
	if !s.spec.SingleVersion || len(p.versions) == 0 {
		return false
	}
	others := false
	for _, e := range endpoints {
		if e.Version == p.versions[0] {
			return false
		}
		others = others || e.Version >= s.spec.MinVersion
	}
	return others
}

// loadOf is what one more stream adds to an endpoint's Load.
func loadOf(e *Endpoint) float64 {
	if e.Free < 0 {
		return 1
	}
	return (1 - min(e.Load, 1)) / float64(e.Free+1)
}

// pick returns the endpoint with the least load of those with room and a
// version that the sample takes. One that just failed the sample comes last.
func (s *Step) pick(now time.Duration, p *sample, endpoints []Endpoint) *Endpoint {
	var best *Endpoint
	bestAvoided := false
	for i := range endpoints {
		e := &endpoints[i]
		if e.Free <= 0 || !s.takes(p, e.Version) || s.rests[e.Name].closed(now) {
			continue
		}
		avoided := e.Name == p.avoid && now < p.avoidUntil
		switch {
		case best == nil, bestAvoided && !avoided:
		case avoided && !bestAvoided, e.Load >= best.Load:
			continue
		}
		best, bestAvoided = e, avoided
	}
	return best
}

// takes reports whether a version may produce a sample's next event.
func (s *Step) takes(p *sample, version uint64) bool {
	if version < s.spec.MinVersion {
		return false
	}
	n := len(p.versions)
	return !s.spec.SingleVersion || n == 0 || p.versions[n-1] == version
}

// Event takes an event of a stream. After an error the stream is to be ended
// and reported with Ended.
func (s *Step) Event(run RunID, index int, text string, version uint64) error {
	p := s.byRun[run]
	switch {
	case p == nil:
		return ErrOldRun
	case index != len(p.events)+1:
		return ErrGap
	case !s.takes(p, version):
		return ErrOldWeights
	}
	p.events = append(p.events, text)
	p.misses = 0
	delete(s.rests, p.endpoint)
	if !slices.Contains(p.versions, version) {
		p.versions = append(p.versions, version)
	}
	return nil
}

// Ended takes the end of a stream.
func (s *Step) Ended(now time.Duration, run RunID, end End) {
	p := s.byRun[run]
	if p == nil {
		return
	}
	delete(s.byRun, run)
	p.state = waiting
	if end != Refused {
		delete(s.rests, p.endpoint)
	}
	switch end {
	case Whole:
		s.whole(p)
		return
	case Rejected:
		s.unreachable(p)
		return
	case Failed:
		p.failures++
		if s.failedTooOften(p) {
			s.unreachable(p)
			return
		}
		s.pause(now, p, lostPause)
	case Refused:
		s.rest(now, p.endpoint)
		s.pause(now, p, refusedPause)
	case Broken:
		s.pause(now, p, lostPause)
	}
}

// rest keeps an endpoint free of new samples for a while: it is full, or loads
// weights, and would refuse the others too. Refusals of what was sent before the
// pause began don't prolong it.
func (s *Step) rest(now time.Duration, endpoint string) {
	r := s.rests[endpoint]
	if now < r.until {
		return
	}
	r.trying = false
	r.until = now + min(restTime<<min(r.refusals, 5), maxRest)
	r.refusals++
	s.rests[endpoint] = r
}

func (s *Step) pause(now time.Duration, p *sample, d time.Duration) {
	p.notBefore = now + min(d<<min(p.misses, 5), maxPause)
	p.misses++
	p.avoid = p.endpoint
	p.avoidUntil = now + avoidTime
}

// whole goes on with a sample whose text is whole.
func (s *Step) whole(p *sample) {
	p.complete = true
	if p.Scorer == nil {
		s.done(p)
		return
	}
	p.state = unscored
	p.notBefore = 0
}

func (s *Step) unreachable(p *sample) {
	p.unreachable = true
	s.done(p)
}

func (s *Step) done(p *sample) {
	p.state = ready
	s.queue = append(s.queue, p)
}

// Scored takes the end of a call of the scoring service.
func (s *Step) Scored(now time.Duration, id, score string, end ScoreEnd) {
	p := s.byID[id]
	if p == nil || p.state != scoring {
		return
	}
	switch end {
	case ScoreDone:
		p.score = score
		s.done(p)
		return
	case ScoreFailed:
		p.scoreFailures++
		if s.failedTooOften(p) {
			s.unreachable(p)
			return
		}
	case ScoreLost:
		p.scoreMisses++
	}
	p.state = unscored
	p.notBefore = now + min(lostPause<<min(p.scoreMisses, 5), maxPause)
}

// Batch returns the results to store next, or nil. Report with Stored or
// Unstored before the next call.
func (s *Step) Batch() *Batch {
	if s.ended || len(s.storing) > 0 || len(s.queue) == 0 {
		return nil
	}
	b := &Batch{Position: s.position}
	size := 0
	for _, p := range s.queue {
		r := p.result()
		if len(b.Results) >= maxBatch || len(b.Results) > 0 && size+len(r.Text) > maxBatchBytes {
			break
		}
		size += len(r.Text)
		b.Results = append(b.Results, r)
	}
	s.storing = s.queue[:len(b.Results):len(b.Results)]
	s.queue = s.queue[len(b.Results):]
	return b
}

func (p *sample) result() Result {
	if p.unreachable {
		return Result{ID: p.ID}
	}
	return Result{
		ID: p.ID, Complete: true, Text: strings.Join(p.events, "\n"),
		Versions: p.versions, Score: p.score,
	}
}

// Stored notes that the last Batch is stored.
func (s *Step) Stored() {
	for _, p := range s.storing {
		p.state = listed
		p.events = nil
	}
	s.position += len(s.storing)
	s.storing = nil
}

// Unstored notes that nothing of the last Batch is stored, and never will be.
func (s *Step) Unstored() {
	s.queue = append(s.storing, s.queue...)
	s.storing = nil
}

// Unsaved returns what has come of the samples under way since it was saved
// last, for those that have at least the given number of new events, or failed
// since.
func (s *Step) Unsaved(least int) []Saved {
	var list []Saved
	for _, p := range s.order {
		if p.state == listed || !p.unsaved(least) {
			continue
		}
		list = append(list, Saved{
			ID: p.ID, Whole: p.complete, Events: slices.Clone(p.events), Versions: slices.Clone(p.versions),
			Failures: p.failures, ScoreFailures: p.scoreFailures,
		})
	}
	return list
}

func (p *sample) unsaved(least int) bool {
	if p.failures+p.scoreFailures > p.savedFailures {
		return true
	}
	return len(p.events) > 0 && len(p.events)-p.savedEvents >= least
}

// WasSaved notes that a sample was saved.
func (s *Step) WasSaved(v Saved) {
	if p := s.byID[v.ID]; p != nil {
		p.savedEvents = len(v.Events)
		p.savedFailures = v.Failures + v.ScoreFailures
	}
}
