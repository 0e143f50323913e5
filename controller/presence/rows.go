package presence

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/cumincove/cumincove/infra"
)

const (
	// prefix begins the keys of the rows.
	prefix = "member/"
	// parts is the number of parts that the rows are spread over: a part
	// executes one transaction after another.
	parts = 16
)

// row is what an instance says of itself.
type row struct {
	Incarnation uint64 `json:"incarnation"`
	// Beat rises with each write.
	Beat       uint64 `json:"beat"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	CallerAddr string `json:"caller_addr"`
	Leaving    bool   `json:"leaving,omitempty"`
	InFlight   int    `json:"in_flight"`
	// Streams counts its requests and streams by endpoint.
	Streams map[string]int `json:"streams,omitempty"`
}

// partOf names the part of an instance's row.
func partOf(name string) string {
	h := fnv.New32a()
	h.Write([]byte(name))
	return fmt.Sprintf("%02d", h.Sum32()%parts)
}

// apply takes in what was written since the last read. A row that can't be read
// is as one that is not there.
func (c *Controller) apply(changes infra.Changes) {
	if changes.Whole {
		clear(c.rows)
	}
	c.next = changes.Next
	for _, change := range changes.Rows {
		name, ok := strings.CutPrefix(change.Key, prefix)
		if !ok {
			continue
		}
		var r row
		if change.Removed {
			delete(c.rows, name)
		} else if err := json.Unmarshal(change.Value, &r); err != nil {
			c.o.Log.Warn("member row is unreadable", "row", change.Key, "error", err)
			delete(c.rows, name)
		} else {
			c.rows[name] = r
		}
	}
}
