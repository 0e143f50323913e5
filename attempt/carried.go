package attempt

import (
	"hash/maphash"
	"slices"
)

// maxRequestsPerConn bounds the number of requests on one connection, and with it the
// memory for their IDs.
const maxRequestsPerConn = 512

// idHash is the hash of a request's ID. If two IDs have the same hash, a request gets
// another connection than it might have.
type idHash uint64

// carriedIDs are the IDs of the requests that a connection has carried. A copy of an
// answer may arrive when that to any later request is expected, so a connection must not
// carry the same ID again.
type carriedIDs struct {
	hashes []idHash
}

func (c *carriedIDs) add(id idHash) { c.hashes = append(c.hashes, id) }

func (c *carriedIDs) contains(id idHash) bool { return slices.Contains(c.hashes, id) }

// full reports whether the connection must not carry any further request.
func (c *carriedIDs) full() bool { return len(c.hashes) >= maxRequestsPerConn }

// hash returns the hash of a request's ID.
func (p *Pool) hash(id string) idHash { return idHash(maphash.String(p.seed, id)) }
