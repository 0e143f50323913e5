package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/share"
)

const (
	// needPrefix is the prefix of the rows that contain the needs of steps.
	needPrefix = "rollout/need/"
	// maxNeedAge is the age beyond which another step's row is ignored. Its
	// owner writes it every refreshPeriod.
	maxNeedAge = 5 * refreshPeriod
	// defaultTimeLeft is the assumed time from the opening of a step without a
	// deadline until it is due.
	defaultTimeLeft = 12 * time.Minute
	// maxNeeds bounds the need rows that are read. Any further rows are ignored.
	maxNeeds = 200
)

// needRow is the value of a need row, which a step's owner writes for the
// owners of the team's other steps at the service.
type needRow struct {
	Samples int     `json:"samples"`
	Tokens  float64 `json:"tokens"`
	// LeftMillis is the time until the step is due, measured by the owner's
	// boot clock. The next owner continues from the last value written.
	LeftMillis int64 `json:"left_ms"`
	Running    int   `json:"running"`
}

func (n needRow) need() share.Need {
	return share.Need{
		Samples:   n.Samples,
		Tokens:    n.Tokens,
		Remaining: time.Duration(n.LeftMillis) * time.Millisecond,
	}
}

// observedNeed is another step's row, and the boot time at which this instance
// last observed a change of it.
type observedNeed struct {
	row       needRow
	version   uint64
	changedAt time.Duration
}

// needs returns the prefix of the need rows of all steps of the team at a
// service. Teams share capacity by their weights in the queue, and the steps of
// a team by their needs.
func (k stepKey) needs(service string) string {
	return needPrefix + service + "/" + k.team + "/"
}

func (k stepKey) need(service string) string { return k.needs(service) + k.id }

// ownNeed returns the step's need row. The caller must hold mu.
func (w *worker) ownNeed(now time.Duration) needRow {
	n := w.step.Need()
	return needRow{
		Samples:    n.Samples,
		Tokens:     n.Tokens,
		LeftMillis: (w.dueAt - now).Milliseconds(),
		Running:    n.Running,
	}
}

// exchangeNeeds writes the step's need row and reads those of the team's other
// steps at the service. The rows are only hints: without them a step uses all
// the free capacity that it finds.
func (w *worker) exchangeNeeds(ctx context.Context) error {
	w.mu.Lock()
	own := w.ownNeed(w.c.o.Clock.Now())
	w.mu.Unlock()
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	key := w.key.need(w.spec.Service)
	if err := w.c.rows.table.Commit(ctx, infra.Put(key, value)); err != nil {
		return err
	}
	list, err := w.c.rows.table.List(ctx, w.key.needs(w.spec.Service), "", maxNeeds)
	if err != nil {
		return err
	}
	now := w.c.o.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	observed := make(map[string]observedNeed, len(list))
	for _, row := range list {
		if row.Key == key {
			continue
		}
		n := observedNeed{version: row.Version, changedAt: now}
		if old, ok := w.otherNeeds[row.Key]; ok && old.version == row.Version {
			n.changedAt = old.changedAt
		}
		if err := json.Unmarshal(row.Value, &n.row); err == nil {
			observed[row.Key] = n
		}
	}
	w.otherNeeds = observed
	return nil
}

// quota returns the number of streams that the step may run, and the number of
// steps of the team at the service, this one included. The first is the step's
// share of a total: the free capacity plus the streams that these steps run. The
// caller must hold mu.
func (w *worker) quota(now time.Duration, list []rollout.Endpoint) (streams, steps int) {
	own := w.ownNeed(now)
	streams = own.Running
	for _, e := range list {
		streams += max(e.Free, 0)
	}
	needs := []share.Need{own.need()}
	for _, o := range w.otherNeeds {
		if now-o.changedAt > maxNeedAge {
			continue
		}
		streams += o.row.Running
		needs = append(needs, o.row.need())
	}
	return w.c.o.Divide(streams, needs)[0], len(needs)
}
