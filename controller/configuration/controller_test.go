package configuration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/view"
	"pgregory.net/rapid"
)

func newTest(p *fakeplatform.Platform, name string) *Controller {
	return New(Options{
		Self:      name,
		Table:     p.Platform().Table,
		Objects:   p.Platform().Objects,
		Views:     view.NewStore(),
		Clock:     clock.NewMonotonic(),
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
		Poll:      time.Second,
		Freshness: 2 * time.Second,
	})
}

// racingTable runs onUnknown after a commit with an unknown outcome, before its
// caller can read the table. With delay it returns an unknown outcome for the
// next commit and keeps its operations in delayed, for the test to commit later.
type racingTable struct {
	infra.Table
	onUnknown func()
	delay     bool
	delayed   []infra.Op
}

func (r *racingTable) Commit(ctx context.Context, ops ...infra.Op) error {
	if r.delay {
		r.delay = false
		r.delayed = ops
		return infra.ErrUnknownOutcome
	}
	err := r.Table.Commit(ctx, ops...)
	if onUnknown := r.onUnknown; errors.Is(err, infra.ErrUnknownOutcome) && onUnknown != nil {
		r.onUnknown = nil
		onUnknown()
	}
	return err
}

func putTeam(name string) api.ChangeRequest {
	return api.ChangeRequest{Put: config.Objects{Teams: []config.Team{{Meta: config.Meta{Name: name}}}}}
}

// TestCommitModel commits changes at several instances while requests and
// responses are lost and other commits are made in between. It checks that each
// change reported as committed is in the log once, that each change reported as
// not committed is not in the log, that versions have no gap, and that every
// instance folds the same State.
func TestCommitModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fakeplatform.New(fakeplatform.Options{})
		controllers := []*Controller{newTest(p, "a"), newTest(p, "b"), newTest(p, "c")}
		committed := map[string]bool{} // no entry: unknown
		for n := range rapid.IntRange(1, 25).Draw(t, "changes") {
			p.SetFaults(fakeplatform.Faults{
				LoseRequests:  rapid.IntRange(0, 1).Draw(t, "requests"),
				LoseResponses: rapid.IntRange(0, 2).Draw(t, "answers"),
			})
			c := controllers[rapid.IntRange(0, 2).Draw(t, "at")]
			name := fmt.Sprintf("team-%d", n)
			r := putTeam(name)
			if rapid.Bool().Draw(t, "expected") {
				v := c.Version()
				r.Expected = &v
			}
			table := c.o.Table
			race := &racingTable{Table: table, delay: rapid.Bool().Draw(t, "late")}
			other := controllers[rapid.IntRange(0, 2).Draw(t, "other")]
			if other != c && rapid.Bool().Draw(t, "race") {
				race.onUnknown = func() {
					_, _ = other.Commit(context.Background(), "test", "race", putTeam("race-"+name)) // checkCommits reads the log
				}
			}
			c.o.Table = race
			_, err := c.Commit(context.Background(), "test", name, r)
			c.o.Table = table
			if race.delayed != nil {
				_ = table.Commit(context.Background(), race.delayed...) // checkCommits reads the log
			}
			var ce *code.Error
			switch {
			case err == nil:
				committed[name] = true
			case errors.As(err, &ce) && (ce.Number == code.VersionConflict || ce.Number == code.StoreDown):
				committed[name] = false
			case errors.As(err, &ce) && ce.Number == code.CommitUnknown:
			default:
				t.Fatalf("unexpected error %v", err)
			}
		}
		p.SetFaults(fakeplatform.Faults{})
		checkCommits(t, p, controllers, committed)
	})
}

func checkCommits(t *rapid.T, p *fakeplatform.Platform, controllers []*Controller, committed map[string]bool) {
	rows := len(p.Rows(logPrefix))
	for _, c := range controllers {
		if err := c.Sync(context.Background()); err != nil {
			t.Fatal(err)
		}
		s := c.o.Views.Load().Config
		if s.Version != uint64(rows) || len(p.Rows(auditPrefix)) != rows {
			t.Fatalf("version %d, %d log rows, %d audit rows", s.Version, rows, len(p.Rows(auditPrefix)))
		}
		if diff := config.Diff(controllers[0].o.Views.Load().Config, s); len(diff) > 0 {
			t.Fatalf("states differ: %v", diff)
		}
		for name, want := range committed {
			if _, ok := s.Teams[name]; ok != want {
				t.Fatalf("%s: reported as committed: %v, in the configuration: %v", name, want, ok)
			}
		}
	}
}

func TestStoreThatServesAnOldVersion(t *testing.T) {
	p := fakeplatform.New(fakeplatform.Options{})
	c := newTest(p, "a")
	for _, name := range []string{"one", "two"} {
		if _, err := c.Commit(context.Background(), "test", name, putTeam(name)); err != nil {
			t.Fatal(err)
		}
	}
	old := fakeplatform.New(fakeplatform.Options{})
	c.o.Table = old.Platform().Table
	if err := c.Sync(context.Background()); err == nil || c.Version() != 2 {
		t.Errorf("got %v, version %d; want an error and version 2", err, c.Version())
	}
}

func TestMemberManager(t *testing.T) {
	alive := func(names ...string) map[string]view.Member {
		m := map[string]view.Member{}
		for _, n := range names {
			m[n] = view.Member{Name: n, DataCentre: "dc"}
		}
		return m
	}
	listed := func(names ...string) func(string) bool {
		return func(n string) bool { _, ok := alive(names...)[n]; return ok }
	}
	state := func(names ...string) *config.State {
		s := config.NewState()
		for _, n := range names {
			s.Members[n] = config.Member{Meta: config.Meta{Name: n}}
		}
		return s
	}
	cases := []struct {
		name   string
		self   string
		s      *config.State
		alive  map[string]view.Member
		listed func(string) bool
		put    int
		del    int
	}{
		{"first list", "a", state(), alive("a", "b", "c"), listed("a", "b", "c"), 3, 0},
		{"nothing to do", "a", state("a", "b"), alive("a", "b"), listed("a", "b"), 0, 0},
		{"joins", "c", state("a", "b"), alive("a", "b", "c"), listed("a", "b", "c"), 1, 0},
		{"removes one", "a", state("a", "b", "c"), alive("a", "b"), listed("a", "b"), 0, 1},
		{"first member is responsible", "b", state("a", "b", "c"), alive("a", "b"), listed("a", "b"), 0, 0},
		{"majority down but listed", "a", state("a", "b", "c"), alive("a"), listed("a", "b", "c"), 0, 1},
		{"majority removed by the platform", "d", state("a", "b", "c"), alive("c", "d", "e"), listed("c", "d", "e"), 3, 2},
	}
	for _, tc := range cases {
		mm := newMemberManager(tc.self)
		mm.Step(0, tc.s, tc.alive, tc.listed)
		r, _ := mm.Step(4*memberDown, tc.s, tc.alive, tc.listed)
		if len(r.Put.Members) != tc.put || len(r.Delete) != tc.del {
			t.Errorf("%s: got change %+v", tc.name, r)
		}
	}
}
