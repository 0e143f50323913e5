package keys

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
)

var digest = strings.Repeat("ab", 32)

// store commits withdrawals to every instance's configuration at once.
type store struct {
	down    atomic.Bool
	commits atomic.Int64
	peers   []*peer
	objects infra.Objects
}

func (s *store) Commit(_ context.Context, _, _ string, r api.ChangeRequest) (api.ChangeResponse, error) {
	if s.down.Load() {
		return api.ChangeResponse{}, errors.New("store down")
	}
	s.commits.Add(1)
	cur := s.peers[0].views.Load().Config
	next, err := cur.Apply(config.Change{Version: cur.Version + 1, Put: r.Put})
	if err != nil {
		return api.ChangeResponse{}, err
	}
	for _, p := range s.peers {
		p.views.Update(func(v *view.View) { v.SetConfig(next) })
		p.Installed(next)
	}
	return api.ChangeResponse{Version: next.Version, Committed: true}, nil
}

type peer struct {
	*Controller
	name  string
	views *view.Store
	cut   bool
}

func (p *peer) envelope() *gossipv1.Envelope {
	e := &gossipv1.Envelope{Name: p.name, Incarnation: 1, Freshness: &gossipv1.Freshness{Version: p.views.Load().Config.Version}}
	p.Fill(e, "", nil)
	return e
}

// newPeers returns three instances whose urging exchanges at once. Those of
// before are gone.
func newPeers(s *store) []*peer {
	s.peers = nil
	state := config.NewState()
	state.Version = 1
	state.Teams["t"] = config.Team{Meta: config.Meta{Name: "t"}}
	state.Keys["k"] = config.Key{Meta: config.Meta{Name: "k"}, Team: "t", Digest: digest}
	clk := clock.NewMonotonic()
	for _, name := range []string{"a", "b", "c"} {
		state.Members[name] = config.Member{Meta: config.Meta{Name: name}}
	}
	for _, name := range []string{"a", "b", "c"} {
		p := &peer{name: name, views: view.NewStore()}
		p.views.Update(func(v *view.View) { v.SetConfig(state) })
		p.Controller = New(Options{
			Self: name, Incarnation: 1, Views: p.views, Clock: clk, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Objects: s.objects,
		}, s, func() {
			for _, o := range s.peers {
				if o != p && !o.cut && !p.cut {
					started := clk.Now()
					o.Pushed(context.Background(), p.envelope())
					p.Answered(context.Background(), started, o.envelope())
				}
			}
		})
		p.Installed(state)
		s.peers = append(s.peers, p)
	}
	return s.peers
}

func (p *peer) refuses() bool {
	k, ok := p.views.Load().KeyByDigest(digest)
	return ok && k.Withdrawn
}

func TestWithdrawWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.down.Store(true)
		ps := newPeers(s)
		resp, err := ps[0].Withdraw(t.Context(), "op", "k")
		if err != nil || !resp.InForce || resp.Durable {
			t.Fatalf("got %+v, %v; want in force, not durable", resp, err)
		}
		for _, p := range ps {
			if !p.refuses() || len(p.Names()) != 1 {
				t.Errorf("%s refuses: %v, pending %v", p.name, p.refuses(), p.Names())
			}
		}
		// The instance that was asked is gone; another one commits.
		s.down.Store(false)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = ps[1].Run(ctx)
		for _, p := range ps {
			if !p.refuses() || len(p.Names()) != 0 {
				t.Errorf("%s refuses: %v, pending %v", p.name, p.refuses(), p.Names())
			}
		}
		if n := s.commits.Load(); n != 1 {
			t.Errorf("%d commits, want 1", n)
		}
	})
}

func TestWithdrawWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.down.Store(true)
		ps := newPeers(s)
		ps[0].cut = true
		resp, err := ps[0].Withdraw(t.Context(), "op", "k")
		if err != nil || resp.InForce || resp.Durable {
			t.Errorf("got %+v, %v; want neither in force nor durable", resp, err)
		}
		if !ps[0].refuses() || ps[1].refuses() {
			t.Error("only the instance that was asked can refuse")
		}
	})
}

func TestWithdrawWithStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		ps := newPeers(s)
		resp, err := ps[2].Withdraw(t.Context(), "op", "k")
		if err != nil || !resp.InForce || !resp.Durable || resp.Version != 2 {
			t.Errorf("got %+v, %v; want in force and durable at version 2", resp, err)
		}
		if _, err := ps[0].Withdraw(t.Context(), "op", "none"); err == nil {
			t.Error("a key that doesn't exist was withdrawn")
		}
	})
}

// TestWithdrawalOutlivesAllInstances: every instance that knows a withdrawal
// is replaced while the table is down. No new one counts a peer's word before
// it has looked into the object store, and all refuse the key afterwards.
func TestWithdrawalOutlivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		s := &store{objects: fake.Platform().Objects}
		ps := newPeers(s)
		ps[0].adopt(t.Context())
		s.down.Store(true)
		resp, err := ps[0].Withdraw(t.Context(), "op", "k")
		if err != nil || !resp.InForce || resp.Durable || !resp.Copied {
			t.Fatalf("got %+v, %v; want in force and copied, not durable", resp, err)
		}
		ps = newPeers(s)
		if ps[1].Answered(t.Context(), 0, ps[2].envelope()) {
			t.Error("a word counts before the copies were read")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		for _, p := range ps {
			wg.Go(func() { _ = p.Run(ctx) })
		}
		time.Sleep(2 * copyTimeout)
		for _, p := range ps {
			if !p.refuses() || !p.Answered(t.Context(), 0, ps[2].envelope()) {
				t.Errorf("%s refuses: %v", p.name, p.refuses())
			}
		}
		s.down.Store(false)
		wg.Wait()
		if _, err := s.objects.Get(t.Context(), copyName("a")); !errors.Is(err, infra.ErrNotFound) || !ps[1].refuses() {
			t.Errorf("the copy is still there after the commit: %v", err)
		}
	})
}

// TestStartWithoutObjectStore: an instance does not wait for it for ever.
func TestStartWithoutObjectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		fake.SetFaults(fakeplatform.Faults{Down: true})
		ps := newPeers(&store{objects: fake.Platform().Objects})
		began := time.Now()
		ps[0].adopt(t.Context())
		if took := time.Since(began); took > adoptTimeout || !ps[0].Answered(t.Context(), 0, ps[1].envelope()) {
			t.Errorf("words don't count after %v", took)
		}
	})
}

// TestCopiesTakeTurns: who waits for a slow copy of another one stops at its
// own time limit, and no lock is held over a call of the store.
func TestCopiesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		p := newPeers(&store{objects: fake.Platform().Objects})[0]
		p.adopt(t.Context())
		p.add(&withdrawal{name: "k", digest: digest, own: true})
		const slow = time.Minute
		fake.SetFaults(fakeplatform.Faults{Slow: slow})
		began := time.Now()
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				if p.keepCopies(t.Context()) == nil {
					t.Error("a copy is said to be there")
				}
			})
		}
		wg.Wait()
		if took := time.Since(began); took > 2*copyTimeout {
			t.Errorf("took %v", took)
		}
		time.Sleep(slow) // writes go on when nobody waits
	})
}
