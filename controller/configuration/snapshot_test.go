package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/view"
	"pgregory.net/rapid"
)

// testEvery is the value of Controller.snapshotEvery in these tests.
const testEvery = 3

func newSnapshotTest(p *fakeplatform.Platform, name string) *Controller {
	c := newTest(p, name)
	c.snapshotEvery = testEvery
	return c
}

// interposedTable calls before once, before the next commit.
type interposedTable struct {
	infra.Table
	before func()
}

func (i *interposedTable) Commit(ctx context.Context, ops ...infra.Op) error {
	if before := i.before; before != nil {
		i.before = nil
		before()
	}
	return i.Table.Commit(ctx, ops...)
}

// history is the test oracle. It records every log row that was ever in the
// store, and the newest snapshot row.
type history struct {
	changes map[uint64]config.Change
	row     snapshotRow
}

// observe records the store's content and checks the snapshots against it.
func (h *history) observe(t *rapid.T, p *fakeplatform.Platform) {
	logged := map[uint64]bool{}
	for _, row := range p.Rows(logPrefix) {
		var l logRow
		if err := json.Unmarshal(row.Value, &l); err != nil {
			t.Fatal(err)
		}
		h.changes[l.Change.Version] = l.Change
		logged[l.Change.Version] = true
	}
	old := h.row
	if row, ok := p.Row(snapshotKey); ok {
		if err := json.Unmarshal(row.Value, &h.row); err != nil {
			t.Fatal(err)
		}
	}
	if h.row != old && (h.row.Version < old.Version+testEvery || h.row.Previous != old.Version) {
		t.Fatalf("snapshot row changed from %+v to %+v", old, h.row)
	}
	for _, v := range []uint64{h.row.Version, h.row.Previous} {
		if _, err := newSnapshotTest(p, "look").readSnapshot(context.Background(), v); v > 0 && err != nil {
			t.Fatalf("snapshot %d, which the row names: %v", v, err)
		}
	}
	for v := range h.changes {
		if v > h.row.Previous && !logged[v] {
			t.Fatalf("log row %d was deleted, snapshots are %+v", v, h.row)
		}
	}
	if n := len(p.Rows(auditPrefix)); n != len(h.changes) {
		t.Fatalf("%d audit rows, %d changes", n, len(h.changes))
	}
}

// fold returns the State after all recorded changes.
func (h *history) fold(t *rapid.T) *config.State {
	s := config.NewState()
	for range h.changes {
		next, err := s.Apply(h.changes[s.Version+1])
		if err != nil {
			t.Fatal(err)
		}
		s = next
	}
	return s
}

func (h *history) check(t *rapid.T, c *Controller) {
	if err := c.Sync(context.Background()); err != nil {
		t.Fatalf("%s at %d: %v", c.o.Self, c.Version(), err)
	}
	want := h.fold(t)
	got := c.o.Views.Load().Config
	if diff := config.Diff(want, got); got.Version != want.Version || got.MembersChangedAt != want.MembersChangedAt || len(diff) > 0 {
		t.Fatalf("%s: got version %d, want %d; diff %v", c.o.Self, got.Version, want.Version, diff)
	}
}

// TestSnapshotModel commits changes, writes snapshots (also concurrently) and
// starts instances while calls are lost or delayed, the store is down, an
// instance stops between writing the object and writing the row, and the newest
// object is lost or damaged.
func TestSnapshotModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fakeplatform.New(fakeplatform.Options{})
		m := &snapshotModel{
			p:           p,
			controllers: []*Controller{newSnapshotTest(p, "a"), newSnapshotTest(p, "b"), newSnapshotTest(p, "c")},
			h:           &history{changes: map[uint64]config.Change{}},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         func(t *rapid.T) { m.h.observe(t, p) },
			"commit":   m.commit,
			"snapshot": m.snapshot,
			"arrive":   m.arrive,
			"sync":     func(t *rapid.T) { m.h.check(t, m.pick(t)) },
			"start":    func(t *rapid.T) { m.h.check(t, newSnapshotTest(p, "new")) },
			"damage":   m.damage,
		})
		m.h.check(t, newSnapshotTest(p, "last"))
	})
}

// snapshotModel runs three instances on one platform. Writes in delayed have not
// reached the store yet.
type snapshotModel struct {
	p           *fakeplatform.Platform
	controllers []*Controller
	h           *history
	delayed     [][]infra.Op
}

func (m *snapshotModel) pick(t *rapid.T) *Controller {
	return m.controllers[rapid.IntRange(0, len(m.controllers)-1).Draw(t, "at")]
}

// commit makes a few changes at one instance.
func (m *snapshotModel) commit(t *rapid.T) {
	c := m.pick(t)
	for range rapid.IntRange(1, testEvery+1).Draw(t, "changes") {
		name := fmt.Sprintf("team-%d", rapid.IntRange(0, 9).Draw(t, "team"))
		r := putTeam(name)
		r.Put.Teams[0].Weight = float64(len(m.h.changes) + 1)
		if _, ok := c.o.Views.Load().Config.Teams[name]; ok && rapid.Bool().Draw(t, "delete") {
			r = api.ChangeRequest{Delete: []config.Ref{{Kind: config.KindTeam, Name: name}}}
		}
		if _, err := c.Commit(context.Background(), "test", name, r); err != nil {
			t.Fatal(err)
		}
		m.h.observe(t, m.p)
	}
}

// snapshot writes a snapshot at one instance under faults, sometimes while
// another instance does the same.
func (m *snapshotModel) snapshot(t *rapid.T) {
	c := m.pick(t)
	m.p.SetFaults(fakeplatform.Faults{
		Down:          rapid.IntRange(0, 9).Draw(t, "down") == 0,
		LoseRequests:  rapid.IntRange(0, 1).Draw(t, "requests"),
		LoseResponses: rapid.IntRange(0, 3).Draw(t, "answers"),
	})
	table := c.o.Table
	delaying := &racingTable{Table: table, delay: rapid.IntRange(0, 3).Draw(t, "late") == 0}
	race := &interposedTable{Table: delaying}
	if other := m.pick(t); other != c && rapid.Bool().Draw(t, "race") {
		race.before = func() {
			_ = other.Sync(context.Background())     // observe checks the store
			_ = other.snapshot(context.Background()) // observe checks the store
			m.h.observe(t, m.p)
		}
	}
	c.o.Table = race
	_ = c.snapshot(context.Background()) // observe checks the store
	c.o.Table = table
	m.p.SetFaults(fakeplatform.Faults{})
	if delaying.delayed != nil {
		m.delayed = append(m.delayed, delaying.delayed)
	}
}

// arrive executes the delayed writes.
func (m *snapshotModel) arrive(*rapid.T) {
	for _, ops := range m.delayed {
		_ = m.p.Platform().Table.Commit(context.Background(), ops...) // observe checks the store
	}
	m.delayed = nil
}

// damage deletes, truncates or alters the newest object, starts an instance, and
// restores the object.
func (m *snapshotModel) damage(t *rapid.T) {
	ctx, objects := context.Background(), m.p.Platform().Objects
	name := snapshotName(m.h.row.Version)
	data, err := objects.Get(ctx, name)
	if err != nil {
		return
	}
	truncated := append([]byte(nil), data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")]...)
	switch rapid.IntRange(0, 2).Draw(t, "damage") {
	case 0:
		err = objects.Delete(ctx, name)
	case 1:
		err = objects.Put(ctx, name, truncated)
	case 2:
		err = objects.Put(ctx, name, bytes.ReplaceAll(data, []byte("team-"), []byte("tram-")))
	}
	if err != nil {
		t.Fatal(err)
	}
	m.h.check(t, newSnapshotTest(m.p, "new"))
	if err := objects.Put(ctx, name, data); err != nil {
		t.Fatal(err)
	}
}

// commitTeams commits n changes.
func commitTeams(t *testing.T, c *Controller, n int) {
	t.Helper()
	for range n {
		if _, err := c.Commit(context.Background(), "test", "", putTeam(fmt.Sprintf("team-%d", c.Version()))); err != nil {
			t.Fatal(err)
		}
	}
}

func writeSnapshot(t *testing.T, c *Controller) {
	t.Helper()
	if err := c.snapshot(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func TestSnapshotIsRewrittenAfterLostRowWrite(t *testing.T) {
	p := fakeplatform.New(fakeplatform.Options{})
	c := newSnapshotTest(p, "a")
	commitTeams(t, c, testEvery)
	table := &racingTable{Table: c.o.Table, delay: true} // the write of the row is never executed
	c.o.Table = table
	if err := c.snapshot(context.Background()); !errors.Is(err, infra.ErrUnknownOutcome) {
		t.Fatalf("got %v, want ErrUnknownOutcome", err)
	}
	if _, ok := p.Row(snapshotKey); ok {
		t.Fatal("the snapshot row was written")
	}
	other := newSnapshotTest(p, "b")
	if err := other.Sync(context.Background()); err != nil {
		t.Fatal(err)
	}
	writeSnapshot(t, other)
	if r, _, err := other.readSnapshotRow(context.Background()); err != nil || r.Version != testEvery {
		t.Errorf("got %+v, %v", r, err)
	}
}

// TestSupersededSnapshotIsDeleted checks that an instance deletes its snapshot
// object when another instance writes the name of a newer snapshot to the row
// between the first one's read and write of the row.
func TestSupersededSnapshotIsDeleted(t *testing.T) {
	p := fakeplatform.New(fakeplatform.Options{})
	a, b := newSnapshotTest(p, "a"), newSnapshotTest(p, "b")
	commitTeams(t, a, testEvery)
	if err := b.Sync(context.Background()); err != nil {
		t.Fatal(err)
	}
	commitTeams(t, a, 1)
	_, rowVersion, err := b.readSnapshotRow(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	writeSnapshot(t, a)
	if err := b.writeSnapshotRow(context.Background(), snapshotRow{Version: testEvery}, rowVersion); !errors.Is(err, errSnapshotSuperseded) {
		t.Fatalf("got %v, want errSnapshotSuperseded", err)
	}
	data, err := encodeSnapshot(b.o.Views.Load().Config)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.putSnapshot(context.Background(), testEvery, data); err != nil {
		t.Fatal(err)
	}
	if err := b.deleteSuperseded(context.Background(), testEvery); err != nil {
		t.Fatal(err)
	}
	if _, err := b.readSnapshot(context.Background(), testEvery); !errors.Is(err, infra.ErrNotFound) {
		t.Errorf("superseded object: got %v, want ErrNotFound", err)
	}
	if _, err := b.readSnapshot(context.Background(), testEvery+1); err != nil {
		t.Error(err)
	}
}

func TestTrimNeedsTheSnapshotBefore(t *testing.T) {
	p := fakeplatform.New(fakeplatform.Options{})
	c := newSnapshotTest(p, "a")
	commitTeams(t, c, testEvery)
	writeSnapshot(t, c)
	commitTeams(t, c, testEvery)
	if err := p.Platform().Objects.Put(context.Background(), snapshotName(testEvery), []byte("{}")); err != nil {
		t.Fatal(err)
	}
	if err := c.snapshot(context.Background()); !errors.Is(err, errBadSnapshot) {
		t.Errorf("got %v, want errBadSnapshot", err)
	}
	if n := len(p.Rows(logPrefix)); n != 2*testEvery {
		t.Errorf("%d log rows left, want all %d", n, 2*testEvery)
	}
}

// statePeers is a Peers whose State returns the State of one Controller.
type statePeers struct{ from *Controller }

func (s statePeers) State(_ context.Context, _ string, after uint64) ([]byte, error) {
	return s.from.State(after)
}
func (statePeers) NotifyPeers()       {}
func (statePeers) Listed(string) bool { return true }

func TestStartFromPeerWhenObjectsAreLost(t *testing.T) {
	p := fakeplatform.New(fakeplatform.Options{})
	c := newSnapshotTest(p, "a")
	for range 3 {
		commitTeams(t, c, testEvery)
		writeSnapshot(t, c)
	}
	for _, v := range []uint64{testEvery, 2 * testEvery, 3 * testEvery} {
		if err := p.Platform().Objects.Delete(context.Background(), snapshotName(v)); err != nil {
			t.Fatal(err)
		}
	}
	fresh := newSnapshotTest(p, "new")
	if err := fresh.Sync(context.Background()); !errors.Is(err, config.ErrVersionGap) || fresh.Version() != 0 {
		t.Fatalf("without peers: got %v, version %d", err, fresh.Version())
	}
	fresh.Connect(Links{Peers: statePeers{c}})
	fresh.o.Views.Update(func(v *view.View) {
		v.Members = map[string]view.Member{"a": {Name: "a", ConfigVersion: c.Version()}}
	})
	if err := fresh.Sync(context.Background()); err != nil || fresh.Version() != c.Version() {
		t.Errorf("with a peer: got %v, version %d, want %d", err, fresh.Version(), c.Version())
	}
}

// TestSnapshotLoop checks that Run writes snapshots and trims the log.
func TestSnapshotLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New(fakeplatform.Options{})
		a, b := newSnapshotTest(p, "a"), newSnapshotTest(p, "b")
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		go func() { _ = b.Run(ctx) }()
		for range 3 {
			commitTeams(t, a, testEvery)
			time.Sleep(2 * snapshotPeriod)
		}
		cancel()
		synctest.Wait()
		if n := len(p.Rows(logPrefix)); n != testEvery {
			t.Errorf("%d log rows left, want %d", n, testEvery)
		}
	})
}
