package steps_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/view"
)

const (
	service       = "reader"
	team          = "wells"
	model         = "m"
	eventPeriod   = 50 * time.Millisecond
	eventCount    = 60
	acceptTimeout = 5 * time.Second
	memberPeriod  = time.Second
	memberLapse   = 4 * time.Second
)

type instance struct {
	*steps.Controller
	name  string
	table *faultyTables
	views *view.Store
	// incarnation distinguishes the processes of one name.
	incarnation uint64
	// unreachable instances do not respond to other instances.
	unreachable atomic.Bool
	// killed is set once the process was killed, and leaving while it shuts down.
	killed, leaving atomic.Bool
	stop            func()
}

// testCluster runs several instances in one process, with a fake store and fake
// engines.
type testCluster struct {
	t         *testing.T
	fake      *fakeplatform.Platform
	engines   *fakeEngines
	instances map[string]*instance
	// handoff is the Handoff of all instances.
	handoff fakeHandoff
	// speeds are the Speeds of all instances; nil means that all are unknown.
	speeds steps.Speeds
	// countScores makes the score of each call a different one.
	countScores bool
	// callsPerSecond, if set, limits the calls of instances that start.
	callsPerSecond int
	scoreCalls     atomic.Int64
	// members is the table of the members' rows. If it is nil, setMembers sets the
	// members.
	members *fakeplatform.Platform
	// mu guards instances while other goroutines call process.
	mu sync.Mutex
	// stopReports stops the goroutine that reports the running steps.
	stopReports func()
}

// newEmptyCluster returns a cluster without instances.
func newEmptyCluster(t *testing.T) *testCluster {
	cluster := &testCluster{
		t: t, fake: fakeplatform.New(fakeplatform.Options{}),
		engines: newFakeEngines(), instances: map[string]*instance{},
	}
	cluster.handoff.cluster = cluster
	return cluster
}

// newTestCluster starts instances that are members of one cluster.
func newTestCluster(t *testing.T, names ...string) *testCluster {
	cluster := newEmptyCluster(t)
	for _, name := range names {
		cluster.instances[name] = cluster.start(name, 1)
	}
	cluster.setMembers(names, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { cluster.reportSteps(ctx) })
	cluster.stopReports = func() { cancel(); wg.Wait() }
	return cluster
}

// reportSteps makes all instances observe once a second which steps the others run.
// An instance that cannot reach the store reports and observes nothing new.
func (cluster *testCluster) reportSteps(ctx context.Context) {
	reports := map[string]map[string]uint64{}
	for ctx.Err() == nil {
		for name, in := range cluster.instances {
			if !in.table.down.Load() {
				reports[name] = in.RunningSteps()
			}
		}
		for _, in := range cluster.instances {
			if !in.table.down.Load() {
				in.views.Update(func(v *view.View) { observeReports(v, maps.Clone(reports)) })
			}
		}
		select {
		case <-time.After(memberPeriod):
		case <-ctx.Done():
		}
	}
}

// observeReports installs a read of the members in which all heartbeats advanced.
func observeReports(v *view.View, reports map[string]map[string]uint64) {
	v.MemberSteps = reports
	v.MembersAt += memberPeriod
	v.Members = maps.Clone(v.Members)
	for name, m := range v.Members {
		m.HeartbeatAt += memberPeriod
		v.Members[name] = m
	}
}

// newHandoffCluster starts instances that hand off steps to each other.
func newHandoffCluster(t *testing.T, names ...string) *testCluster {
	cluster := newTestCluster(t, names...)
	cluster.handoff.enabled = true
	return cluster
}

// openSteps returns the number of steps that each instance runs, without instances
// that run none.
func (cluster *testCluster) openSteps() map[string]int {
	open := map[string]int{}
	for name, in := range cluster.instances {
		if n := in.OpenSteps(); n > 0 {
			open[name] = n
		}
	}
	return open
}

func (cluster *testCluster) start(name string, incarnation uint64) *instance {
	in := &instance{name: name, incarnation: incarnation, table: &faultyTables{Tables: cluster.fake.Tables()}, views: view.NewStore()}
	state := config.NewState()
	state.Services[service] = config.Service{Meta: config.Meta{Name: service}, Type: config.ServiceEngine}
	if cluster.callsPerSecond > 0 {
		in.table.limitCalls(cluster.callsPerSecond)
	}
	in.views.Update(func(v *view.View) {
		v.SetConfig(state)
		v.SetReplicas([]infra.Replica{{
			RunningEndpoint: infra.RunningEndpoint{Name: "e1", Service: service, Addr: "127.0.0.1:1", State: infra.EndpointRunning},
			Slots:           4, Weights: map[string]uint64{model: 1},
		}})
	})
	in.Controller = steps.New(steps.Options{
		Steps: in.table, Shared: cluster.fake.Platform().Table, Engines: cluster.engines, Views: in.views,
		Score: func(_ context.Context, s steps.ScoreCall) (string, durable.ScoreEnd) {
			score := "score of " + s.ID
			if n := cluster.scoreCalls.Add(1); cluster.countScores {
				score += fmt.Sprint(" at call ", n)
			}
			return score, durable.ScoreDone
		},
		IdleConnections: func(string) int { return 0 },
		Handoff:         &cluster.handoff, Speeds: cluster.speeds,
		Clock: clock.NewMonotonic(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
		Self: name, Incarnation: incarnation, MembersSynced: func() bool { return true },
		StoreUnavailable: in.table.down.Load,
	})
	ctx, cancel := context.WithCancel(cluster.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = in.Run(ctx) })
	if cluster.members != nil {
		wg.Go(func() { _ = cluster.newPresence(in).Run(ctx) })
	}
	in.stop = func() { cancel(); wg.Wait() }
	return in
}

func (cluster *testCluster) stopAll() {
	if cluster.stopReports != nil {
		cluster.stopReports()
	}
	for _, in := range cluster.instances {
		in.stop()
	}
}

// setMembers sets the member list of all instances: those in names stay, and those
// in leaving are leaving.
func (cluster *testCluster) setMembers(names, leaving []string) {
	members := map[string]view.Member{}
	for _, name := range names {
		members[name] = view.Member{Name: name, Incarnation: 1, PeerAddr: name}
	}
	for _, name := range leaving {
		members[name] = view.Member{Name: name, Incarnation: 1, Leaving: true}
	}
	for _, in := range cluster.instances {
		in.views.Update(func(v *view.View) { v.Members = members })
	}
}

func spec(id string, samples int) durable.Spec {
	s := durable.Spec{
		ID: id, Team: team, Service: service, Model: model, MinVersion: 1, MaxFailures: 3,
		Submitted: time.Now().UnixMilli(), AbandonAfter: time.Now().Add(time.Hour).UnixMilli(),
	}
	for i := range samples {
		sample := durable.Sample{ID: fmt.Sprintf("%s-%d", id, i), Body: []byte(fmt.Sprint("body", i))}
		sample.Scorer = &durable.Scorer{ID: "r" + sample.ID}
		s.Samples = append(s.Samples, sample)
	}
	return s
}

func (cluster *testCluster) accept(in *instance, s durable.Spec) error {
	ctx, cancel := context.WithTimeout(cluster.t.Context(), acceptTimeout)
	defer cancel()
	return in.Accept(ctx, s)
}

func (cluster *testCluster) mustAccept(in *instance, s durable.Spec) {
	cluster.t.Helper()
	if err := cluster.accept(in, s); err != nil {
		cluster.t.Fatal(err)
	}
}

// read reads the results that are stored within a time limit, up to total.
func (cluster *testCluster) read(in *instance, id string, total int, limit time.Duration) []durable.Result {
	cluster.t.Helper()
	var all []durable.Result
	for until := time.Now().Add(limit); len(all) < total && time.Now().Before(until); {
		list, err := in.Read(cluster.t.Context(), id, team, len(all), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if list.Total != total || list.Next != len(all)+len(list.Results) {
			cluster.t.Fatalf("read returned %+v after %d of %d results", list, len(all), total)
		}
		all = append(all, list.Results...)
	}
	return all
}

// mustRead reads all results and checks each of them.
func (cluster *testCluster) mustRead(in *instance, id string, total int, limit time.Duration) []durable.Result {
	cluster.t.Helper()
	all := cluster.read(in, id, total, limit)
	seen := map[string]bool{}
	for _, r := range all {
		if !r.Complete || r.Text != completeText(r.ID) || r.Score != "score of r"+r.ID || seen[r.ID] {
			cluster.t.Errorf("unexpected or repeated result of %s: %+v", r.ID, r)
		}
		seen[r.ID] = true
	}
	if len(all) != total {
		cluster.t.Fatalf("got %d of %d results within %v", len(all), total, limit)
	}
	return all
}

func wantCode(t *testing.T, err error, want code.Number) {
	t.Helper()
	var coded *code.Error
	if !errors.As(err, &coded) || coded.Number != want {
		t.Errorf("got %v, want code %d", err, want)
	}
}

// owner returns the instance that runs steps, and the other one. The cluster must
// have two instances.
func (cluster *testCluster) owner(t *testing.T) (owner, other *instance) {
	t.Helper()
	for _, in := range cluster.instances {
		if in.OpenSteps() > 0 {
			owner = in
		} else {
			other = in
		}
	}
	if owner == nil || other == nil {
		t.Fatal("steps do not run at exactly one of two instances")
	}
	return owner, other
}

// startedSamples returns the number of a step's samples that were started at least
// once.
func (cluster *testCluster) startedSamples(id string, samples int) int {
	n := 0
	for _, s := range spec(id, samples).Samples {
		if len(cluster.engines.runs(s.ID)) > 0 {
			n++
		}
	}
	return n
}

// ageHeartbeat makes all instances observe that the last heartbeat of one instance
// was received some time ago.
func (cluster *testCluster) ageHeartbeat(name string, ago time.Duration) {
	for _, in := range cluster.instances {
		in.views.Update(func(v *view.View) {
			members := maps.Clone(v.Members)
			v.MembersAt = time.Hour
			for other, m := range members {
				m.HeartbeatAt = v.MembersAt
				if other == name {
					m.HeartbeatAt -= ago
				}
				members[other] = m
			}
			v.Members = members
		})
	}
}

// resize sets the size of one instance in the views of all instances.
func (cluster *testCluster) resize(name string, size float64) {
	for _, in := range cluster.instances {
		in.views.Update(func(v *view.View) {
			v.Members = maps.Clone(v.Members)
			m := v.Members[name]
			m.Size = size
			v.Members[name] = m
		})
	}
}
