package ratelimit

import (
	"slices"
	"time"

	"github.com/cumincove/cumincove/internal/rendezvous"
)

const (
	// maxMembersAge is the age of the list of members up to which an instance
	// coordinates.
	maxMembersAge = 2500 * time.Millisecond
	// takeoverDelay is how long an instance must have been the selected one before
	// it coordinates. It exceeds maxMembersAge by the time for which the permits of
	// an earlier coordinator may be valid, and by the drift of clocks.
	takeoverDelay = maxMembersAge + maxWait + permitLifetime + 500*time.Millisecond
)

// office decides which endpoints an instance coordinates.
type office struct {
	self string
	// lists are the lists of members that were in force within takeoverDelay, the
	// oldest first.
	lists  []memberList
	readAt time.Duration
}

type memberList struct {
	from  time.Duration
	names []string
}

// setMembers records a list of members that was read at readAt. It must contain
// the instance itself only if its own entry was read. After a gap in the reads the
// instance coordinates nothing until takeoverDelay has passed again.
func (o *office) setMembers(readAt time.Duration, names []string) {
	if readAt < o.readAt {
		return
	}
	names = slices.Sorted(slices.Values(names))
	if len(o.lists) > 0 && readAt-o.readAt > maxMembersAge {
		o.lists = nil
	}
	o.readAt = readAt
	n := len(o.lists)
	if n > 0 && slices.Equal(o.lists[n-1].names, names) {
		return
	}
	o.lists = append(o.lists, memberList{from: readAt, names: names})
	o.prune(readAt)
}

// prune forgets lists that were replaced before takeoverDelay.
func (o *office) prune(now time.Duration) {
	for len(o.lists) > 1 && o.lists[1].from <= now-takeoverDelay {
		o.lists = o.lists[1:]
	}
}

// coordinator returns the instance that coordinates an endpoint by the newest list.
func (o *office) coordinator(endpoint string) string {
	if len(o.lists) == 0 {
		return ""
	}
	return rendezvous.Highest(endpoint, o.lists[len(o.lists)-1].names)
}

// holds reports whether this instance coordinates an endpoint at now.
func (o *office) holds(now time.Duration, endpoint string) bool {
	o.prune(now)
	if len(o.lists) == 0 || now-o.readAt > maxMembersAge || o.lists[0].from > now-takeoverDelay {
		return false
	}
	for _, l := range o.lists {
		if rendezvous.Highest(endpoint, l.names) != o.self {
			return false
		}
	}
	return true
}
