package leases

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cumincove/cumincove/view"
)

const (
	// maxCandidates is the number of instances that try to hold one lease.
	maxCandidates = 3
	// stableTerms is the number of terms for which an instance must be the
	// preferred holder before a lease moves to it. Without this delay the changes
	// of members at every outage would move leases, and each move costs time
	// without a holder.
	stableTerms = 10
)

// Manager manages the leases of all duties and distributes them over the members.
type Manager struct {
	o     Options
	views *view.Store

	mu      sync.Mutex
	runners map[Duty]*Runner
	wake    chan struct{}
	// members are the eligible members at the last refresh, and ranks their
	// order by duty. Only Run uses members, ranks and preferred.
	members []string
	ranks   map[Duty][]string
	// preferred has, for each duty, the member that last ranked first, and since
	// when it has.
	preferred map[Duty]preference
}

type preference struct {
	name  string
	since time.Duration
}

// NewManager returns a Manager without duties.
func NewManager(o Options, views *view.Store) *Manager {
	return &Manager{
		o:         o.withDefaults(),
		views:     views,
		runners:   map[Duty]*Runner{},
		preferred: map[Duty]preference{},
		wake:      make(chan struct{}, 1),
	}
}

// Runner returns the Runner of a duty. The first call for a duty starts taking
// part in its lease.
func (m *Manager) Runner(d Duty) *Runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.runners[d]
	if !ok {
		r = NewRunner(m.o, d)
		m.runners[d] = r
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
	return r
}

// Run takes part in the leases of all duties until ctx is done, then releases
// them.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	started := map[Duty]bool{}
	t := time.NewTicker(m.o.Duration / 5)
	defer t.Stop()
	for ctx.Err() == nil {
		m.refresh()
		for _, r := range m.all() {
			m.assign(r)
			if !started[r.duty] {
				started[r.duty] = true
				wg.Go(func() { r.Run(ctx) })
			}
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-m.wake:
		}
	}
	return nil
}

func (m *Manager) all() []*Runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*Runner, 0, len(m.runners))
	for _, r := range m.runners {
		all = append(all, r)
	}
	return all
}

// refresh updates the members and clears the ranks if the members changed.
func (m *Manager) refresh() {
	members := m.eligible()
	if m.ranks == nil || !slices.Equal(members, m.members) {
		m.members = members
		m.ranks = map[Duty][]string{}
	}
}

func (m *Manager) rank(d Duty) []string {
	ranked, ok := m.ranks[d]
	if !ok {
		ranked = Rank(d, m.members)
		m.ranks[d] = ranked
	}
	return ranked
}

// assign sets a Runner's Role in the duty. A new preferred holder takes effect
// only after it stayed the same for stableTerms terms.
func (m *Manager) assign(r *Runner) {
	ranked := m.rank(r.duty)
	self := slices.Index(ranked, m.o.Holder)
	role := Role{Candidate: self >= 0 && self < maxCandidates, Successor: firstOther(m.o.Holder, ranked)}
	now := m.o.Clock.Now()
	p := m.preferred[r.duty]
	switch {
	case self < 0: // leaving or too small: hand off the lease, acquire none
		role.Candidate = r.Holds()
		role.Preferred = role.Successor
	case p.name != ranked[0]:
		m.preferred[r.duty] = preference{name: ranked[0], since: now}
	case now-p.since >= stableTerms*m.o.Duration:
		role.Preferred = p.name
	}
	r.Assign(role)
}

// firstOther returns the first name that is not self, or "".
func firstOther(self string, names []string) string {
	for _, n := range names {
		if n != self {
			return n
		}
	}
	return ""
}

// eligible lists the instances that may hold leases, in order of name: the
// members of an eligible size that are not leaving, and this instance even if it
// is not a member yet.
func (m *Manager) eligible() []string {
	v := m.views.Load()
	var names []string
	if _, isMember := v.Members[m.o.Holder]; !isMember {
		names = append(names, m.o.Holder)
	}
	for _, member := range v.Eligible() {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	return names
}

// Rank orders members by their hash score for a duty; the first is the preferred
// holder. All instances with the same members get the same order. Adding or
// removing a member moves only the duties for which it ranks first.
func Rank(d Duty, members []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		sum := sha256.Sum256([]byte(d.String() + "\x00" + m))
		all[i] = scored{m, binary.BigEndian.Uint64(sum[:])}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.name
	}
	return names
}
