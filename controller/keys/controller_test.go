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

// store is a Configuration that installs each commit at all peers before it
// returns.
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
		p.HandleInstalled(next)
	}
	return api.ChangeResponse{Version: next.Version, Committed: true}, nil
}

type peer struct {
	*Controller
	name        string
	views       *view.Store
	partitioned bool
}

func (p *peer) envelope() *gossipv1.Envelope {
	e := &gossipv1.Envelope{Name: p.name, Incarnation: 1, Freshness: &gossipv1.Freshness{Version: p.views.Load().Config.Version}}
	p.Fill(e, "", nil)
	return e
}

// newPeers returns three new instances, in place of the store's earlier ones.
// When one calls notifyPeers, it exchanges messages with the other two before
// the call returns.
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
				if o != p && !o.partitioned && !p.partitioned {
					started := clk.Now()
					o.HandlePush(context.Background(), p.envelope())
					p.HandleResponse(context.Background(), started, o.envelope())
				}
			}
		})
		p.HandleInstalled(state)
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
		peers := newPeers(s)
		resp, err := peers[0].Withdraw(t.Context(), "op", "k")
		if err != nil || !resp.InForce || resp.Durable {
			t.Fatalf("got %+v, %v; want in force, not durable", resp, err)
		}
		for _, p := range peers {
			if !p.refuses() || len(p.PendingNames()) != 1 {
				t.Errorf("%s refuses: %v, pending %v", p.name, p.refuses(), p.PendingNames())
			}
		}
		// The instance that received the request does not run; another one
		// commits.
		s.down.Store(false)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = peers[1].Run(ctx)
		for _, p := range peers {
			if !p.refuses() || len(p.PendingNames()) != 0 {
				t.Errorf("%s refuses: %v, pending %v", p.name, p.refuses(), p.PendingNames())
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
		peers := newPeers(s)
		peers[0].partitioned = true
		resp, err := peers[0].Withdraw(t.Context(), "op", "k")
		if err != nil || resp.InForce || resp.Durable {
			t.Errorf("got %+v, %v; want neither in force nor durable", resp, err)
		}
		if !peers[0].refuses() || peers[1].refuses() {
			t.Error("want the key refused only by the instance that received the request")
		}
	})
}

func TestWithdrawWithStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		peers := newPeers(s)
		resp, err := peers[2].Withdraw(t.Context(), "op", "k")
		if err != nil || !resp.InForce || !resp.Durable || resp.Version != 2 {
			t.Errorf("got %+v, %v; want in force and durable at version 2", resp, err)
		}
		if _, err := peers[0].Withdraw(t.Context(), "op", "none"); err == nil {
			t.Error("no error for a key that doesn't exist")
		}
	})
}

// TestWithdrawalOutlivesAllInstances replaces every instance that has a
// withdrawal while the table is down. A new instance must not count a peer's
// response before it has read the copies in the object store. Afterwards all
// instances must refuse the key.
func TestWithdrawalOutlivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		s := &store{objects: fake.Platform().Objects}
		peers := newPeers(s)
		peers[0].restore(t.Context())
		s.down.Store(true)
		resp, err := peers[0].Withdraw(t.Context(), "op", "k")
		if err != nil || !resp.InForce || resp.Durable || !resp.Copied {
			t.Fatalf("got %+v, %v; want in force and copied, not durable", resp, err)
		}
		peers = newPeers(s)
		if peers[1].HandleResponse(t.Context(), 0, peers[2].envelope()) {
			t.Error("a response counts before the copies are read")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		for _, p := range peers {
			wg.Go(func() { _ = p.Run(ctx) })
		}
		time.Sleep(2 * copyTimeout)
		for _, p := range peers {
			if !p.refuses() || !p.HandleResponse(t.Context(), 0, peers[2].envelope()) {
				t.Errorf("%s: refuses the key: %v, or a response does not count", p.name, p.refuses())
			}
		}
		s.down.Store(false)
		wg.Wait()
		if _, err := s.objects.Get(t.Context(), copyName("a")); !errors.Is(err, infra.ErrNotFound) || !peers[1].refuses() {
			t.Errorf("copy after the commit: got %v, want ErrNotFound and the key refused", err)
		}
	})
}

// TestStartWithoutObjectStore checks that an instance stops waiting for the
// object store after restoreTimeout, so that it can become fresh.
func TestStartWithoutObjectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		fake.SetFaults(fakeplatform.Faults{Down: true})
		peers := newPeers(&store{objects: fake.Platform().Objects})
		start := time.Now()
		peers[0].restore(t.Context())
		if elapsed := time.Since(start); elapsed > restoreTimeout || !peers[0].HandleResponse(t.Context(), 0, peers[1].envelope()) {
			t.Errorf("restore took too long, or a response does not count after it: %v", elapsed)
		}
	})
}

// TestCopyWritesAreSerialized checks that a writer that waits for another slow
// write stops at its own timeout, and that no lock is held during a call of the
// object store.
func TestCopyWritesAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		p := newPeers(&store{objects: fake.Platform().Objects})[0]
		p.restore(t.Context())
		p.add(&withdrawal{name: "k", digest: digest, requestedHere: true})
		const slow = time.Minute
		fake.SetFaults(fakeplatform.Faults{Slow: slow})
		start := time.Now()
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				if p.updateCopy(t.Context()) == nil {
					t.Error("updateCopy returned nil for a write that timed out")
				}
			})
		}
		wg.Wait()
		if elapsed := time.Since(start); elapsed > 2*copyTimeout {
			t.Errorf("two writes took %v", elapsed)
		}
		time.Sleep(slow) // writes continue after their callers time out
	})
}
