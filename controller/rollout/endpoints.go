package rollout

import (
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/view"
)

// target is the engine that a stream is sent to.
type target struct {
	addr  string
	stats *view.Stats
	// version is the weight version that the engine last reported.
	version uint64
	// previousAddr is the address of the engine that the stream ran at before,
	// if it was moved; see transferKV.
	previousAddr string
}

// endpoints returns the engines of the step's service with their free capacity,
// and the names of the engines that streams must leave: those that are leaving
// because they are reclaimed, and those that are reserved for a suspicious
// request that runs in isolation.
func (w *worker) endpoints() (list []rollout.Endpoint, targets map[string]target, leave []string) {
	targets = map[string]target{}
	v := w.c.o.Views.Load()
	for _, e := range v.Endpoints[w.spec.Service] {
		if e.Leaving || e.Stats.Reserved.Load() {
			leave = append(leave, e.Name)
			continue
		}
		if e.Load.Draining || e.Load.Loading {
			continue
		}
		list = append(list, rollout.Endpoint{Name: e.Name, Version: e.Load.WeightVersion, Free: dispatch.RolloutRoom(e, v.RolloutSharers())})
		targets[e.Name] = target{addr: e.Addr, stats: e.Stats, version: e.Load.WeightVersion}
	}
	return list, targets, leave
}
