package steps_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
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
	"github.com/cumincove/cumincove/internal/bubble"
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
	stop  func()
}

type world struct {
	t         *testing.T
	fake      *fakeplatform.Platform
	engines   *engines
	instances map[string]*instance
}

// newWorld runs instances that know each other.
func newWorld(t *testing.T, names ...string) *world {
	w := &world{
		t: t, fake: fakeplatform.New(fakeplatform.Options{}),
		engines: &engines{after: map[string][]int{}}, instances: map[string]*instance{},
	}
	for _, name := range names {
		w.instances[name] = w.start(name)
	}
	w.setMembers(names, nil)
	return w
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
		Clock: clock.NewMonotonic(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
		Self: name, Incarnation: 1, Synced: func() bool { return true },
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
		members[name] = view.Member{Name: name, Incarnation: 1}
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

// TestStep: a step is accepted once, read anywhere at the same positions, and
// shown to its own team only.
func TestStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		a, b := w.instances["a"], w.instances["b"]
		const samples = 10
		w.mustAccept(a, spec("s", samples))
		w.mustAccept(b, spec("s", samples)) // sent again elsewhere
		_, err := b.Read(t.Context(), "s", "others", 0, 0)
		wantCode(t, err, code.StepUnknown)
		_, err = b.Read(t.Context(), "none", team, 0, 0)
		wantCode(t, err, code.StepUnknown)
		body, err := b.Body(t.Context(), "s", team, "s-3")
		if err != nil || string(body) != "body3" {
			t.Errorf("body %q, %v", body, err)
		}
		atA, atB := w.mustRead(a, "s", samples, time.Minute), w.mustRead(b, "s", samples, time.Second)
		for i := range atA {
			if atA[i].ID != atB[i].ID {
				t.Errorf("position %d: %s and %s", i, atA[i].ID, atB[i].ID)
			}
		}
		for range 2 {
			if err := b.End(t.Context(), "s", team); err != nil {
				t.Error(err)
			}
		}
		for _, s := range spec("s", samples).Samples {
			if n := len(w.engines.runs(s.ID)); n != 1 {
				t.Errorf("%s ran %d times", s.ID, n)
			}
		}
	})
}

// TestEndedStepsAreForgotten: nothing of a step goes on after its end.
func TestEndedStepsAreForgotten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		defer w.stopAll()
		a := w.instances["a"]
		w.mustAccept(a, spec("done", 1))
		w.mustRead(a, "done", 1, time.Minute)
		w.mustAccept(a, spec("ended", 9))
		if err := a.End(t.Context(), "ended", team); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if n := a.Open(); n != 0 {
			t.Errorf("%d steps still run", n)
		}
	})
}

// TestEndElsewhere: no sample starts at the owner soon after another instance
// took the end.
func TestEndElsewhere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		w.mustAccept(w.instances["a"], spec("s", 30))
		time.Sleep(eventPeriod * eventCount)
		if err := w.instances["b"].End(t.Context(), "s", team); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		before := w.started("s", 30)
		time.Sleep(time.Minute)
		if after := w.started("s", 30); after != before || after == 30 {
			t.Errorf("%d samples had started a second after the end, %d in the end", before, after)
		}
	})
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

// TestOwnerDies: another instance goes on. Results keep their positions, and
// samples go on after what was saved of them.
func TestOwnerDies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c")
		defer w.stopAll()
		const samples = 12
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(eventPeriod*eventCount + 2*time.Second)
		before := w.read(w.instances["b"], "s", samples, time.Second)
		var left []string
		for name, in := range w.instances {
			if in.Open() == 0 {
				left = append(left, name)
				continue
			}
			in.table.down.Store(true)
			in.stop()
		}
		w.setMembers(left, nil)
		after := w.mustRead(w.instances[left[0]], "s", samples, time.Minute)
		if len(before) == 0 || len(before) == samples {
			t.Fatalf("%d results before the death", len(before))
		}
		for i, r := range before {
			if after[i].ID != r.ID {
				t.Errorf("position %d: %s, before %s", i, after[i].ID, r.ID)
			}
		}
		resumed := 0
		for _, s := range spec("s", samples).Samples {
			if runs := w.engines.runs(s.ID); len(runs) > 1 && runs[len(runs)-1] > 0 {
				resumed++
			}
		}
		if resumed == 0 {
			t.Error("no sample went on after what was saved")
		}
	})
}

// TestReplacedOwner: an owner that others took for dead, and that lives, lists
// nothing any more.
func TestReplacedOwner(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		const samples = 12
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		owner, other := w.owner(t)
		owner.table.down.Store(true)
		w.setMembers([]string{other.name}, nil)
		time.Sleep(2 * time.Second)
		owner.table.down.Store(false)
		w.mustRead(other, "s", samples, time.Minute)
	})
}

// TestHandOverWhileStoreIsDown: an instance that leaves while the store is down
// gives its steps up once it is back, and they go on at once, though the leaving
// instance is still there.
func TestHandOverWhileStoreIsDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		const samples = 4
		w.mustAccept(w.instances["a"], spec("s", samples))
		time.Sleep(time.Second)
		owner, other := w.owner(t)
		owner.table.down.Store(true)
		w.setMembers([]string{other.name}, []string{owner.name})
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, func() { owner.table.down.Store(false) })
		owner.HandOver(ctx)
		wantCode(t, w.accept(owner, spec("other", 1)), code.Draining)
		w.mustRead(other, "s", samples, eventPeriod*eventCount)
	})
}

// TestLostAnswer: a submission whose answer is lost is accepted if it took
// effect. If not it is refused, and a delayed execution has no effect.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration // negative: never
		code  code.Number
	}{
		{"executed", 0, code.OK},
		{"lost", -1, code.StoreDown},
		{"executed late", 3 * time.Second, code.StoreDown},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newWorld(t, "a")
				defer w.stopAll()
				a := w.instances["a"]
				lose := func(commit func()) error {
					a.table.late.Store(nil) // only the first one
					switch {
					case c.delay == 0:
						commit()
					case c.delay > 0:
						time.AfterFunc(c.delay, commit)
					}
					return infra.ErrUnknownOutcome
				}
				a.table.late.Store(&lose)
				err := w.accept(a, spec("s", 2))
				if c.code == code.OK {
					if err != nil {
						t.Fatal(err)
					}
					w.mustRead(a, "s", 2, time.Minute)
					return
				}
				wantCode(t, err, c.code)
				time.Sleep(time.Minute)
				if n := w.started("s", 2); n != 0 {
					t.Errorf("%d samples of a refused step ran", n)
				}
				w.mustAccept(a, spec("s", 2))
				w.mustRead(a, "s", 2, time.Minute)
			})
		})
	}
}

// TestSlowReads: readers that wait for a slow store hold up nobody else.
func TestSlowReads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		b := w.instances["b"]
		w.mustAccept(w.instances["a"], spec("s", 2))
		if _, err := b.Read(t.Context(), "s", team, 0, 0); err != nil {
			t.Fatal(err)
		}
		b.table.slow.Store(int64(1500 * time.Millisecond))
		for range 3 {
			go func() { _, _ = b.Read(t.Context(), "s", team, 0, time.Minute) }()
		}
		for range 5 {
			time.Sleep(700 * time.Millisecond)
			began := time.Now()
			b.Open()
			w.mustAccept(b, spec(fmt.Sprint("s", began.UnixNano()), 1))
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Errorf("a step was accepted after %v", took)
			}
		}
		b.table.slow.Store(0)
		w.mustRead(b, "s", 2, time.Minute)
	})
}

// TestLargeStep: a step over many rows and transactions comes back whole, as do
// long texts.
func TestLargeStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		s := spec("s", 40)
		for i := range s.Samples {
			s.Samples[i].Body = []byte(strings.Repeat("x", 90_000+i))
		}
		w.mustAccept(w.instances["a"], s)
		for _, i := range []int{0, 39} {
			body, err := w.instances["b"].Body(t.Context(), "s", team, s.Samples[i].ID)
			if err != nil || len(body) != 90_000+i {
				t.Errorf("sample %d: body of %d bytes, %v", i, len(body), err)
			}
		}
		w.mustRead(w.instances["b"], "s", 40, 2*time.Minute)
	})
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
