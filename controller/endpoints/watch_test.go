package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"pgregory.net/rapid"
)

type version struct{ epoch, seq uint64 }

// watchModel holds some instances' Watches of one data centre. Its oracle is
// the list that the holder saw for each version, and per instance the version
// and the list that it must have.
type watchModel struct {
	now     time.Duration
	truth   []infra.RunningEndpoint
	changes int
	watches [4]Watch
	wantAt  [4]version
	want    [4][]infra.RunningEndpoint
	heardAt [4]time.Duration
	// freshAt is when each instance's list was last observed or confirmed.
	freshAt [4]time.Duration
	seen    map[version][]infra.RunningEndpoint
	held    [4]uint64 // epoch under which each instance acts, or 0
	epoch   uint64
	words   []Word // sent at any time; may come again, late or never
}

func (m *watchModel) change(t *rapid.T) {
	m.changes++
	m.truth = nil
	for i := range 3 {
		if i == m.changes%3 || rapid.Bool().Draw(t, "runs") {
			addr := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address")
			m.truth = append(m.truth, infra.RunningEndpoint{Name: fmt.Sprintf("e%d", i), Addr: addr})
		}
	}
}

func (m *watchModel) observe(t *rapid.T) {
	i := rapid.IntRange(0, 3).Draw(t, "observer")
	w := &m.watches[i]
	epoch := m.held[i]
	if !w.Due(m.now, epoch > 0) {
		return
	}
	begun, list := w.Begun(), m.truth
	late := rapid.Bool().Draw(t, "word comes meanwhile") && m.hear(t, i)
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		return // missing data changes nothing
	}
	w.Observed(m.now, begun, epoch, list)
	own := epoch == 0 || epoch < m.wantAt[i].epoch
	if own && late {
		return
	}
	m.want[i] = list
	m.freshAt[i] = m.now
	if own {
		return
	}
	m.heardAt[i] = m.now
	m.wantAt[i] = version{w.epoch, w.seq}
	if w.epoch != epoch {
		t.Fatalf("holder of epoch %d tells of epoch %d", epoch, w.epoch)
	}
	if old, ok := m.seen[m.wantAt[i]]; ok && !slices.Equal(old, list) {
		t.Fatalf("%v names two lists", m.wantAt[i])
	}
	m.seen[m.wantAt[i]] = list
}

// hear delivers some word to an instance and reports whether it must take it.
func (m *watchModel) hear(t *rapid.T, i int) bool {
	if len(m.words) == 0 {
		return false
	}
	word := m.words[rapid.IntRange(0, len(m.words)-1).Draw(t, "word")]
	at := version{word.Epoch, word.Seq}
	newer := at.epoch > m.wantAt[i].epoch || at.epoch == m.wantAt[i].epoch && at.seq > m.wantAt[i].seq
	must := newer && slices.Equal(after(m.want[i], word), m.seen[at])
	taken, _ := m.watches[i].Hear(m.now, word, rapid.Float64Range(0, 0.99).Draw(t, "jitter"))
	if taken != must {
		t.Fatalf("instance %d at %v: word %v taken: %v, must: %v", i, m.wantAt[i], at, taken, must)
	}
	if must {
		m.wantAt[i], m.want[i], m.heardAt[i] = at, m.seen[at], m.now
		m.freshAt[i] = m.now
	}
	return must
}

func (m *watchModel) check(t *rapid.T) {
	for i := range m.watches {
		w := &m.watches[i]
		if at := (version{w.epoch, w.seq}); at != m.wantAt[i] {
			t.Fatalf("instance %d is at %v, want %v", i, at, m.wantAt[i])
		}
		if list, known := w.List(); !slices.Equal(list, m.want[i]) || known != (m.want[i] != nil) {
			t.Fatalf("instance %d has %v, want %v", i, list, m.want[i])
		}
		if m.now-m.heardAt[i] >= quietAfter+quietJitter && !w.Due(m.now, false) {
			t.Fatalf("instance %d has no word since %v and does not observe at %v", i, m.heardAt[i], m.now)
		}
		if w.Fresh(m.now) && (m.want[i] == nil || m.now-m.freshAt[i] >= freshFor) {
			t.Fatalf("instance %d takes %v for fresh at %v, last confirmed at %v", i, m.want[i], m.now, m.freshAt[i])
		}
		if word, ok := w.Word(m.now); ok {
			seen := m.seen[version{word.Epoch, word.Seq}]
			if !slices.Equal(after(seen, word), seen) {
				t.Fatalf("instance %d tells %v, which the holder did not see", i, word)
			}
		}
	}
}

// after applies a word's changes.
func after(list []infra.RunningEndpoint, word Word) []infra.RunningEndpoint {
	var next []infra.RunningEndpoint
	for i := range 3 {
		name := fmt.Sprintf("e%d", i)
		for _, e := range slices.Concat(word.Changed, list) { // the first counts
			if e.Name == name && !slices.Contains(word.Gone, name) {
				next = append(next, e)
				break
			}
		}
	}
	return next
}

// TestOwnObservationIsFresh: an instance that missed word and observed by itself
// counts its list as fresh, until a word says that there is a newer one.
func TestOwnObservationIsFresh(t *testing.T) {
	list := []infra.RunningEndpoint{{Name: "e0"}}
	var w Watch
	w.Observed(0, w.Begun(), 0, list)
	if !w.Fresh(freshFor - time.Millisecond) {
		t.Error("an own observation is old at once")
	}
	if w.Fresh(freshFor) {
		t.Error("an own observation is fresh for ever")
	}
	newer := Word{Epoch: 1, Seq: 1, Digest: digest(list) + 1}
	if taken, _ := w.Hear(time.Second, newer, 0); taken || w.Fresh(time.Second) {
		t.Error("the list is fresh though a word names another")
	}
}

func TestWatchAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &watchModel{seen: map[version][]infra.RunningEndpoint{}}
		m.change(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"change":  m.change,
			"observe": m.observe,
			"holder": func(t *rapid.T) {
				m.epoch++ // the last holder may not know yet
				m.held[rapid.IntRange(0, 3).Draw(t, "holder")] = m.epoch
			},
			"ends": func(t *rapid.T) { m.held[rapid.IntRange(0, 3).Draw(t, "instance")] = 0 },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "instance")
				m.watches[i], m.held[i], m.wantAt[i], m.want[i] = Watch{}, 0, version{}, nil
				m.heardAt[i] = -quietAfter - quietJitter // observes at once
			},
			"send": func(t *rapid.T) {
				if word, ok := m.watches[rapid.IntRange(0, 3).Draw(t, "sender")].Word(m.now); ok {
					m.words = append(m.words, word)
				}
			},
			"hear": func(t *rapid.T) { m.hear(t, rapid.IntRange(0, 3).Draw(t, "hearer")) },
		})
	})
}
