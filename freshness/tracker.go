package freshness

import (
	"slices"
	"time"
)

const (
	// driftDivisor allows for clocks that run at different rates. The wait is
	// the bound plus the bound divided by driftDivisor.
	driftDivisor = 100
	// maxPending bounds the number of versions that are tracked individually.
	// If there are more, the newest replaces the one before it, which then comes
	// into force together with the newest.
	maxPending = 64
)

// Tracker determines which version is in force everywhere. It is not safe for
// concurrent use.
type Tracker struct {
	wait      time.Duration
	inForce   uint64
	pending   []pendingVersion // in order of version
	confirmed map[string]uint64
}

type pendingVersion struct {
	version     uint64
	members     []string
	confirmed   bool
	confirmedAt time.Duration // when the Tracker first counted a majority
}

// NewTracker returns a Tracker for Readers with the given bound.
func NewTracker(bound time.Duration) *Tracker {
	return &Tracker{
		wait:      bound + bound/driftDivisor,
		confirmed: make(map[string]uint64),
	}
}

// Install records that a version with its member list exists in the store.
// Versions that are not higher than the newest installed one are ignored.
func (t *Tracker) Install(version uint64, members []string) {
	if version <= t.newest() {
		return
	}
	if len(t.pending) == maxPending {
		t.pending = slices.Delete(t.pending, maxPending-1, maxPending)
	}
	t.pending = append(t.pending, pendingVersion{version: version, members: slices.Clone(members)})
}

func (t *Tracker) newest() uint64 {
	if len(t.pending) == 0 {
		return t.inForce
	}
	return t.pending[len(t.pending)-1].version
}

// Confirm records that a member that vouches has version. The message that
// reported it may be old.
func (t *Tracker) Confirm(member string, version uint64) {
	t.confirmed[member] = max(t.confirmed[member], version)
}

// Tick returns the highest version that is in force everywhere at now.
func (t *Tracker) Tick(now time.Duration) uint64 {
	for i := range t.pending {
		p := &t.pending[i]
		if !p.confirmed && t.countConfirmed(p) >= needed(p.members) {
			p.confirmed = true
			p.confirmedAt = now
		}
	}
	for i := len(t.pending) - 1; i >= 0; i-- {
		p := t.pending[i]
		if p.confirmed && now-p.confirmedAt > t.wait {
			t.inForce = p.version
			t.pending = slices.Delete(t.pending, 0, i+1)
			t.prune(p.members)
			break
		}
	}
	return t.inForce
}

// needed returns the number of members that must have a version. It is zero for
// an empty list, because reports make no Reader fresh then.
func needed(members []string) int {
	if len(members) == 0 {
		return 0
	}
	return majority(len(members))
}

func (t *Tracker) countConfirmed(p *pendingVersion) int {
	n := 0
	for _, m := range p.members {
		if t.confirmed[m] >= p.version {
			n++
		}
	}
	return n
}

// prune deletes the confirmations of instances that are neither in members nor
// on the list of a pending version.
func (t *Tracker) prune(members []string) {
	for name := range t.confirmed {
		if slices.Contains(members, name) {
			continue
		}
		if !slices.ContainsFunc(t.pending, func(p pendingVersion) bool { return slices.Contains(p.members, name) }) {
			delete(t.confirmed, name)
		}
	}
}

// InForce returns the version that the last Tick returned.
func (t *Tracker) InForce() uint64 { return t.inForce }

// Missing returns the members that have not confirmed the newest version.
func (t *Tracker) Missing() []string {
	if len(t.pending) == 0 {
		return nil
	}
	p := t.pending[len(t.pending)-1]
	var names []string
	for _, m := range p.members {
		if t.confirmed[m] < p.version {
			names = append(names, m)
		}
	}
	return names
}
