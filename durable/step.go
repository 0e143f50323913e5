package durable

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
	progress   progress
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
	// first is where the search for an endpoint begins, modulo their number.
	first int
	// position is the number of results that are stored, and storing those of
	// the batch under way.
	position int
	storing  []*sample
	queue    []*sample
	ended    bool
	cancels  []Action
	// paces are the endpoints' rates of late, typical the one in the middle, and
	// lookedAt when they were last brought up to date.
	paces    paces
	typical  float64
	lookedAt time.Duration
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
	s := &Step{spec: spec, byID: map[string]*sample{}, byRun: map[RunID]*sample{}, rests: map[string]rest{}, paces: paces{}}
	s.first = int(xxhash.Sum64String(spec.ID) >> 33) // fits an int of any size
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

// failedTooOften reports whether a sample is to be given up.
func (s *Step) failedTooOften(p *sample) bool {
	return p.failures > 0 && p.failures >= s.spec.MaxFailures ||
		p.scoreFailures > 0 && p.scoreFailures >= s.spec.MaxScoreFailures
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
		s.cancels = append(s.cancels, Cancel{Run: run})
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
	s.cancels = append(s.cancels, Cancel{Run: p.run})
	p.state = waiting
}

// Tick returns what to do now. It takes what it uses of the endpoints' Free.
func (s *Step) Tick(now time.Duration, endpoints []Endpoint) []Action {
	actions := s.cancels
	s.cancels = nil
	if s.ended {
		return actions
	}
	actions = append(actions, s.move(now, endpoints)...)
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
