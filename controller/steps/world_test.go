package steps_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"strings"
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
	service     = "reader"
	team        = "wells"
	model       = "m"
	eventPeriod = 50 * time.Millisecond
	eventCount  = 60
	callTime    = 5 * time.Second
)

// engines produce the events of samples, and remember what they were asked.
type engines struct {
	mu sync.Mutex
	// after holds the After of each run, by sample.
	after map[string][]int
}

func (e *engines) Generate(ctx context.Context, g infra.Generation, each func(infra.Event) error) error {
	e.mu.Lock()
	e.after[g.ID] = append(e.after[g.ID], g.After)
	e.mu.Unlock()
	for i := g.After + 1; i <= eventCount; i++ {
		select {
		case <-time.After(eventPeriod):
		case <-ctx.Done():
			return infra.ErrStreamBroken
		}
		if err := each(infra.Event{Index: i, Text: eventText(g.ID, i), Version: 1}); err != nil {
			return err
		}
	}
	return nil
}

func (e *engines) Report(context.Context, infra.EngineRef) (infra.EngineReport, error) {
	return infra.EngineReport{}, nil
}

func (e *engines) Order(context.Context, infra.WeightOrder) error { return nil }

func (e *engines) runs(sample string) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.after[sample]
}

func eventText(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

func wholeText(id string) string {
	var list []string
	for i := 1; i <= eventCount; i++ {
		list = append(list, eventText(id, i))
	}
	return strings.Join(list, "\n")
}

// faulty is a family of tables that one instance reaches the store by.
type faulty struct {
	infra.Tables
	down atomic.Bool
	// slow is how long reads take, in nanoseconds.
	slow atomic.Int64
	// late, if set, is called with each transaction in place of its execution.
	late atomic.Pointer[func(commit func()) error]
}

func (f *faulty) Part(name string) infra.Table { return &faultyPart{f.Tables.Part(name), f} }

func (f *faulty) Parts(ctx context.Context, after string, limit int) ([]string, error) {
	if f.down.Load() {
		return nil, infra.ErrUnavailable
	}
	return f.Tables.Parts(ctx, after, limit)
}

type faultyPart struct {
	infra.Table
	f *faulty
}

func (p *faultyPart) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if p.f.down.Load() {
		return nil, infra.ErrUnavailable
	}
	time.Sleep(time.Duration(p.f.slow.Load()))
	return p.Table.List(ctx, prefix, after, limit)
}

func (p *faultyPart) Commit(ctx context.Context, ops ...infra.Op) error {
	if p.f.down.Load() {
		return infra.ErrUnavailable
	}
	if late := p.f.late.Load(); late != nil {
		return (*late)(func() { _ = p.Table.Commit(context.WithoutCancel(ctx), ops...) })
	}
	return p.Table.Commit(ctx, ops...)
}

type instance struct {
	*steps.Controller
	name  string
	table *faulty
	views *view.Store
	// gone instances answer nobody.
	gone atomic.Bool
	stop func()
}

type world struct {
	t         *testing.T
	fake      *fakeplatform.Platform
	engines   *engines
	instances map[string]*instance
	// handing is how instances hand steps to each other.
	handing handing
}

// handing has the steps of a model run by the same instance, while on is set.
type handing struct {
	w  *world
	on bool
	// lost has words to other instances lost, and late their answers.
	lost, late atomic.Bool
	// offers counts the steps that were sent to others to take over.
	offers atomic.Int64
}

func (h *handing) Runner(spec durable.Spec, members []view.Member) string {
	if !h.on {
		return ""
	}
	return steps.ByModel{}.Runner(spec, members)
}

func (h *handing) Alive(_ context.Context, m view.Member) (bool, error) {
	in := h.w.instances[m.Name]
	if in.gone.Load() {
		return false, errors.New("nobody answers")
	}
	return !in.table.down.Load(), nil
}

func (h *handing) TakeOver(ctx context.Context, m view.Member, step string, from steps.Owner, saved []durable.Saved) error {
	if !h.on || h.lost.Load() {
		return errors.New("nobody answers")
	}
	h.offers.Add(1)
	return h.w.instances[m.Name].TakeOver(ctx, step, from, saved)
}

func (h *handing) Adopt(_ context.Context, m view.Member, step string) error {
	if h.lost.Load() {
		return errors.New("nobody answers")
	}
	err := h.w.instances[m.Name].Adopt(step, m.Incarnation)
	if h.late.Load() {
		time.Sleep(100 * time.Millisecond)
		return errors.New("the answer is lost")
	}
	return err
}

// newWorld runs instances that know each other.
func newWorld(t *testing.T, names ...string) *world {
	w := &world{
		t: t, fake: fakeplatform.New(fakeplatform.Options{}),
		engines: &engines{after: map[string][]int{}}, instances: map[string]*instance{},
	}
	w.handing.w = w
	for _, name := range names {
		w.instances[name] = w.start(name)
	}
	w.setMembers(names, nil)
	return w
}

// newHandingWorld runs instances that hand steps to each other.
func newHandingWorld(t *testing.T, names ...string) *world {
	w := newWorld(t, names...)
	w.handing.on = true
	return w
}

// running counts the steps that instances run.
func (w *world) running() map[string]int {
	open := map[string]int{}
	for name, in := range w.instances {
		if n := in.Open(); n > 0 {
			open[name] = n
		}
	}
	return open
}

func (w *world) start(name string) *instance {
	in := &instance{name: name, table: &faulty{Tables: w.fake.Tables()}, views: view.NewStore()}
	state := config.NewState()
	state.Services[service] = config.Service{Meta: config.Meta{Name: service}, Type: config.ServiceEngine}
	in.views.Update(func(v *view.View) {
		v.SetConfig(state)
		v.SetReplicas([]infra.Replica{{
			RunningEndpoint: infra.RunningEndpoint{Name: "e1", Service: service, Addr: "127.0.0.1:1", State: infra.EndpointRunning},
			Slots:           4, Weights: map[string]uint64{model: 1},
		}})
	})
	in.Controller = steps.New(steps.Options{
		Steps: in.table, Shared: w.fake.Platform().Table, Engines: w.engines, Views: in.views,
		Score: func(_ context.Context, s durable.Scorer) (string, durable.ScoreEnd) {
			return "score of " + s.ID, durable.ScoreDone
		},
		Warm:  func(string) int { return 0 },
		Hand:  &w.handing,
		Clock: clock.NewMonotonic(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
		Self: name, Incarnation: 1, Synced: func() bool { return true },
		Away: in.table.down.Load,
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = in.Run(ctx) })
	in.stop = func() { cancel(); wg.Wait() }
	return in
}

func (w *world) stopAll() {
	for _, in := range w.instances {
		in.stop()
	}
}

// setMembers tells all instances who lives and who leaves.
func (w *world) setMembers(names, leaving []string) {
	members := map[string]view.Member{}
	for _, name := range names {
		members[name] = view.Member{Name: name, Incarnation: 1, PeerAddr: name}
	}
	for _, name := range leaving {
		members[name] = view.Member{Name: name, Incarnation: 1, Leaving: true}
	}
	for _, in := range w.instances {
		in.views.Update(func(v *view.View) { v.Members = members })
	}
}

func spec(id string, samples int) durable.Spec {
	s := durable.Spec{
		ID: id, Team: team, Service: service, Model: model, MinVersion: 1, MaxFailures: 3,
		Submitted: time.Now().UnixMilli(), GiveUp: time.Now().Add(time.Hour).UnixMilli(),
	}
	for i := range samples {
		sample := durable.Sample{ID: fmt.Sprintf("%s-%d", id, i), Body: []byte(fmt.Sprint("body", i))}
		sample.Scorer = &durable.Scorer{ID: "r" + sample.ID}
		s.Samples = append(s.Samples, sample)
	}
	return s
}

func (w *world) accept(in *instance, s durable.Spec) error {
	ctx, cancel := context.WithTimeout(w.t.Context(), callTime)
	defer cancel()
	return in.Accept(ctx, s)
}

func (w *world) mustAccept(in *instance, s durable.Spec) {
	w.t.Helper()
	if err := w.accept(in, s); err != nil {
		w.t.Fatal(err)
	}
}

// read reads all results that come within a time.
func (w *world) read(in *instance, id string, total int, limit time.Duration) []durable.Result {
	w.t.Helper()
	var all []durable.Result
	for until := time.Now().Add(limit); len(all) < total && time.Now().Before(until); {
		list, err := in.Read(w.t.Context(), id, team, len(all), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if list.Total != total || list.Next != len(all)+len(list.Results) {
			w.t.Fatalf("read %+v after %d of %d", list, len(all), total)
		}
		all = append(all, list.Results...)
	}
	return all
}

// mustRead reads all results and checks each.
func (w *world) mustRead(in *instance, id string, total int, limit time.Duration) []durable.Result {
	w.t.Helper()
	all := w.read(in, id, total, limit)
	seen := map[string]bool{}
	for _, r := range all {
		if !r.Complete || r.Text != wholeText(r.ID) || r.Score != "score of r"+r.ID || seen[r.ID] {
			w.t.Errorf("result of %s: %+v", r.ID, r)
		}
		seen[r.ID] = true
	}
	if len(all) != total {
		w.t.Fatalf("%d of %d results within %v", len(all), total, limit)
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

// owner returns the one of two instances that runs steps, and the other.
func (w *world) owner(t *testing.T) (owner, other *instance) {
	t.Helper()
	for _, in := range w.instances {
		if in.Open() > 0 {
			owner = in
		} else {
			other = in
		}
	}
	if owner == nil || other == nil {
		t.Fatal("not one of two instances runs the steps")
	}
	return owner, other
}

func (w *world) started(id string, samples int) int {
	n := 0
	for _, s := range spec(id, samples).Samples {
		if len(w.engines.runs(s.ID)) > 0 {
			n++
		}
	}
	return n
}

// silence tells all instances that one's heartbeats ceased some time ago.
func (w *world) silence(name string, ago time.Duration) {
	for _, in := range w.instances {
		in.views.Update(func(v *view.View) {
			members := maps.Clone(v.Members)
			v.MembersAt = time.Hour
			for other, m := range members {
				m.HeardAt = v.MembersAt
				if other == name {
					m.HeardAt -= ago
				}
				members[other] = m
			}
			v.Members = members
		})
	}
}

// resize tells all instances that one is smaller than the others.
func (w *world) resize(name string, size float64) {
	for _, in := range w.instances {
		in.views.Update(func(v *view.View) {
			v.Members = maps.Clone(v.Members)
			m := v.Members[name]
			m.Size = size
			v.Members[name] = m
		})
	}
}
