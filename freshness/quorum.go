package freshness

import (
	"slices"
	"time"
)

// Quorum determines when a majority of the members has a fact at the same time.
// A member that is replaced later then receives the fact again when it exchanges
// messages with a majority.
//
// It counts two rounds. The first round ends when a majority has confirmed the
// fact. The second round needs another confirmation from a majority, from the
// same incarnations and requested after the first round ended. If a member has
// been replaced in between, both rounds start again. Quorum is not safe for
// concurrent use.
type Quorum struct {
	members           []string
	firstRound        map[string]uint64 // incarnation by member
	secondRound       map[string]uint64
	majorityReached   bool
	majorityReachedAt time.Duration
}

// NewQuorum returns a Quorum of one fact among the given members.
func NewQuorum(members []string) *Quorum {
	return &Quorum{
		members:     slices.Clone(members),
		firstRound:  make(map[string]uint64),
		secondRound: make(map[string]uint64),
	}
}

// Install replaces the member list. Confirmations counted for the previous list
// are discarded, because after several changes the majorities of the two lists
// need not intersect.
func (q *Quorum) Install(members []string) {
	if q.Done() || slices.Equal(q.members, members) {
		return
	}
	q.members = slices.Clone(members)
	q.restart()
}

// Confirm records that an incarnation of member has the fact. started is the
// time of the request, and now is the time of the reply.
func (q *Quorum) Confirm(now, started time.Duration, member string, incarnation uint64) {
	if !slices.Contains(q.members, member) {
		return
	}
	if old, ok := q.firstRound[member]; ok && old != incarnation {
		q.restart()
	}
	if _, ok := q.firstRound[member]; !ok {
		q.join(now, member, incarnation)
		return
	}
	if q.majorityReached && started >= q.majorityReachedAt {
		q.secondRound[member] = incarnation
	}
}

// join adds a member to the first round and restarts the second one. The second
// round thus starts after the last member has joined, so that every member in it
// had the fact at the start of the round.
func (q *Quorum) join(now time.Duration, member string, incarnation uint64) {
	if q.Done() {
		return
	}
	q.firstRound[member] = incarnation
	clear(q.secondRound)
	q.majorityReached = len(q.firstRound) >= needed(q.members)
	q.majorityReachedAt = now
}

// restart starts again with the first round, because the member list changed or
// a replaced member lost its state.
func (q *Quorum) restart() {
	if q.Done() {
		return
	}
	clear(q.firstRound)
	clear(q.secondRound)
	q.majorityReached = false
}

// Done reports whether both rounds are complete.
func (q *Quorum) Done() bool {
	return q.majorityReached && len(q.secondRound) >= needed(q.members)
}
