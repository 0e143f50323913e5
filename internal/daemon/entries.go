package daemon

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/entries"
	"github.com/cumincove/cumincove/view"
)

const (
	// keepJitter is the fraction by which the time to keep a response varies, so
	// that callers that connect at the same time don't return at the same time.
	keepJitter = 0.2
	// maxOtherAddresses bounds the number of addresses in a refusal.
	maxOtherAddresses = 3
)

// entriesResponse is the response to GET /v1/entries.
type entriesResponse struct {
	// Entries are addresses in the order in which to try them.
	Entries []entry `json:"entries"`
	// KeepMillis is how long the response may be kept, in milliseconds.
	KeepMillis int64 `json:"keep_ms"`
}

// entry is an instance to which callers can connect, and its address for them.
type entry struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
}

// serveEntries returns the instances to connect to. The query parameter
// data_centre, which is optional, is the caller's data centre.
func (d *Daemon) serveEntries(w http.ResponseWriter, r *http.Request) {
	keep := time.Duration(d.deps.Settings.Timing.EntriesKeep)
	jitter := 1 + keepJitter*(2*rand.Float64()-1)
	resp := entriesResponse{
		Entries:    []entry{},
		KeepMillis: time.Duration(float64(keep) * jitter).Milliseconds(),
	}
	for _, in := range d.rankEntries(r.URL.Query().Get("data_centre")) {
		resp.Entries = append(resp.Entries, entry{Instance: in.Name, DataCentre: in.DataCentre, Addr: in.Addr})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp) // the caller may have closed the connection
}

func (d *Daemon) rankEntries(dataCentre string) []entries.Instance {
	return rankEntries(d.views.Load(), d.deps.Settings.Name, d.leaving.Load(), dataCentre, d.entryCount.Add(1))
}

// rankEntries ranks the eligible members for the nth query at the instance self.
// The argument leaving reports whether self is leaving; its own member entry may
// not contain that yet.
func rankEntries(v *view.View, self string, leaving bool, dataCentre string, n uint64) []entries.Instance {
	var list []entries.Instance
	for _, m := range v.Eligible() {
		list = append(list, entries.Instance{
			Name: m.Name, DataCentre: m.DataCentre, Addr: m.CallerAddr,
			InFlight: m.InFlight, Leaving: m.Leaving || m.Name == self && leaving,
		})
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self)) // never fails
	start := float64(h.Sum32()) / (1 << 32)
	return entries.Rank(list, dataCentre, entries.Point(start, n))
}

// otherAddresses returns the addresses of other instances, for callers that this
// instance refuses.
func (d *Daemon) otherAddresses() []string {
	var addrs []string
	for _, in := range d.rankEntries("") {
		if in.Name != d.deps.Settings.Name && len(addrs) < maxOtherAddresses {
			addrs = append(addrs, in.Addr)
		}
	}
	return addrs
}
