package gossip

import (
	"hash/fnv"
	"slices"
	"strconv"
)

// Neighbours returns the instances at distances of 1, 2, 4 and so on after
// self in the ring, and the two before it. The ring contains all instances in an
// order that is the same at all of them.
//
// Each instance thus has the same number of neighbours, and an update reaches
// all of them in a few steps. Instances that are close to each other in the
// ring, such as those of one data centre, exchange messages most often.
func Neighbours(self string, ring []string) []string {
	at := slices.Index(ring, self)
	if at < 0 {
		return nil
	}
	var names []string
	for step := 1; step < len(ring); step *= 2 {
		names = append(names, ring[(at+step)%len(ring)])
	}
	for step := 1; step <= 2 && step < len(ring); step++ {
		if name := ring[(at+len(ring)-step)%len(ring)]; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// digest returns a hash of the Node's records, apart from minor changes.
func (n *Node) digest() uint64 {
	var sum uint64
	for _, m := range n.members {
		if m.status != Listed {
			sum ^= m.digest()
		}
	}
	return sum
}

func (m *member) digest() uint64 {
	if e := m.rec.major(); m.digestEntry != e {
		m.digestEntry = e
		m.digestSum = e.digest()
	}
	return m.digestSum
}

func (e Entry) digest() uint64 {
	h := fnv.New64a()
	buf := make([]byte, 0, 64)
	buf = append(buf, e.Name...)
	buf = append(buf, 0)
	buf = strconv.AppendUint(buf, e.Incarnation, 36)
	buf = append(buf, 0)
	buf = strconv.AppendUint(buf, e.Seq, 36)
	_, _ = h.Write(buf) // never fails
	return h.Sum64()
}
