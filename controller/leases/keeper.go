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
	// preferred is the last preferred holder of each duty, and since when it is.
	preferred map[Duty]preference
}

type preference struct {
	name  string
	since time.Duration
}

// NewManager returns a Keeper without duties.
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
func (k *Manager) Runner(d Duty) *Runner {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.runners[d]
	if !ok {
		r = NewRunner(k.o, d)
		k.runners[d] = r
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
	return r
}

// Run takes part in the leases of all duties until ctx is done, then releases
// them.
func (k *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	started := map[Duty]bool{}
	t := time.NewTicker(k.o.Duration / 5)
	defer t.Stop()
	for ctx.Err() == nil {
		k.refresh()
		for _, r := range k.all() {
			k.assign(r)
			if !started[r.duty] {
				started[r.duty] = true
				wg.Go(func() { r.Run(ctx) })
			}
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-k.wake:
		}
	}
	return nil
}

func (k *Manager) all() []*Runner {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]*Runner, 0, len(k.runners))
	for _, r := range k.runners {
		all = append(all, r)
	}
	return all
}

// refresh updates the members and clears the ranks if the members changed.
func (k *Manager) refresh() {
	members := k.eligible()
	if k.ranks == nil || !slices.Equal(members, k.members) {
		k.members = members
		k.ranks = map[Duty][]string{}
	}
}

func (k *Manager) rank(d Duty) []string {
	ranked, ok := k.ranks[d]
	if !ok {
		ranked = Rank(d, k.members)
		k.ranks[d] = ranked
	}
	return ranked
}

// assign sets a Runner's Role in the duty. A new preferred holder takes effect
// only after it stayed the same for stableTerms terms.
func (k *Manager) assign(r *Runner) {
	ranked := k.rank(r.duty)
	self := slices.Index(ranked, k.o.Holder)
	role := Role{Candidate: self >= 0 && self < maxCandidates, Successor: firstOther(k.o.Holder, ranked)}
	now := k.o.Clock.Now()
	p := k.preferred[r.duty]
	switch {
	case self < 0: // leaving or too small: hand off the lease, acquire none
		role.Candidate = r.Holds()
		role.Preferred = role.Successor
	case p.name != ranked[0]:
		k.preferred[r.duty] = preference{name: ranked[0], since: now}
	case now-p.since >= stableTerms*k.o.Duration:
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
func (k *Manager) eligible() []string {
	v := k.views.Load()
	var names []string
	if _, member := v.Members[k.o.Holder]; !member {
		names = append(names, k.o.Holder)
	}
	for _, m := range v.Eligible() {
		names = append(names, m.Name)
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
