package ledger

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stepModel is the model and its oracle: the trainer, the store and the true
// content of every sample that any owner generated.
type stepModel struct {
	t      *rapid.T
	cfg    Config
	now    time.Duration
	newest uint64
	epoch  uint64
	// owners are all owners since the start of the run. The last is the current
	// one; the others have been replaced but still run.
	owners    []*owner
	rows      []Batch
	generated map[attemptKey]Sample

	// received has the samples that the trainer received, and cursor is the
	// cursor that it passes.
	received map[Slot]Sample
	cursor   Cursor
	// durable has the samples of all durable deliveries for the current cursor,
	// including deliveries that were lost.
	durable map[Slot]Sample
	// scoreCount counts the groups that were scored. It is the score of the next
	// group, so that each scoring gives different scores.
	scoreCount int
}

type owner struct {
	ledger *Ledger
	// loaded is the number of groups that it loaded from the store.
	loaded int
	// storedAt is when its last write was confirmed, or when it started.
	storedAt time.Duration
}

type attemptKey struct {
	Slot
	attempt uint64
}

func newStepModel(t *rapid.T) *stepModel {
	m := &stepModel{
		t: t,
		cfg: Config{
			Groups:       rapid.IntRange(1, 5).Draw(t, "groups"),
			GroupSize:    rapid.IntRange(1, 3).Draw(t, "size"),
			MaxStaleness: uint64(rapid.IntRange(0, 2).Draw(t, "bound")),
			MaxGroups:    rapid.IntRange(1, 5).Draw(t, "held"),
			BatchSamples: 4,
			BatchTokens:  rapid.IntRange(0, 9).Draw(t, "tokens"),
			Linger:       time.Second,
			Grace:        5 * time.Second,
			Scored:       rapid.Bool().Draw(t, "scored"),
		},
		newest:    1,
		generated: map[attemptKey]Sample{},
		received:  map[Slot]Sample{},
		durable:   map[Slot]Sample{},
	}
	m.takeover()
	return m
}

func (m *stepModel) owner() *owner { return m.owners[len(m.owners)-1] }

func (m *stepModel) drawOwner() *owner {
	return m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner")]
}

func (m *stepModel) takeover() {
	m.epoch++
	cfg := m.cfg
	cfg.BaseAttempt = m.epoch << 32
	l := New(cfg)
	for _, b := range m.rows {
		if err := l.Load(m.now, b); err != nil {
			m.t.Fatalf("load: %v", err)
		}
	}
	m.owners = append(m.owners, &owner{ledger: l, loaded: l.reserved, storedAt: m.now})
}

// fill generates one sample at an owner, as an engine does.
func (m *stepModel) fill(o *owner, id Slot, spans []Span) {
	if o.ledger.Reserve(id.Group) != nil {
		return
	}
	attempt, ok := o.ledger.PendingAttempt(id)
	if !ok {
		return
	}
	n := 0
	if len(spans) > 0 {
		n = spans[len(spans)-1].To
	}
	s := Sample{Slot: id, Attempt: attempt, Tokens: make([]int32, n), Spans: spans, Finish: "stop"}
	for i := range s.Tokens {
		s.Tokens[i] = int32(len(m.generated))
	}
	if _, ok := m.generated[attemptKey{id, attempt}]; ok {
		m.t.Fatalf("attempt %d of %v was generated before", attempt, id)
	}
	m.generated[attemptKey{id, attempt}] = s
	err := o.ledger.Fill(m.now, s)
	if !versionsKnown(s) && !errors.Is(err, ErrVersionUnknown) {
		m.t.Fatalf("fill of an unattributed sample: got %v, want ErrVersionUnknown", err)
	}
}

func (m *stepModel) drawSpans() []Span {
	first := uint64(rapid.IntRange(0, int(m.newest)).Draw(m.t, "version"))
	spans := []Span{{0, 2, first}}
	if rapid.Bool().Draw(m.t, "swap") {
		spans = append(spans, Span{2, 3, m.newest})
	}
	return spans
}

// pull makes the trainer pull from an owner. The response may be lost.
func (m *stepModel) pull(o *owner, lost bool) {
	// The owner reads the newest version after the pull arrived.
	o.ledger.SetNewestVersion(m.newest)
	d, err := o.ledger.Pull(m.now, m.cursor, rapid.IntRange(1, 8).Draw(m.t, "max"))
	if err != nil {
		m.t.Fatalf("pull: %v", err)
	}
	m.checkRepeatable(o, d)
	if lost {
		return
	}
	for _, s := range d.Samples {
		m.receive(s)
	}
	if m.cursor.Len() != d.Next.Len() {
		m.durable = map[Slot]Sample{}
	}
	m.cursor = d.Next
}

// checkRepeatable fails the run if the current owner returns other samples for
// the same cursor than before, although the earlier ones were durable and are
// not too old.
func (m *stepModel) checkRepeatable(o *owner, d Delivery) {
	for _, s := range d.Samples {
		p, ok := m.durable[s.Slot]
		if !m.groupFresh(s.Group) {
			p.Score, s.Score = nil, nil // scored again because another sample was replaced
		}
		if ok && o == m.owner() && m.fresh(p) && !reflect.DeepEqual(p, s) {
			m.t.Fatalf("different samples for the same cursor: %+v, then %+v", p, s)
		}
	}
	if !d.Durable {
		if m.now <= o.storedAt+m.cfg.Grace {
			m.t.Fatalf("delivered before it was stored, without a store outage")
		}
		return
	}
	for _, s := range d.Samples {
		m.durable[s.Slot] = s
	}
}

// groupFresh reports whether none of the durable samples of a group is too old.
func (m *stepModel) groupFresh(group int) bool {
	for id, p := range m.durable {
		if id.Group == group && !m.fresh(p) {
			return false
		}
	}
	return true
}

func (m *stepModel) fresh(s Sample) bool {
	for _, p := range s.Spans {
		if p.Version+m.cfg.MaxStaleness < m.newest {
			return false
		}
	}
	return true
}

func versionsKnown(s Sample) bool {
	for _, p := range s.Spans {
		if p.Version == 0 {
			return false
		}
	}
	return len(s.Spans) > 0
}

func (m *stepModel) receive(s Sample) {
	if old, ok := m.received[s.Slot]; ok {
		m.t.Fatalf("delivered twice: %+v and %+v", old, s)
	}
	if m.cfg.Scored != (s.Score != nil) {
		m.t.Fatalf("scored %t: %+v", m.cfg.Scored, s)
	}
	s.Score = nil
	if !reflect.DeepEqual(m.generated[attemptKey{s.Slot, s.Attempt}], s) {
		m.t.Fatalf("not the sample that the engine generated: %+v", s)
	}
	if !versionsKnown(s) || !m.fresh(s) {
		m.t.Fatalf("at version %d: unattributed or too old: %+v", m.newest, s)
	}
	m.received[s.Slot] = s
}

// write stores a batch if the owner is the current one, like a transaction that
// checks the owner row.
func (m *stepModel) write(o *owner, down, lost bool) {
	b := o.ledger.Batch(m.now)
	if b == nil {
		return
	}
	if down || o != m.owner() {
		o.ledger.BatchFailed(m.now, b.Seq)
		return
	}
	m.rows = append(m.rows, *b)
	if lost {
		o.ledger.BatchFailed(m.now, b.Seq)
		return
	}
	o.ledger.BatchStored(m.now, b.Seq)
	o.storedAt = m.now
}

func (m *stepModel) drawSlot() Slot {
	return Slot{
		Group: rapid.IntRange(0, m.cfg.Groups-1).Draw(m.t, "group"),
		Index: rapid.IntRange(0, m.cfg.GroupSize-1).Draw(m.t, "index"),
	}
}

// scoreGroups scores an owner's complete groups, each time with different
// scores, or only marks them.
func (m *stepModel) scoreGroups(o *owner, mark bool) {
	for _, g := range o.ledger.Unscored() {
		if mark {
			o.ledger.MarkScoring(m.now, g)
			continue
		}
		m.scoreCount++
		v := Verdict{Group: g, Attempts: o.ledger.groups[g].attempts()}
		for range m.cfg.GroupSize {
			v.Scores = append(v.Scores, float64(m.scoreCount))
		}
		if err := o.ledger.SetVerdict(m.now, v); err != nil {
			m.t.Fatalf("set the verdict: %v", err)
		}
	}
}

// fillAndStore fills every slot, waits and stores a batch, without faults.
func (m *stepModel) fillAndStore(o *owner) {
	for g := range m.cfg.Groups {
		for i := range m.cfg.GroupSize {
			m.fill(o, Slot{g, i}, []Span{{0, 1, m.newest}})
		}
	}
	m.scoreGroups(o, false)
	m.now += 2 * time.Second
	m.write(o, false, false)
}

// finish runs without faults and checks that the step becomes complete.
func (m *stepModel) finish() {
	o := m.owner()
	for range 20 * m.cfg.Groups {
		m.fillAndStore(o)
		m.pull(o, false)
	}
	if len(m.received) != m.cfg.Groups*m.cfg.GroupSize {
		m.t.Fatalf("the trainer has %d samples of %d", len(m.received), m.cfg.Groups*m.cfg.GroupSize)
	}
	if !o.ledger.Complete() && m.cursor.Len() != m.cfg.Groups {
		m.t.Fatalf("the step is not complete")
	}
}

func TestLedgerAgainstTrainer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStepModel(t)
		flip := func(name string) bool { return rapid.Bool().Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"fill":    func(*rapid.T) { m.fill(m.drawOwner(), m.drawSlot(), m.drawSpans()) },
			"work":    func(*rapid.T) { m.fillAndStore(m.drawOwner()) },
			"publish": func(*rapid.T) { m.newest++ },
			"hear":    func(*rapid.T) { m.drawOwner().ledger.SetNewestVersion(m.newest) },
			"write":   func(*rapid.T) { m.write(m.drawOwner(), flip("down"), flip("lost")) },
			"write2":  func(*rapid.T) { m.write(m.owner(), false, false) },
			"pull":    func(*rapid.T) { m.pull(m.drawOwner(), flip("lost")) },
			"pull2":   func(*rapid.T) { m.pull(m.owner(), false) },
			"judge":   func(*rapid.T) { m.scoreGroups(m.drawOwner(), flip("mark")) },
			"wait":    func(*rapid.T) { m.now += time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second },
			"takeover": func(*rapid.T) {
				if len(m.owners) < 4 {
					m.takeover()
				}
			},
			"": func(*rapid.T) {
				for _, o := range m.owners {
					if o.ledger.reserved > max(m.cfg.MaxGroups, o.loaded) {
						t.Fatalf("%d groups in memory, over the bound", o.ledger.reserved)
					}
				}
			},
		})
		m.finish()
	})
}
