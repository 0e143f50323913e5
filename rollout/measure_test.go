package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/ledger"
)

const (
	simTick     = 250 * time.Millisecond
	simTokens   = 12 // tokens per stream and tick, about 50 per second
	simEngines  = 8
	simSlots    = 16 // slots per engine
	simPublish  = 2 * time.Minute
	simSwapLast = 8 * time.Second // from publication to the last engine
	// simTrainerRate is the number of samples that the trainer processes per second.
	simTrainerRate = 4
	simCap         = 8000 // maximum length of a sample, in tokens
	simBound       = 1    // staleness bound, in versions
)

// sim runs one step with heavy-tailed lengths against engines whose weights
// change every two minutes.
type sim struct {
	step       *Step
	spec       Spec
	now        time.Duration
	streams    []*simStream
	busy       [simEngines]int
	nextPullAt time.Duration
	cursor     ledger.Cursor

	generated, delivered, overBound, oldest, writes int
	idle                                            time.Duration
}

type simStream struct {
	start  Start
	engine int
	have   int
	length int
}

// newSim returns a sim of a step. With atDispatch it is the baseline, which
// checks the staleness bound when a sample is started and not at delivery.
func newSim(groups, size int, atDispatch bool) *sim {
	spec := Spec{
		ID: "sim", Service: "m", Samples: size, MaxTokens: simCap, MaxStaleness: simBound,
		Prompts: make([]string, groups),
	}
	if atDispatch {
		spec.MaxStaleness = math.MaxUint32
	}
	return &sim{spec: spec, step: New(spec, Options{
		Epoch: 1, MaxGroups: groups, BatchSamples: 128, Linger: 250 * time.Millisecond, Grace: time.Hour,
	})}
}

func newest(now time.Duration) uint64 { return 10 + uint64(now/simPublish) }

func engineVersion(i int, now time.Duration) uint64 {
	lag := simSwapLast * time.Duration(i+1) / simEngines
	return newest(max(now-lag, 0))
}

// length returns the length of the sample with this seed. Lengths have a
// log-normal distribution with a median of 400 tokens.
func length(seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 7))
	return min(int(400*math.Exp(rng.NormFloat64()))+1, simCap)
}

func engineIndex(name string) int { return int(name[0] - 'a') }

func (s *sim) tick() {
	s.now += simTick
	s.step.Advance(newest(s.now))
	var list []Endpoint
	for i := range simEngines {
		v := engineVersion(i, s.now)
		if v+simBound >= newest(s.now) {
			list = append(list, Endpoint{Name: string(rune('a' + i)), Version: v, Free: simSlots - s.busy[i]})
		}
	}
	for _, a := range s.step.Tick(s.now, list, 1000) {
		switch a := a.(type) {
		case Start:
			i := engineIndex(a.Endpoint)
			s.busy[i]++
			s.streams = append(s.streams, &simStream{a, i, len(a.Request.Resume), length(a.Request.Seed)})
		case Cancel:
			s.drop(a.Run)
		case Write:
			s.writes++
			s.step.BatchStored(s.now, a.Batch.Seq)
		}
	}
	for _, st := range append([]*simStream(nil), s.streams...) {
		s.produce(st)
	}
	s.pull()
}

func (s *sim) drop(id RunID) {
	for i, st := range s.streams {
		if st.start.Run == id {
			s.busy[st.engine]--
			s.streams = append(s.streams[:i:i], s.streams[i+1:]...)
			return
		}
	}
}

func (s *sim) produce(st *simStream) {
	n := min(simTokens, st.length-st.have)
	c := engine.Chunk{Index: st.have, Tokens: make([]int32, n), WeightVersion: engineVersion(st.engine, s.now)}
	st.have += n
	s.generated += n
	if st.have == st.length {
		c.Done, c.FinishReason = true, "stop"
	}
	if !s.step.Chunk(s.now, st.start.Run, c) {
		s.drop(st.start.Run)
	}
}

// pull delivers the next group to the trainer once the trainer has processed the
// previous one.
func (s *sim) pull() {
	if s.now < s.nextPullAt {
		return
	}
	d, err := s.step.Pull(s.now, s.cursor, s.spec.Samples)
	if err != nil {
		panic(err)
	}
	if len(d.Samples) == 0 {
		s.idle += simTick
		return
	}
	s.nextPullAt = s.now + time.Duration(len(d.Samples))*time.Second/simTrainerRate
	s.cursor = d.Next
	for _, smp := range d.Samples {
		age := int(newest(s.now) - smp.Oldest())
		s.oldest = max(s.oldest, age)
		s.delivered++
		if age > simBound {
			s.overBound++
		}
	}
}

func (s *sim) run() {
	for !s.step.Complete(s.cursor) && s.now < 4*time.Hour {
		s.tick()
	}
}

// TestStalenessAtDelivery verifies that no sample exceeds the staleness bound
// when it is delivered. The baseline checks the bound at dispatch only.
func TestStalenessAtDelivery(t *testing.T) {
	ours, base := newSim(128, 8, false), newSim(128, 8, true)
	ours.run()
	base.run()
	for name, s := range map[string]*sim{"checked at delivery": ours, "checked at dispatch": base} {
		t.Logf("%s: %d samples, %d over the bound, oldest %d versions; %d tokens generated; step %v, trainer idle %v; %d writes",
			name, s.delivered, s.overBound, s.oldest, s.generated, s.now, s.idle, s.writes)
	}
	if ours.overBound > 0 || ours.delivered != 1024 {
		t.Errorf("checked at delivery: %d of %d samples over the bound, want 0 of 1024", ours.overBound, ours.delivered)
	}
	if base.overBound == 0 {
		t.Error("checked at dispatch: no sample over the bound, so the load does not exercise the bound")
	}
}

// The target of TestStoreWritesOfAStep: the steps of ten trainers together may
// use a third of 300 writes per second.
const (
	trainers  = 10
	maxWrites = 100.0
)

func TestStoreWritesOfAStep(t *testing.T) {
	s := newSim(1024, 8, false)
	s.spec.MaxStaleness = math.MaxUint32
	s.step = New(s.spec, s.step.opt)
	s.run()
	perThousand := float64(s.writes) * 1000 / float64(s.delivered)
	t.Logf("%d samples, %d writes, %.1f per 1,000 samples; one per group would be 125, one per sample 1000",
		s.delivered, s.writes, perThousand)
	if s.delivered != 8192 {
		t.Errorf("%d samples delivered, want 8192", s.delivered)
	}
	if rate := trainers * float64(s.writes) / s.now.Seconds(); rate > maxWrites {
		t.Errorf("%d trainers cause %.1f writes per second", trainers, rate)
	}
}
