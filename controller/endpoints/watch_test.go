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

// watchModel contains the Watches of several instances for one data centre. Its
// oracle is the list that the holder observed for each version, and the version
// and list that each instance must have.
type watchModel struct {
	now        time.Duration
	truth      []infra.RunningEndpoint
	changes    int
	watches    [4]Watch
	wantAt     [4]version
	want       [4][]infra.RunningEndpoint
	receivedAt [4]time.Duration
	// freshAt is when each instance's list was last observed or confirmed.
	freshAt      [4]time.Duration
	observedList map[version][]infra.RunningEndpoint
	heldEpoch    [4]uint64 // epoch of the lease as each instance has it, or 0
	epoch        uint64
	sentReports  []Report // may be delivered repeatedly, late or never
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
	epoch := m.heldEpoch[i]
	if !w.ObservationDue(m.now, epoch > 0) {
		return
	}
	mark, list := w.ObservationMark(), m.truth
	late := rapid.Bool().Draw(t, "word comes meanwhile") && m.deliverReport(t, i)
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		return // missing data changes nothing
	}
	w.ApplyObservation(m.now, mark, epoch, list)
	own := epoch == 0 || epoch < m.wantAt[i].epoch
	if own && late {
		return
	}
	m.want[i] = list
	m.freshAt[i] = m.now
	if own {
		return
	}
	m.receivedAt[i] = m.now
	m.wantAt[i] = version{w.epoch, w.seq}
	if w.epoch != epoch {
		t.Fatalf("holder of epoch %d reports under epoch %d", epoch, w.epoch)
	}
	if old, ok := m.observedList[m.wantAt[i]]; ok && !slices.Equal(old, list) {
		t.Fatalf("version %v has two different lists", m.wantAt[i])
	}
	m.observedList[m.wantAt[i]] = list
}

// deliverReport delivers one of the reports to an instance and returns whether the
// instance must apply it.
func (m *watchModel) deliverReport(t *rapid.T, i int) bool {
	if len(m.sentReports) == 0 {
		return false
	}
	report := m.sentReports[rapid.IntRange(0, len(m.sentReports)-1).Draw(t, "word")]
	at := version{report.Epoch, report.Seq}
	newer := at.epoch > m.wantAt[i].epoch || at.epoch == m.wantAt[i].epoch && at.seq > m.wantAt[i].seq
	mustApply := newer && slices.Equal(after(m.want[i], report), m.observedList[at])
	applied, _ := m.watches[i].HandleReport(m.now, report, rapid.Float64Range(0, 0.99).Draw(t, "jitter"))
	if applied != mustApply {
		t.Fatalf("instance %d at %v: report %v applied: %v, want %v", i, m.wantAt[i], at, applied, mustApply)
	}
	if mustApply {
		m.wantAt[i], m.want[i], m.receivedAt[i] = at, m.observedList[at], m.now
		m.freshAt[i] = m.now
	}
	return mustApply
}

func (m *watchModel) check(t *rapid.T) {
	for i := range m.watches {
		w := &m.watches[i]
		if at := (version{w.epoch, w.seq}); at != m.wantAt[i] {
			t.Fatalf("instance %d is at %v, want %v", i, at, m.wantAt[i])
		}
		if list, hasList := w.List(); !slices.Equal(list, m.want[i]) || hasList != (m.want[i] != nil) {
			t.Fatalf("instance %d has %v, want %v", i, list, m.want[i])
		}
		if m.now-m.receivedAt[i] >= reportTimeout+reportTimeoutJitter && !w.ObservationDue(m.now, false) {
			t.Fatalf("instance %d has received no report since %v and does not observe at %v", i, m.receivedAt[i], m.now)
		}
		if w.Fresh(m.now) && (m.want[i] == nil || m.now-m.freshAt[i] >= freshFor) {
			t.Fatalf("instance %d counts %v as fresh at %v, last confirmed at %v", i, m.want[i], m.now, m.freshAt[i])
		}
		if report, ok := w.Report(m.now); ok {
			observedList := m.observedList[version{report.Epoch, report.Seq}]
			if !slices.Equal(after(observedList, report), observedList) {
				t.Fatalf("instance %d reports %v, which the holder did not observe", i, report)
			}
		}
	}
}

// after returns a list with a report's changes applied.
func after(list []infra.RunningEndpoint, report Report) []infra.RunningEndpoint {
	var next []infra.RunningEndpoint
	for i := range 3 {
		name := fmt.Sprintf("e%d", i)
		for _, e := range slices.Concat(report.Changed, list) { // the first match counts
			if e.Name == name && !slices.Contains(report.Removed, name) {
				next = append(next, e)
				break
			}
		}
	}
	return next
}

// TestOwnObservationIsFresh checks that an instance counts a list from its own
// observation as fresh until freshFor has passed or a report refers to a newer
// list.
func TestOwnObservationIsFresh(t *testing.T) {
	list := []infra.RunningEndpoint{{Name: "e0"}}
	var w Watch
	w.ApplyObservation(0, w.ObservationMark(), 0, list)
	if !w.Fresh(freshFor - time.Millisecond) {
		t.Error("an own observation is not fresh within freshFor")
	}
	if w.Fresh(freshFor) {
		t.Error("an own observation is still fresh after freshFor")
	}
	newer := Report{Epoch: 1, Seq: 1, Digest: digest(list) + 1}
	if applied, _ := w.HandleReport(time.Second, newer, 0); applied || w.Fresh(time.Second) {
		t.Error("the list is fresh although a report has the digest of another list")
	}
}

func TestWatchAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &watchModel{observedList: map[version][]infra.RunningEndpoint{}}
		m.change(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"change":  m.change,
			"observe": m.observe,
			"holder": func(t *rapid.T) {
				m.epoch++ // the previous holder may still have its old epoch
				m.heldEpoch[rapid.IntRange(0, 3).Draw(t, "holder")] = m.epoch
			},
			"ends": func(t *rapid.T) { m.heldEpoch[rapid.IntRange(0, 3).Draw(t, "instance")] = 0 },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "instance")
				m.watches[i], m.heldEpoch[i], m.wantAt[i], m.want[i] = Watch{}, 0, version{}, nil
				m.receivedAt[i] = -reportTimeout - reportTimeoutJitter // observes at once
			},
			"send": func(t *rapid.T) {
				if report, ok := m.watches[rapid.IntRange(0, 3).Draw(t, "sender")].Report(m.now); ok {
					m.sentReports = append(m.sentReports, report)
				}
			},
			"hear": func(t *rapid.T) { m.deliverReport(t, rapid.IntRange(0, 3).Draw(t, "hearer")) },
		})
	})
}
