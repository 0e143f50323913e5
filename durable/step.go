package durable

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrStaleRun is returned for an event of a stream that has ended or was cancelled.
var ErrStaleRun = errors.New("durable: the stream has ended or was cancelled")

// ErrMissingEvents is returned for an event that does not directly follow the
// previous one.
var ErrMissingEvents = errors.New("durable: events are missing")

// ErrVersionNotAllowed is returned for an event that was produced with a weight
// version that the step does not accept.
var ErrVersionNotAllowed = errors.New("durable: weight version is not allowed")

// state is the processing state of a sample.
type state int

const (
	waiting  state = iota // for an endpoint
	running               // has a stream
	unscored              // the text is complete and must be scored
	scoring               // the scoring service is being called
	ready                 // the result can be stored
	stored                // the result is stored
)

// sample is a Sample with its processing state.
type sample struct {
	Sample
	state    state
	events   []string
	versions []uint64
	score    string
	// abandoned samples get a result without a text; complete ones have their
	// complete text.
	abandoned, complete bool
	// failures counts the engine's failures, and earlyEnds the streams that ended
	// early since the last event. scoreFailures and unavailableScoreCalls count
	// the scoring calls that ended with ScoreFailed and ScoreUnavailable.
	failures, earlyEnds                  int
	scoreFailures, unavailableScoreCalls int
	// notBefore is the earliest time of the next attempt or scoring call. avoid is
	// the endpoint to avoid until avoidUntil.
	notBefore  time.Duration
	run        RunID
	endpoint   string
	avoid      string
	avoidUntil time.Duration
	progress   progress
	// savedEvents is the number of events that were saved, and savedFailures the
	// number of failures of both kinds.
	savedEvents, savedFailures int
	// group is the sample's group, or nil if the step does not end when a number of
	// groups is complete. yields counts how often the sample yielded.
	group  *group
	yields int
}

// Step is the state of one step.
type Step struct {
	spec    Spec
	samples []*sample
	byID    map[string]*sample
	byRun   map[RunID]*sample
	// order lists the samples whose results are not stored, those with the largest
	// estimated length first.
	order   []*sample
	nextRun RunID
	// searchOffset is the index where the search for an endpoint starts, modulo the
	// number of endpoints.
	searchOffset int
	// position is the number of stored results, storing lists the samples of the
	// batch that is being stored, and queue lists the samples whose results are to
	// be stored after them.
	position int
	storing  []*sample
	queue    []*sample
	ended    bool
	// cancels contains the Cancel actions that the next Tick returns.
	cancels []Action
	// rates are the endpoints' recent rates, medianRate is the median rate, and
	// measuredAt is when both were last updated.
	rates      endpointRates
	medianRate float64
	measuredAt time.Duration
	// preferredSpeed is the speed from which on endpoints are preferred in the current
	// Tick; zero means that they don't differ. preferredForLong is that for the samples
	// with a larger estimated length than longLength.
	preferredSpeed, preferredForLong float64
	longLength                       float64
	// completed is the mean length of the samples that were completed.
	completed completedLengths
	// backoffs contains the endpoints that recently refused samples.
	backoffs map[string]endpointBackoff
	selection
	room
	lengths
	// priority is the priority of the step's team or route, which engines are told if
	// tellPriority is set.
	priority     int
	tellPriority bool
}

// endpointBackoff suspends the use of an endpoint until a time. After that time a
// single sample probes the endpoint. Other samples follow only once the probe has
// delivered an event, ended for a reason other than a refusal, or was cancelled.
type endpointBackoff struct {
	until time.Duration
	// refusals counts consecutive refusals, and probe is the stream that probes the
	// endpoint, as long as it runs.
	refusals int
	probe    RunID
}

// backedOff reports whether an endpoint must not be used for further samples.
func (s *Step) backedOff(now time.Duration, endpoint string) bool {
	b, ok := s.backoffs[endpoint]
	return ok && (now < b.until || s.byRun[b.probe] != nil)
}

// New returns a Step that resumes from the stored results, in order of position,
// and from the saved state of other samples.
func New(spec Spec, results []Result, saved []Saved) *Step {
	s := &Step{spec: spec, byID: map[string]*sample{}, byRun: map[RunID]*sample{}, backoffs: map[string]endpointBackoff{}, rates: endpointRates{}}
	s.searchOffset = int(xxhash.Sum64String(spec.ID) >> 33) // fits an int of any size
	for _, sm := range spec.Samples {
		p := &sample{Sample: sm}
		s.samples = append(s.samples, p)
		s.byID[sm.ID] = p
	}
	for _, r := range results {
		if p := s.byID[r.ID]; p != nil {
			p.state = stored
		}
	}
	s.longLength = longLength(spec.Samples)
	s.position = len(results)
	s.groups = newGroups(spec, s.samples)
	s.meanLength = meanLength(spec.Samples)
	for _, v := range saved {
		s.restore(v)
	}
	s.order = slices.Clone(s.samples)
	slices.SortStableFunc(s.order, func(a, b *sample) int { return cmp.Compare(b.Length, a.Length) })
	return s
}

// failedTooOften reports whether a sample has reached a failure limit and must be
// abandoned.
func (s *Step) failedTooOften(p *sample) bool {
	return p.failures > 0 && p.failures >= s.spec.MaxFailures ||
		p.scoreFailures > 0 && p.scoreFailures >= s.spec.MaxScoreFailures
}

// Spec returns the step's Spec.
func (s *Step) Spec() Spec { return s.spec }

// Position returns the number of stored results.
func (s *Step) Position() int { return s.position }

// Done reports whether the step was ended or all its results are stored.
func (s *Step) Done() bool { return s.ended || s.position == len(s.samples) }

// Running returns the number of running streams.
func (s *Step) Running() int { return len(s.byRun) }

// Progress counts samples by their state.
type Progress struct{ Waiting, Running, Scoring, Ready, Stored int }

// Progress returns the number of samples in each state.
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
		case stored:
			p.Stored++
		}
	}
	return p
}

// Finish ends the step and returns the actions that cancel its streams. No further
// result is stored.
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

// AbandonUnfinished abandons all samples without a complete text.
func (s *Step) AbandonUnfinished() {
	for _, p := range s.samples {
		if p.state == waiting || p.state == running {
			s.cancelStream(p)
			s.abandon(p)
		}
	}
}

// AbandonWaiting abandons the samples that wait for an endpoint.
func (s *Step) AbandonWaiting() {
	for _, p := range s.samples {
		if p.state == waiting {
			s.abandon(p)
		}
	}
}

// cancelStream cancels a sample's stream, if it has one.
func (s *Step) cancelStream(p *sample) {
	if p.state != running {
		return
	}
	delete(s.byRun, p.run)
	delete(s.backoffs, p.endpoint)
	s.cancels = append(s.cancels, Cancel{Run: p.run})
	p.state = waiting
}

// Tick returns the actions to carry out now. For each stream that it starts it
// updates FreeSlots, Load and IdleConnections of the endpoint in endpoints.
func (s *Step) Tick(now time.Duration, endpoints []Endpoint) []Action {
	actions := s.cancels
	s.cancels = nil
	if s.ended {
		return actions
	}
	s.comparePreferred(endpoints)
	actions = append(actions, s.moveSlowStreams(now, endpoints)...)
	actions = append(actions, s.startWaiting(now, endpoints)...)
	actions = append(actions, s.yieldStreams(now, endpoints)...)
	remaining := s.order[:0]
	for _, p := range s.order {
		if p.state == unscored && now >= p.notBefore {
			p.state = scoring
			actions = append(actions, Score{ID: p.ID, Scorer: *p.Scorer})
		}
		if p.state != stored {
			remaining = append(remaining, p)
		}
	}
	clear(s.order[len(remaining):])
	s.order = remaining
	return actions
}

// Event records an event of a stream. After an error the caller must end the
// stream and report it with Ended.
func (s *Step) Event(run RunID, index int, text string, version uint64) error {
	p := s.byRun[run]
	switch {
	case p == nil:
		return ErrStaleRun
	case index != len(p.events)+1:
		return ErrMissingEvents
	case !s.accepts(p, version):
		return ErrVersionNotAllowed
	}
	p.events = append(p.events, text)
	p.earlyEnds = 0
	delete(s.backoffs, p.endpoint)
	if !slices.Contains(p.versions, version) {
		p.versions = append(p.versions, version)
	}
	return nil
}

// Ended records the end of a stream.
func (s *Step) Ended(now time.Duration, run RunID, end End) {
	p := s.byRun[run]
	if p == nil {
		return
	}
	delete(s.byRun, run)
	p.state = waiting
	if end != Refused {
		delete(s.backoffs, p.endpoint)
	}
	switch end {
	case Completed:
		s.markComplete(p)
		return
	case Rejected:
		s.abandon(p)
		return
	case Failed:
		p.failures++
		if s.failedTooOften(p) {
			s.abandon(p)
			return
		}
		s.backOffSample(now, p, failureBackoff)
	case Refused:
		s.backOffEndpoint(now, p.endpoint)
		s.backOffSample(now, p, refusedBackoff)
	case Interrupted:
		s.backOffSample(now, p, failureBackoff)
	}
}

// markComplete marks a sample's text as complete. The sample is scored next if it
// has a scorer; otherwise its result is ready.
func (s *Step) markComplete(p *sample) {
	p.complete = true
	s.completed.add(len(p.events))
	s.recordLength(p)
	if p.Scorer == nil {
		s.enqueueResult(p)
		return
	}
	p.state = unscored
	p.notBefore = 0
}

// abandon queues a result without a text for a sample.
func (s *Step) abandon(p *sample) {
	p.abandoned = true
	s.enqueueResult(p)
}

func (s *Step) enqueueResult(p *sample) {
	p.state = ready
	s.queue = append(s.queue, p)
}

// Scored records the end of a call to the scoring service.
func (s *Step) Scored(now time.Duration, id, score string, end ScoreEnd) {
	p := s.byID[id]
	if p == nil || p.state != scoring {
		return
	}
	switch end {
	case ScoreDone:
		p.score = score
		s.enqueueResult(p)
		return
	case ScoreFailed:
		p.scoreFailures++
		if s.failedTooOften(p) {
			s.abandon(p)
			return
		}
	case ScoreUnavailable:
		p.unavailableScoreCalls++
	}
	p.state = unscored
	p.notBefore = now + min(failureBackoff<<min(p.unavailableScoreCalls, 5), maxBackoff)
}
