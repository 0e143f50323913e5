package filter

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/poison"
)

// Suspects holds what is known of requests that crash endpoints. It is safe
// for concurrent use.
type Suspects struct {
	// Instance is this instance's name and incarnation, which make the IDs of
	// losses unique.
	Instance string
	Clock    clock.Clock
	// Tell, if set, tells other instances of a loss.
	Tell func(poison.Rumour)

	// count is the number of suspects; while it is zero no request is
	// fingerprinted.
	count atomic.Int64
	next  atomic.Uint64

	mu    sync.Mutex
	table *poison.Table
}

// NewSuspects returns Suspects that know of none.
func NewSuspects(instance string, c clock.Clock) *Suspects {
	return &Suspects{Instance: instance, Clock: c, table: poison.New(poison.DefaultOptions())}
}

// Hear takes in losses that another instance knows of.
func (s *Suspects) Hear(rumours []poison.Rumour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Hear(s.Clock.Now(), rumours)
	s.count.Store(int64(s.table.Len()))
}

func (s *Suspects) judge(r *Request) poison.Verdict {
	if s.count.Load() == 0 {
		return poison.Run
	}
	f := fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Judge(s.Clock.Now(), f)
}

func (s *Suspects) lost(r *Request, endpoint string, alone, begun bool) {
	f := fingerprint(r)
	id := s.Instance + "/" + strconv.FormatUint(s.next.Add(1), 10)
	loss := poison.Rumour{Fingerprint: f, ID: id, Endpoint: endpoint, Alone: alone, Begun: begun}
	s.Hear([]poison.Rumour{loss})
	if s.Tell != nil {
		s.Tell(loss)
	}
}

func (s *Suspects) answered(r *Request) {
	f := fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Answered(s.Clock.Now(), f)
	s.count.Store(int64(s.table.Len()))
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

// probeTimeout bounds the check whether an endpoint that lost a request still
// takes connections.
const probeTimeout = time.Second

// acquire waits for a place, alone if the request is suspect.
func (t *try) acquire() (*dispatch.Slot, error) {
	if slot := t.moved; slot != nil {
		t.moved = nil
		return slot, nil
	}
	for {
		t.verdict = t.judge()
		slot, err := t.place()
		if err != nil {
			return nil, err
		}
		if t.judge() == t.verdict {
			return slot, nil
		}
		slot.Done(dispatch.Unused) // it became suspect, or was cleared, meanwhile
	}
}

// judge says how the attempt is made. A stream that was lost with its endpoint
// once goes on among others: mostly it was not the cause, and alone, all the
// streams of that endpoint would wait for each other. From the second loss on it
// runs alone.
func (t *try) judge() poison.Verdict {
	if t.a.Suspects == nil {
		return poison.Run
	}
	v := t.a.Suspects.judge(t.r)
	if v != poison.Refuse && t.losses == 1 && t.policy().Resume {
		return poison.Run
	}
	return v
}

func (t *try) place() (*dispatch.Slot, error) {
	switch t.verdict {
	case poison.Run:
		return t.a.Dispatcher.Acquire(t.ctx, t.work())
	case poison.Refuse:
		t.r.Logger().Warn("poison request refused", "service", t.r.Service.Name, "content", fingerprint(t.r))
		return nil, code.New(code.Poison, "")
	}
	return t.a.Dispatcher.AcquireAlone(t.ctx, t.work())
}

// suspect notes a lost request, if its endpoint crashed: it takes no new
// connections.
func (t *try) suspect(slot *dispatch.Slot, err error, begun bool) {
	if t.a.Suspects == nil || t.ctx.Err() != nil {
		return
	}
	switch asCode(err).Number {
	case code.EndpointLost, code.AnswerTruncated:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), probeTimeout)
	defer cancel()
	alone := t.verdict != poison.Run
	log := t.r.Logger().With("endpoint", slot.Endpoint.Name, "incarnation", slot.Endpoint.Incarnation,
		"content", fingerprint(t.r), "alone", alone, "begun", begun, "lost", err)
	probe := t.a.Pool.Probe(ctx, slot.Endpoint.Addr)
	t.a.Scope.Tagged(map[string]string{"crashed": strconv.FormatBool(probe != nil)}).Counter("requests_lost").Inc(1)
	if probe == nil {
		log.Info("request lost, its endpoint takes connections")
		return
	}
	t.losses++
	t.a.Scope.Counter("endpoint_crashes").Inc(1)
	log.Warn("endpoint crashed", "probe", probe)
	t.a.Suspects.lost(t.r, slot.Endpoint.Name, alone, begun)
}

// began lets a suspect's endpoint take other work once its answer begins, unless
// it was lost later than that before.
func (t *try) began(slot *dispatch.Slot) {
	slot.FirstByte()
	if t.verdict == poison.RunAlone {
		slot.Share()
	}
}

// cleared notes a whole answer to a suspect.
func (t *try) cleared() {
	if t.verdict != poison.Run {
		t.a.Suspects.answered(t.r)
	}
}
