package presence

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"github.com/cumincove/cumincove/controller/use"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
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
	// Size is the part of a processor that it has.
	Size float64 `json:"size,omitempty"`
	// Streams counts its requests and streams by endpoint.
	Streams map[string]int `json:"streams,omitempty"`
	// Word tells of its queues.
	use.Word
}

// Homes names the two parts that an instance's rows may lie in. The second one
// is for when the first one can't be written: a store may be down in part.
func Homes(name string) [2]string {
	h := fnv.New32a()
	h.Write([]byte(name))
	home := h.Sum32() % parts
	return [2]string{fmt.Sprintf("%02d", home), fmt.Sprintf("%02d", (home+parts/2)%parts)}
}

// before reports whether a row was written before another of the same name.
func (r row) before(other row) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation < other.Incarnation
	}
	return r.Beat < other.Beat
}

// apply takes in what was written since the last read.
func (c *Controller) apply(changes infra.Changes) {
	if changes.Whole {
		clear(c.rows)
	}
	c.next = changes.Next
	for _, key := range merge(c.rows, changes.Rows) {
		c.o.Log.Warn("member row is unreadable", "row", key)
	}
}

// merge takes changes into rows by name, of which the newest one counts. It
// returns the keys of rows that can't be read, which are as if they were not
// there.
func merge(rows map[string]row, changes []infra.Change) (unreadable []string) {
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.Key, prefix)
		if !ok {
			continue
		}
		var r row
		switch {
		case change.Removed:
			delete(rows, name)
		case json.Unmarshal(change.Value, &r) != nil:
			unreadable = append(unreadable, change.Key)
			delete(rows, name)
		case !r.before(rows[name]):
			rows[name] = r
		}
	}
	return unreadable
}

// List reads the rows of all instances, in order of name. They tell what each
// instance last wrote, not whether it lives.
func List(ctx context.Context, feed infra.Feed) ([]view.Member, error) {
	changes, err := feed.Changes(ctx, 0)
	if err != nil {
		return nil, fmt.Errorf("read members: %w", err)
	}
	rows := map[string]row{}
	merge(rows, changes.Rows)
	var members []view.Member
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		members = append(members, rows[name].member(name))
	}
	return members, nil
}

func (r row) member(name string) view.Member {
	return view.Member{
		Name: name, Incarnation: r.Incarnation, DataCentre: r.DataCentre,
		PeerAddr: r.PeerAddr, CallerAddr: r.CallerAddr,
		Leaving: r.Leaving, Size: r.Size, InFlight: r.InFlight,
	}
}
