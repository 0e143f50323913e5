package steps_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/presence"
	"github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/controller/teamusage"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/view"
)

// noUsage is a presence.UsageReporter that reports nothing.
type noUsage struct{}

func (noUsage) NewReport([]string) teamusage.Report   { return teamusage.Report{} }
func (noUsage) HandleReport(string, teamusage.Report) {}

// memberFeed is an instance's access to the table of the members' rows. It is
// unavailable together with the instance's access to the steps.
type memberFeed struct {
	infra.Feed
	in *instance
}

func (f memberFeed) Part(name string) infra.Table {
	// Writes of members have no injected faults but unavailability.
	return memberTable{f.Feed.Part(name), f.in}
}

func (f memberFeed) Changes(ctx context.Context, after uint64) (infra.Changes, error) {
	if f.in.table.down.Load() {
		return infra.Changes{}, infra.ErrUnavailable
	}
	return f.Feed.Changes(ctx, after)
}

type memberTable struct {
	infra.Table
	in *instance
}

func (t memberTable) Commit(ctx context.Context, ops ...infra.Op) error {
	if t.in.table.down.Load() {
		return infra.ErrUnavailable
	}
	return t.Table.Commit(ctx, ops...)
}

// newMemberCluster starts instances that find each other by their members' rows, and
// that hand off steps to each other.
func newMemberCluster(t *testing.T, names ...string) *testCluster {
	cluster := newEmptyCluster(t)
	cluster.members = fakeplatform.New(fakeplatform.Options{})
	cluster.handoff.enabled = true
	for _, name := range names {
		cluster.instances[name] = cluster.start(name, 1)
	}
	time.Sleep(3 * memberPeriod)
	return cluster
}

func (cluster *testCluster) newPresence(in *instance) *presence.Controller {
	return presence.New(presence.Options{
		Rows: memberFeed{cluster.members.Tables(), in}, Views: in.views, Clock: clock.NewMonotonic(),
		Scope: tally.NoopScope, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Self:   view.Member{Name: in.name, Incarnation: in.incarnation, PeerAddr: in.name},
		Period: memberPeriod, Lapse: memberLapse, InFlight: func() int { return 0 },
		Leaving: in.leaving.Load, Steps: in.RunningSteps, Usage: noUsage{},
	})
}

// cutFor makes the store unavailable to an instance for some time.
func (cluster *testCluster) cutFor(name string, d time.Duration) {
	in := cluster.instances[name]
	in.table.down.Store(true)
	time.AfterFunc(d, func() {
		if !in.killed.Load() {
			in.table.down.Store(false)
		}
	})
}

// kill ends an instance. Its rows remain.
func (cluster *testCluster) kill(name string) {
	in := cluster.instances[name]
	in.killed.Store(true)
	in.unreachable.Store(true)
	in.table.down.Store(true)
	in.stop()
}

// busiest returns the instance that runs most of the steps.
func (cluster *testCluster) busiest(names, ids []string) string {
	count := map[string]int{}
	best := names[0]
	for _, name := range cluster.runnersOf(names, ids) {
		if count[name]++; count[name] > count[best] {
			best = name
		}
	}
	return best
}

// setOwner writes an instance into the row of a step's owner, as a takeover does that
// is executed late.
func (cluster *testCluster) setOwner(id, name string) {
	cluster.t.Helper()
	t := cluster.fake.Tables().Part(id)
	row, err := t.Get(cluster.t.Context(), "state/owner")
	if err == nil {
		err = t.Commit(cluster.t.Context(), infra.PutJSON(row.Key, row.Version, steps.Owner{Instance: name, Incarnation: 1}))
	}
	if err != nil {
		cluster.t.Fatal(err)
	}
}
