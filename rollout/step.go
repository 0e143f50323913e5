package rollout

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/ledger"
)

const (
	// avoidPeriod is how long an endpoint gets no stream after one failed there.
	avoidPeriod = time.Second
	// maxLosses is the number of consecutive streams that a slot may lose
	// without a token before its group fails, because its prompt may crash
	// engines.
	maxLosses = 3
	// newestWeightsWait is how long a slot whose sample became stale waits for
	// an engine with the newest weights. It is longer than a swap of all
	// replicas takes.
	newestWeightsWait = 15 * time.Second
)

// Options configures a Step.
type Options struct {
	// Epoch is the fencing token of the owner; each new owner has a higher
	// one.
	Epoch uint64
	// Expires is the time of the deadline, in boot time; zero means no
	// deadline.
	Expires time.Duration
	// MaxGroups bounds the groups in memory.
	MaxGroups int
	// BatchSamples, BatchTokens, Linger and Grace are passed to ledger.Config.
	BatchSamples int
	BatchTokens  int
	Linger       time.Duration
	Grace        time.Duration
	// Priority is the priority of the step's requests at engines. Rollouts have
	// a lower priority than interactive requests.
	Priority int
	// MaxScoring bounds the number of groups being scored at a time. It
	// therefore also bounds the groups that a new owner may find marked as being
	// scored (ledger.Ledger.MarkScoring).
	MaxScoring int
	// NoMoves disables moving slow streams to faster endpoints.
	NoMoves bool
}

// Step is the state machine of one step.
type Step struct {
	spec Spec
	opt  Options
	// slots records the state and the sample of each slot.
	slots *ledger.Ledger

	// pending lists the slots to start, in order.
	pending []ledger.Slot
	runs    map[RunID]*run
	// partials holds the partial samples of interrupted streams.
	partials map[ledger.Slot]*partial
	// avoidUntil holds, for each avoided endpoint, the time until which it gets
	// no work.
	avoidUntil map[string]time.Duration
	// stale holds the slots whose sample became too old before it was complete
	// or delivered. They restart on the newest weights only: on older weights, a
	// long sample or its group would never be complete in time.
	stale map[ledger.Slot]bool
	// advancedAt is the time of the last Tick before the newest version was
	// received.
	advancedAt time.Duration
	// tickedAt is the time of the last Tick.
	tickedAt time.Duration
	// failed holds the groups that were abandoned.
	failed map[int]bool
	// pendingCancels holds the cancels that the next Tick returns.
	pendingCancels []Cancel
	// lastRun is the number of the last stream started.
	lastRun uint64

	// paces holds the recent pace of each endpoint; see measurePaces.
	paces      map[string]pace
	measuredAt time.Duration
	// moved counts the streams moved to a faster endpoint.
	moved int
	// completed counts the completed samples and their tokens.
	completed struct{ samples, tokens int }

	scoring scoring
}

// run is a running stream.
type run struct {
	id       RunID
	slot     ledger.Slot
	attempt  uint64
	endpoint string
	// resumedTokens is the number of tokens that the stream started with.
	resumedTokens int
	partial       *partial

	// windowStart is the progress one to two windows ago, and nextWindowStart
	// the progress up to one window ago. The pace is measured since windowStart.
	windowStart, nextWindowStart progressPoint
	pace                         pace
	// haltedAt is the time of the stream's Halt; zero means that there was none.
	haltedAt time.Duration
}

// partial holds the tokens of an unfinished sample with their versions.
type partial struct {
	attempt uint64
	tokens  []int32
	spans   []ledger.Span
	// losses counts the consecutive streams lost without a token.
	losses int
	// moves counts the moves of the sample, target is the endpoint at which it
	// is to continue, and from is the stream that was halted to move it.
	moves  int
	target string
	from   Source
}

// New returns a Step without any samples. Spec must be valid.
func New(spec Spec, opt Options) *Step {
	s := &Step{
		spec: spec,
		opt:  opt,
		slots: ledger.New(ledger.Config{
			Groups:       len(spec.Prompts),
			GroupSize:    spec.Samples,
			MaxStaleness: spec.MaxStaleness,
			MaxGroups:    opt.MaxGroups,
			BatchSamples: opt.BatchSamples,
			BatchTokens:  opt.BatchTokens,
			Linger:       opt.Linger,
			Grace:        opt.Grace,
			Scored:       spec.Scoring != nil,
			BaseAttempt:  opt.Epoch << 32,
		}),
		runs:       map[RunID]*run{},
		partials:   map[ledger.Slot]*partial{},
		avoidUntil: map[string]time.Duration{},
		failed:     map[int]bool{},
		paces:      map[string]pace{},

		stale: map[ledger.Slot]bool{},

		scoring: scoring{groups: map[int]*groupScoring{}, running: map[CallID]*groupScoring{}},
	}
	for g := range spec.Prompts {
		for i := range spec.Samples {
			s.pending = append(s.pending, slotOf(g, i))
		}
	}
	return s
}

// Load adds a batch that an earlier owner stored. It must be called before any
// other method.
func (s *Step) Load(now time.Duration, b ledger.Batch) error {
	return s.slots.Load(now, b)
}

// Advance sets the newest weight version. Samples that became too old are queued
// to be generated again. Streams that can no longer meet the staleness bound are
// stopped at the next Tick.
func (s *Step) Advance(version uint64) {
	if version <= s.slots.NewestVersion() {
		return
	}
	s.advancedAt = s.tickedAt
	dropped := s.slots.SetNewestVersion(version)
	for _, slot := range dropped {
		s.stale[slot] = true
	}
	s.requeue(dropped...)
	for slot, p := range s.partials {
		if !s.usable(p) {
			p.reset()
			s.stale[slot] = true
		}
	}
	for _, r := range s.stopAll(func(r *run) bool { return !s.usable(r.partial) }) {
		s.stale[r.slot] = true
		s.requeue(r.slot)
	}
}

// Pull calls Ledger.Pull. Advance must be called with the newest version before.
func (s *Step) Pull(now time.Duration, cur ledger.Cursor, maxSamples int) (ledger.Delivery, error) {
	return s.slots.Pull(now, cur, maxSamples)
}

// BatchStored reports that a batch was stored.
func (s *Step) BatchStored(now time.Duration, seq uint64) { s.slots.BatchStored(now, seq) }

// BatchFailed reports that a batch was not stored, or that the outcome is unknown.
func (s *Step) BatchFailed(now time.Duration, seq uint64) { s.slots.BatchFailed(now, seq) }

// Flush calls Ledger.Flush.
func (s *Step) Flush(now time.Duration) (b *ledger.Batch, busy bool) { return s.slots.Flush(now) }

// Newest returns the newest weight version received.
func (s *Step) Newest() uint64 { return s.slots.NewestVersion() }

// Expired reports whether the deadline has passed.
func (s *Step) Expired(now time.Duration) bool {
	return s.opt.Expires != 0 && now >= s.opt.Expires
}

// Complete reports whether a trainer with this cursor has received every group
// except the failed ones.
func (s *Step) Complete(cur ledger.Cursor) bool {
	for g := range s.spec.Prompts {
		if !cur.Has(g) && !s.failed[g] {
			return false
		}
	}
	return true
}

// Pending returns the number of samples that are waiting to be started.
func (s *Step) Pending() int { return len(s.pending) }

// Progress is the progress of a step.
type Progress struct {
	ledger.Progress
	Running int    `json:"running"`
	Newest  uint64 `json:"newest_version"`
	// Moved counts the streams that this owner moved to a faster endpoint.
	Moved int `json:"moved,omitempty"`
	// Failed lists the groups that were abandoned because their prompts
	// repeatedly lost streams.
	Failed []int `json:"failed,omitempty"`
	// Outage is set while samples wait for the store.
	Outage  bool `json:"outage,omitempty"`
	Expired bool `json:"expired,omitempty"`
}

// Progress returns the step's progress.
func (s *Step) Progress(now time.Duration) Progress {
	p := Progress{
		Progress: s.slots.Progress(),
		Running:  len(s.runs),
		Newest:   s.slots.NewestVersion(),
		Moved:    s.moved,
		Outage:   s.slots.Outage(now),
		Expired:  s.Expired(now),
	}
	for g := range s.spec.Prompts {
		if s.failed[g] {
			p.Failed = append(p.Failed, g)
		}
	}
	return p
}

// usable reports whether a sample resumed from p could be delivered.
func (s *Step) usable(p *partial) bool {
	for _, sp := range p.spans {
		if !s.slots.IsVersionUsable(sp.Version) {
			return false
		}
	}
	return true
}

func (p *partial) reset() {
	p.tokens = nil
	p.spans = nil
	p.from = Source{}
}

// requeue puts slots at the front of the queue, so that groups already started
// come first.
func (s *Step) requeue(slots ...ledger.Slot) {
	if len(slots) > 0 {
		s.pending = append(append([]ledger.Slot(nil), slots...), s.pending...)
	}
}

// stop removes a stream and queues its Cancel for the next Tick.
func (s *Step) stop(r *run) {
	delete(s.runs, r.id)
	s.pendingCancels = append(s.pendingCancels, Cancel{Run: r.id, Endpoint: r.endpoint})
}

// stopAll stops the streams that match, in a fixed order, and returns them.
func (s *Step) stopAll(match func(*run) bool) []*run {
	var list []*run
	for _, r := range s.runs {
		if match(r) {
			list = append(list, r)
		}
	}
	sortRuns(list)
	for _, r := range list {
		s.stop(r)
	}
	return list
}

func slotOf(group, index int) ledger.Slot { return ledger.Slot{Group: group, Index: index} }

func (s *Step) newRunID() RunID {
	s.lastRun++
	return RunID(fmt.Sprintf("%s.%d.%d", s.spec.ID, s.opt.Epoch, s.lastRun))
}
