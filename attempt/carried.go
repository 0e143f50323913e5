package attempt

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of IDs that a connection remembers, and so the number of further
// answers after which a copy of an answer is not expected any more.
const maxCarried = 512

// idHash is the hash of a request's ID. If two IDs have the same hash, a request gets
// another connection than it might have.
type idHash uint64

// carriedIDs are the IDs of the last requests that a connection has carried. A copy of an
// answer may arrive when that to a later request is expected, so a connection must not
// carry the same ID again.
type carriedIDs struct {
	hashes []idHash
	// oldest is the position of the oldest of maxCarried hashes.
	oldest int
}

func (c *carriedIDs) add(id idHash) {
	if len(c.hashes) < maxCarried {
		c.hashes = append(c.hashes, id)
		return
	}
	c.hashes[c.oldest] = id
	c.oldest = (c.oldest + 1) % maxCarried
}

func (c *carriedIDs) contains(id idHash) bool { return slices.Contains(c.hashes, id) }

// hash returns the hash of a request's ID.
func (p *Pool) hash(id string) idHash { return idHash(maphash.String(p.seed, id)) }
