package filter

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/poison"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// SuspectsOptions says what Suspects work with.
type SuspectsOptions struct {
	// Name is this instance's among the members. Instance is its name and
	// incarnation, which make the IDs of losses unique.
	Name     string
	Instance string
	Clock    clock.Clock
	// Views tell which endpoints there are.
	Views *view.Store
	// Log is optional.
	Log   *slog.Logger
	Scope tally.Scope
}

// Suspects holds what is known of requests that crash endpoints. It is safe
// for concurrent use.
type Suspects struct {
	// Tell, if set, tells other instances of a loss, and Retract that losses are
	// to be forgotten. They are set before the first request.
	Tell    func(poison.Rumour)
	Retract func(ids []string)

	o SuspectsOptions
	// count is the number of suspects; while it is zero no request is
	// fingerprinted.
	count atomic.Int64
	next  atomic.Uint64

	mu    sync.Mutex
	table *poison.Table
	// turns holds the suspects that run alone, each with what is closed when it
	// is the next one's turn.
	turns map[poison.Fingerprint]chan struct{}
}

// NewSuspects returns Suspects that know of none.
func NewSuspects(o SuspectsOptions) *Suspects {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Suspects{
		o: o, table: poison.New(poison.DefaultOptions()),
		turns: map[poison.Fingerprint]chan struct{}{},
	}
}

// Run looks at each new snapshot for endpoints that have turned out to have
// crashed, until ctx ends.
func (s *Suspects) Run(ctx context.Context) error {
	for {
		changed := s.o.Views.Changed()
		s.confirm()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Hear takes in losses that another instance knows of.
func (s *Suspects) Hear(rumours []poison.Rumour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Hear(s.o.Clock.Now(), rumours)
	s.counted()
}

// counted notes the number of suspects. The caller holds the lock.
func (s *Suspects) counted() { s.count.Store(int64(s.table.Len())) }

// any reports whether there is anybody to judge.
func (s *Suspects) any() bool { return s.count.Load() > 0 }

// judge says how a request is to be run.
func (s *Suspects) judge(f poison.Fingerprint) poison.Judgement {
	s.mu.Lock()
	j := s.table.Judge(s.o.Clock.Now(), f)
	s.mu.Unlock()
	if j.Trial && !s.tries(f, j.Since) {
		j.Verdict, j.After = poison.Wait, trialWait
	}
	return j
}

const (
	// trialTime is how long one instance is the one that tries a request that
	// crashed many endpoints, before it is another one's turn.
	trialTime = 20 * time.Second
	// trialWait is when callers of the others are to come back.
	trialWait = 2 * time.Second
)

// tries reports whether this instance is the one that tries a request now: the
// one with the highest hash of all that are not about to leave.
func (s *Suspects) tries(f poison.Fingerprint, since time.Duration) bool {
	var best string
	var most uint64
	for name, m := range s.o.Views.Load().Members {
		if m.Leaving {
			continue
		}
		if weight := trialWeight(f, name, int64(since/trialTime)); best == "" || weight > most {
			best, most = name, weight
		}
	}
	return best == "" || best == s.o.Name
}

func trialWeight(f poison.Fingerprint, name string, turn int64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s/", turn, name) // a hash takes all
	_, _ = h.Write(f[:])
	return h.Sum64()
}

// lost notes a loss, of which others hear if its endpoint crashed or if it is
// not the request's first one.
func (s *Suspects) lost(r poison.Rumour) {
	r.ID = s.o.Instance + "/" + strconv.FormatUint(s.next.Add(1), 10)
	s.Hear([]poison.Rumour{r})
	s.mu.Lock()
	tell := r.Crashed || s.table.LostOften(s.o.Clock.Now(), r.Fingerprint)
	s.mu.Unlock()
	if tell {
		s.tell(r)
	}
}

func (s *Suspects) tell(rumours ...poison.Rumour) {
	if s.Tell == nil {
		return
	}
	for _, r := range rumours {
		s.Tell(r)
	}
}

// confirm makes crashes of the losses whose endpoints are gone or started anew.
func (s *Suspects) confirm() {
	if !s.any() {
		return
	}
	v := s.o.Views.Load()
	s.crashed("entry", func(now time.Duration) []poison.Rumour {
		return s.table.Confirm(now, func(endpoint string) poison.State {
			e, ok := v.EndpointByName(endpoint)
			if !ok {
				return poison.State{}
			}
			return poison.State{Present: true, Incarnation: e.Incarnation, Leaving: e.Leaving}
		})
	})
}

// ended notes that an endpoint is not at its address any more.
func (s *Suspects) ended(e *view.Endpoint) {
	if !s.any() {
		return
	}
	s.crashed("address", func(now time.Duration) []poison.Rumour {
		return s.table.Ended(now, placeOfEndpoint(e))
	})
}

// crashed logs and tells of the losses that turned out to be crashes.
func (s *Suspects) crashed(evidence string, find func(now time.Duration) []poison.Rumour) {
	s.mu.Lock()
	rumours := find(s.o.Clock.Now())
	s.counted()
	s.mu.Unlock()
	for _, r := range rumours {
		s.o.Scope.Counter("endpoint_crashes").Inc(1)
		s.o.Log.Warn("endpoint crashed", "endpoint", r.Endpoint, "incarnation", r.Incarnation,
			"content", r.Fingerprint, "alone", r.Alone, "evidence", evidence, "age", r.Age)
	}
	s.tell(rumours...)
}

func placeOfEndpoint(e *view.Endpoint) poison.Place {
	return poison.Place{Endpoint: e.Name, Incarnation: e.Incarnation}
}

// answered notes a whole answer.
func (s *Suspects) answered(f poison.Fingerprint, alone bool) {
	s.mu.Lock()
	ids := s.table.Answered(s.o.Clock.Now(), f, alone)
	s.counted()
	s.mu.Unlock()
	if len(ids) > 0 && s.Retract != nil {
		s.Retract(ids)
	}
}

// Forget forgets losses whose request another instance found harmless.
func (s *Suspects) Forget(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(ids)
	s.counted()
}

// turn waits until no other request with the fingerprint runs alone here, and
// returns what ends its own turn.
func (s *Suspects) turn(ctx context.Context, f poison.Fingerprint) (end func(), err error) {
	for {
		s.mu.Lock()
		taken, ok := s.turns[f]
		if !ok {
			mine := make(chan struct{})
			s.turns[f] = mine
			s.mu.Unlock()
			return sync.OnceFunc(func() { s.endTurn(f, mine) }), nil
		}
		s.mu.Unlock()
		select {
		case <-taken:
		case <-ctx.Done():
			return nil, stopped(ctx)
		}
	}
}

func (s *Suspects) endTurn(f poison.Fingerprint, mine chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.turns, f)
	close(mine)
}

// fingerprint tells what a request asks for, and not which service it goes to
// where operators may lead its route elsewhere.
func fingerprint(r *Request) poison.Fingerprint {
	target := r.Service.Name
	if r.Route.Name != "" {
		target = r.Host
	}
	return poison.Of([]byte(r.Team), []byte(target), []byte(r.Method),
		[]byte(r.Path), []byte(r.URL.RawQuery), r.Body)
}
