package presence

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"github.com/cumincove/cumincove/controller/speeds"
	"github.com/cumincove/cumincove/controller/teamusage"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

const (
	// rowPrefix is the prefix of the rows' keys.
	rowPrefix = "member/"
	// parts is the number of parts over which the rows are distributed. Each
	// part executes its transactions one after another.
	parts = 16
)

// row is what an instance reports about itself.
type row struct {
	Incarnation uint64 `json:"incarnation"`
	// Heartbeat rises with each write.
	Heartbeat  uint64 `json:"beat"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	CallerAddr string `json:"caller_addr"`
	Leaving    bool   `json:"leaving,omitempty"`
	InFlight   int    `json:"in_flight"`
	// Size is the share of a processor that the instance has.
	Size float64 `json:"size,omitempty"`
	// Streams is the number of its requests in flight, streams included, by
	// endpoint.
	Streams map[string]int `json:"streams,omitempty"`
	// Steps are the rollout steps that the instance runs. See view.View.
	Steps map[string]uint64 `json:"steps,omitempty"`
	// Speeds contains the endpoints that the instance found slower or faster than
	// others. See speeds.Report.
	Speeds speeds.Report `json:"speeds,omitempty"`
	// Report contains the services for which requests wait at the instance, and
	// the usage that other instances requested.
	teamusage.Report
}

// RowParts returns the names of the two parts that can contain an instance's row.
// The second one is used when the first one can't be written, since the store
// can be unavailable in part.
func RowParts(name string) [2]string {
	h := fnv.New32a()
	h.Write([]byte(name))
	first := h.Sum32() % parts
	return [2]string{fmt.Sprintf("%02d", first), fmt.Sprintf("%02d", (first+parts/2)%parts)}
}

// olderThan reports whether a row was written before another of the same name.
func (r row) olderThan(other row) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation < other.Incarnation
	}
	return r.Heartbeat < other.Heartbeat
}

// apply applies the changes since the last read to the rows.
func (c *Controller) apply(changes infra.Changes) {
	if changes.Complete {
		clear(c.rows)
	}
	c.next = changes.Next
	for _, key := range mergeRows(c.rows, changes.Rows) {
		c.o.Log.Warn("failed to decode member row", "row", key)
	}
}

// mergeRows applies changes to rows, which are keyed by instance name. If there
// are several rows of one name, the newest one counts. It returns the keys of
// rows that can't be decoded; these are treated as missing.
func mergeRows(rows map[string]row, changes []infra.Change) (unreadable []string) {
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.Key, rowPrefix)
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
		case !r.olderThan(rows[name]):
			rows[name] = r
		}
	}
	return unreadable
}

// List reads the rows of all instances, in order of name. A row contains what
// the instance last wrote; it does not show that the instance is alive.
func List(ctx context.Context, feed infra.Feed) ([]view.Member, error) {
	changes, err := feed.Changes(ctx, 0)
	if err != nil {
		return nil, fmt.Errorf("read members: %w", err)
	}
	rows := map[string]row{}
	mergeRows(rows, changes.Rows)
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
