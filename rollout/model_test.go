package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/ledger"
	"pgregory.net/rapid"
)

// stream is one request at a fake engine.
type stream struct {
	start Start
	owner *owner
	sent  int
	// halted is set after a Halt of the stream.
	halted bool
}

// owner is an owner of the step, with its streams at the engines. A former
// owner may go on running.
type owner struct {
	step    *Step
	streams []*stream
}

// stepModel simulates what a Step interacts with: engines, store, trainer and
// scoring service. Token values encode the version, seed and position that produced
// them, so that attribution can be checked.
type stepModel struct {
	t       *rapid.T
	spec    Spec
	now     time.Duration
	newest  uint64
	engines map[string]uint64
	names   []string
	owners  []*owner
	rows    []ledger.Batch
	cursor  ledger.Cursor
	got     map[ledger.Slot]bool
	moves   int
	scorer  scorer
}

const tokensPerSample = 5

func token(version, seed uint64, pos int) int32 {
	return int32(version*1000 + seed%90*10 + uint64(pos))
}

func newStepModel(t *rapid.T) *stepModel {
	m := &stepModel{
		t:       t,
		newest:  1,
		engines: map[string]uint64{"a": 1, "b": 1, "c": 1},
		names:   []string{"a", "b", "c"},
		got:     map[ledger.Slot]bool{},
		spec: Spec{
			ID: "s", Service: "m", MaxTokens: tokensPerSample,
			Samples:      rapid.IntRange(1, 3).Draw(t, "size"),
			MaxStaleness: uint64(rapid.IntRange(0, 2).Draw(t, "bound")),
		},
	}
	for g := range rapid.IntRange(1, 4).Draw(t, "groups") {
		m.spec.Prompts = append(m.spec.Prompts, fmt.Sprint(g))
	}
	m.drawScorer()
	m.takeover()
	return m
}

func (m *stepModel) takeover() {
	s := New(m.spec, Options{
		Epoch: uint64(len(m.owners) + 1), MaxGroups: 3,
		BatchSamples: 3, Linger: time.Second, Grace: 5 * time.Second, MaxScoring: 1,
	})
	for _, b := range m.rows {
		if err := s.Load(m.now, b); err != nil {
			m.t.Fatal(err)
		}
	}
	m.owners = append(m.owners, &owner{step: s})
}

func (m *stepModel) currentOwner() *owner { return m.owners[len(m.owners)-1] }

func (m *stepModel) anyOwner() *owner {
	return m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner")]
}

func (m *stepModel) flip(name string) bool { return rapid.Bool().Draw(m.t, name) }

// tick calls Tick on an owner's step and carries out the actions. Only the
// writes of the last owner pass the check of the owner row.
func (m *stepModel) tick(o *owner, storeUp bool) {
	m.now += 300 * time.Millisecond
	o.step.SetScorerIdempotent(m.scorer.idempotent)
	var list []Endpoint
	for _, n := range m.names {
		list = append(list, Endpoint{Name: n, Version: m.engines[n], Free: 2})
	}
	for _, a := range o.step.Tick(m.now, list, 4) {
		switch a := a.(type) {
		case Start:
			o.streams = append(o.streams, &stream{start: a, owner: o})
		case Halt:
			m.moves++
			for _, st := range o.streams {
				st.halted = st.halted || st.start.Run == a.Run
			}
		case Cancel:
			o.remove(a.Run)
		case Score:
			m.scorer.inFlight = append(m.scorer.inFlight, &scoreCallInFlight{score: a, owner: o})
		case CancelScore:
			m.scorer.cancel(a.Call)
		case Write:
			ok := storeUp && o == m.currentOwner()
			if ok {
				m.rows = append(m.rows, *a.Batch)
			}
			if ok && !m.flip("answer lost") {
				o.step.BatchStored(m.now, a.Batch.Seq)
			} else {
				o.step.BatchFailed(m.now, a.Batch.Seq)
			}
		}
	}
}

func (o *owner) remove(id RunID) {
	for i, st := range o.streams {
		if st.start.Run == id {
			o.streams = append(o.streams[:i:i], o.streams[i+1:]...)
			return
		}
	}
}

func (m *stepModel) drawStream() *stream {
	o := m.anyOwner()
	if len(o.streams) == 0 {
		return nil
	}
	return o.streams[rapid.IntRange(0, len(o.streams)-1).Draw(m.t, "stream")]
}

// produce reports the next chunk of a stream, of at most n tokens.
func (m *stepModel) produce(st *stream, n int) {
	req := st.start.Request
	have := len(req.Resume) + st.sent
	c := engine.Chunk{Index: have, WeightVersion: m.engines[st.start.Endpoint]}
	for pos := have; pos < min(have+n, tokensPerSample); pos++ {
		c.Tokens = append(c.Tokens, token(c.WeightVersion, req.Seed, pos))
	}
	st.sent += len(c.Tokens)
	if have+len(c.Tokens) == tokensPerSample {
		c.Done, c.FinishReason = true, "stop"
	}
	if !st.owner.step.Chunk(m.now, st.start.Run, c) {
		st.owner.remove(st.start.Run)
	}
}

// slowStreams advances the time by two windows, in each of which some streams
// of the last owner produce one token.
func (m *stepModel) slowStreams() {
	for range 2 {
		m.now += paceWindow
		for _, st := range append([]*stream(nil), m.currentOwner().streams...) {
			if m.flip("a token") {
				m.produce(st, 1)
			}
		}
		m.tick(m.currentOwner(), true)
	}
}

// endHalted ends a halted stream as the engine does.
func (m *stepModel) endHalted(st *stream) {
	if !st.halted {
		return
	}
	have := len(st.start.Request.Resume) + st.sent
	st.owner.remove(st.start.Run)
	st.owner.step.Chunk(m.now, st.start.Run, engine.Chunk{Index: have, Done: true, FinishReason: finishCancelled})
}

// badChunk reports a chunk without a version or one that leaves a gap.
func (m *stepModel) badChunk(st *stream) {
	have := len(st.start.Request.Resume) + st.sent
	c := engine.Chunk{Index: have, Tokens: []int32{-1}}
	if m.flip("gap") {
		c.Index, c.WeightVersion = have+1, m.newest
	}
	if st.owner.step.Chunk(m.now, st.start.Run, c) {
		m.t.Fatalf("bad chunk accepted: %+v", c)
	}
	st.owner.remove(st.start.Run)
}

// crash ends all streams of an engine.
func (m *stepModel) crash(name string) {
	for _, o := range m.owners {
		for _, st := range append([]*stream(nil), o.streams...) {
			if st.start.Endpoint == name {
				o.remove(st.start.Run)
				o.step.StreamEnded(m.now, st.start.Run, true)
			}
		}
	}
}

func (m *stepModel) pull(o *owner, lost bool) {
	o.step.Advance(m.newest)
	d, err := o.step.Pull(m.now, m.cursor, 4)
	if err != nil {
		m.t.Fatal(err)
	}
	if lost {
		return
	}
	for _, s := range d.Samples {
		m.receive(s)
	}
	m.cursor = d.Next
}

func (m *stepModel) receive(s ledger.Sample) {
	if m.got[s.Slot] {
		m.t.Fatalf("sample of slot %v delivered twice", s.Slot)
	}
	m.got[s.Slot] = true
	if len(s.Tokens) != tokensPerSample {
		m.t.Fatalf("incomplete sample delivered: %+v", s)
	}
	seed := m.spec.SlotSeed(s.Slot)
	for _, sp := range s.Spans {
		if sp.Version+m.spec.MaxStaleness < m.newest {
			m.t.Fatalf("stale sample delivered, newest version %d: %+v", m.newest, s)
		}
		for pos := sp.From; pos < sp.To; pos++ {
			if s.Tokens[pos] != token(sp.Version, seed, pos) {
				m.t.Fatalf("token %d is wrong or attributed to the wrong version: %+v", pos, s)
			}
		}
	}
	if !s.Attributed() {
		m.t.Fatalf("sample has tokens without a version: %+v", s)
	}
	m.checkScore(s)
}

// finish runs the last owner without faults and checks that the trainer then
// receives every slot.
func (m *stepModel) finish() {
	for _, n := range m.names {
		m.engines[n] = m.newest
	}
	o := m.currentOwner()
	for range 200 {
		m.tick(o, true)
		for _, st := range append([]*stream(nil), o.streams...) {
			m.produce(st, tokensPerSample)
		}
		m.completeAll(o)
		m.pull(o, false)
	}
	if want := len(m.spec.Prompts) * m.spec.Samples; len(m.got) != want || !o.step.Complete(m.cursor) {
		m.t.Fatalf("%d of %d samples delivered; progress %+v", len(m.got), want, o.step.Progress(m.now))
	}
}

func TestStepAgainstTrainer(t *testing.T) {
	moves, scored := 0, map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newStepModel(t)
		onStream := func(f func(*stream)) func(*rapid.T) {
			return func(*rapid.T) {
				if st := m.drawStream(); st != nil {
					f(st)
				}
			}
		}
		name := rapid.SampledFrom(m.names)
		t.Repeat(map[string]func(*rapid.T){
			"tick":    func(*rapid.T) { m.tick(m.anyOwner(), m.flip("store up")) },
			"tick2":   func(*rapid.T) { m.tick(m.currentOwner(), true) },
			"chunk":   onStream(func(st *stream) { m.produce(st, rapid.IntRange(1, 3).Draw(t, "n")) }),
			"whole":   onStream(func(st *stream) { m.produce(st, tokensPerSample) }),
			"fault":   onStream(m.badChunk),
			"end":     onStream(m.endHalted),
			"slow":    func(*rapid.T) { m.slowStreams() },
			"crash":   func(*rapid.T) { m.crash(name.Draw(t, "engine")) },
			"leave":   func(*rapid.T) { m.anyOwner().step.EvacuateEndpoint(name.Draw(t, "engine")) },
			"publish": func(*rapid.T) { m.newest++ },
			"swap":    func(*rapid.T) { m.engines[name.Draw(t, "engine")] = m.newest },
			"unknown": func(*rapid.T) { m.engines[name.Draw(t, "engine")] = 0 },
			"pull":    func(*rapid.T) { m.pull(m.anyOwner(), m.flip("lost")) },
			"pull2":   func(*rapid.T) { m.pull(m.currentOwner(), false) },
			"score":   func(*rapid.T) { m.endOneCall() },
			"score2":  func(*rapid.T) { m.completeAll(m.anyOwner()) },
			"takeover": func(*rapid.T) {
				if len(m.owners) < 3 {
					m.takeover()
				}
			},
		})
		m.finish()
		moves += m.moves
		scored[m.scorer.idempotent] += m.scorer.scored
	})
	t.Logf("scored samples, by whether the service is idempotent: %v", scored)
	if scored[false] == 0 || scored[true] == 0 {
		t.Error("no sample scored, so the test does not cover scoring")
	}
	t.Logf("%d moves", moves)
	if moves == 0 {
		t.Error("no stream moved, so the test does not cover moves")
	}
}

// TestPoisonPromptFailsGroup verifies that the group of a prompt that loses every
// stream without a token fails, and that the step then completes without it.
func TestPoisonPromptFailsGroup(t *testing.T) {
	s := New(Spec{ID: "s", Service: "m", Prompts: []string{"bad", "good"}, Samples: 1, MaxTokens: 1},
		Options{Epoch: 1, MaxGroups: 2, BatchSamples: 1, Grace: time.Hour})
	s.Advance(1)
	now := time.Duration(0)
	for range 20 {
		now += time.Second
		list := []Endpoint{{Name: "a", Version: 1, Free: 2}}
		for _, a := range s.Tick(now, list, 9) {
			switch a := a.(type) {
			case Start:
				if a.Request.Prompt == "bad" {
					s.StreamEnded(now, a.Run, false)
					continue
				}
				s.Chunk(now, a.Run, engine.Chunk{Tokens: []int32{1}, WeightVersion: 1, Done: true})
			case Write:
				s.BatchStored(now, a.Batch.Seq)
			}
		}
	}
	d, err := s.Pull(now, ledger.Cursor{}, 9)
	if err != nil || len(d.Samples) != 1 || !s.Complete(d.Next) {
		t.Fatalf("delivery %+v, error %v, progress %+v", d, err, s.Progress(now))
	}
	if p := s.Progress(now); len(p.Failed) != 1 || p.Failed[0] != 0 {
		t.Fatalf("progress %+v, want group 0 failed", p)
	}
}
