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
	// keepJitter is the part by which the time to keep an answer varies, so
	// that callers who came together do not come back together.
	keepJitter = 0.2
	// elsewhereEntries is the number of addresses named in a refusal.
	elsewhereEntries = 3
)

// entriesAnswer is the answer to GET /v1/entries.
type entriesAnswer struct {
	// Entries are addresses in the order in which to try them.
	Entries []entry `json:"entries"`
	// KeepMillis is how long the answer may be kept, in milliseconds.
	KeepMillis int64 `json:"keep_ms"`
}

type entry struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
}

// serveEntries answers with the instances to connect to. The query may name the
// caller's data centre as data_centre.
func (d *Daemon) serveEntries(w http.ResponseWriter, r *http.Request) {
	keep := time.Duration(d.d.Settings.Timing.EntriesKeep)
	jitter := 1 + keepJitter*(2*rand.Float64()-1)
	answer := entriesAnswer{
		Entries:    []entry{},
		KeepMillis: time.Duration(float64(keep) * jitter).Milliseconds(),
	}
	for _, in := range d.rankEntries(r.URL.Query().Get("data_centre")) {
		answer.Entries = append(answer.Entries, entry{Instance: in.Name, DataCentre: in.DataCentre, Addr: in.Addr})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the caller may be gone
}

func (d *Daemon) rankEntries(dataCentre string) []entries.Instance {
	return rankEntries(d.views.Load(), d.d.Settings.Name, d.leaving.Load(), dataCentre, d.entryCount.Add(1))
}

// rankEntries ranks the fitting members for the nth caller that asks an instance, which
// may be leaving itself.
func rankEntries(v *view.View, self string, leaving bool, dataCentre string, n uint64) []entries.Instance {
	var list []entries.Instance
	for _, m := range v.Fitting() {
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

// elsewhere returns addresses of other instances, for callers refused here.
func (d *Daemon) elsewhere() []string {
	var addrs []string
	for _, in := range d.rankEntries("") {
		if in.Name != d.d.Settings.Name && len(addrs) < elsewhereEntries {
			addrs = append(addrs, in.Addr)
		}
	}
	return addrs
}
