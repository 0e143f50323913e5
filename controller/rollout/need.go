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
	// needPrefix is the prefix of the rows that say what steps need.
	needPrefix = "rollout/need/"
	// needAge is the age at which another step's row does not count any more:
	// its owner writes it every refreshPeriod.
	needAge = 5 * refreshPeriod
	// defaultLeft is the time from its opening in which a step without a
	// deadline is taken to be wanted.
	defaultLeft = 12 * time.Minute
	// maxNeeds bounds the other steps that are looked at.
	maxNeeds = 200
)

// needRow is what a step's owner says of it to the owners of other steps.
type needRow struct {
	Samples int     `json:"samples"`
	Tokens  float64 `json:"tokens"`
	// LeftMillis is the time until the step is to be done, by the owner's boot
	// clock. A later owner goes on from the last one written.
	LeftMillis int64 `json:"left_ms"`
	Running    int   `json:"running"`
}

func (n needRow) need() share.Need {
	return share.Need{
		Samples: n.Samples,
		Tokens:  n.Tokens,
		Left:    time.Duration(n.LeftMillis) * time.Millisecond,
	}
}

// seenNeed is another step's row and when it last changed, in boot time.
type seenNeed struct {
	row     needRow
	version uint64
	at      time.Duration
}

// needs is the prefix of the rows of all steps of the team at a service. Teams
// share by their weights in the queue; a team's steps share by need.
func (k stepKey) needs(service string) string {
	return needPrefix + service + "/" + k.team + "/"
}

func (k stepKey) need(service string) string { return k.needs(service) + k.id }

// ownNeed needs mu.
func (w *worker) ownNeed(now time.Duration) needRow {
	n := w.step.Need()
	return needRow{
		Samples:    n.Samples,
		Tokens:     n.Tokens,
		LeftMillis: (w.wantedBy - now).Milliseconds(),
		Running:    n.Running,
	}
}

// tellNeed writes what the step needs and reads what others do. Rows are hints
// only: without them a step takes what room it finds.
func (w *worker) tellNeed(ctx context.Context) error {
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
	seen := make(map[string]seenNeed, len(list))
	for _, row := range list {
		if row.Key == key {
			continue
		}
		s := seenNeed{version: row.Version, at: now}
		if old, ok := w.others[row.Key]; ok && old.version == row.Version {
			s.at = old.at
		}
		if err := json.Unmarshal(row.Value, &s.row); err == nil {
			seen[row.Key] = s
		}
	}
	w.others = seen
	return nil
}

// quota returns how many streams the step may have, its part of all that are
// free or that the team's steps have at the service, and the number of these
// steps. It needs mu.
func (w *worker) quota(now time.Duration, list []rollout.Endpoint) (streams, steps int) {
	own := w.ownNeed(now)
	streams = own.Running
	for _, e := range list {
		streams += max(e.Free, 0)
	}
	needs := []share.Need{own.need()}
	for _, o := range w.others {
		if now-o.at > needAge {
			continue
		}
		streams += o.row.Running
		needs = append(needs, o.row.need())
	}
	return w.c.o.Divide(streams, needs)[0], len(needs)
}
