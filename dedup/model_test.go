package dedup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/internal/modeltest"
)

// fault is a rule that a run breaks deliberately.
type fault string

const (
	assumeWritten         fault = "a lost answer counts as written"
	sameNonce             fault = "claims are not told apart"
	sameDigest            fault = "contents are not told apart"
	noFence               fault = "a claim does not demand its generation"
	noPrevious            fault = "a claim does not demand the generation before"
	noVersion             fault = "writes demand no version"
	deleteReleased        fault = "a released row is deleted"
	earlyAdvance          fault = "a generation ends at any time"
	noSendBy              fault = "a request is handed over at any time"
	terminatedOwnerIsFree fault = "the row of an owner that is gone is free"
	releaseMayHaveRun     fault = "a request that may have run is released"
)

var faults = []fault{
	assumeWritten, sameNonce, sameDigest, noFence, noPrevious, noVersion,
	deleteReleased, earlyAdvance, noSendBy, terminatedOwnerIsFree, releaseMayHaveRun,
}

const (
	keep  = 100 * time.Second
	steps = 1500
)

type key struct {
	generation uint64
	id         int
}

// request is one request at one instance.
type request struct {
	id       int
	content  string
	row      dedup.Row
	instance int
	claim    *dedup.Claim
	finish   *dedup.Finish
	decision *dedup.Decision
}

// execution is the oracle's record of a request that was sent to an endpoint.
type execution struct {
	nonce, content string
	at             time.Duration
}

// simulation contains the table, the requests of the instances and the oracle.
type simulation struct {
	fault  fault
	choose func(n int) int
	now    time.Duration

	rows        map[key]dedup.Versioned
	newest      dedup.Generation
	delayed     []func() effect.Outcome
	requests    []*request
	generations [2]*dedup.GenerationTracker
	starts      [2]int
	paused      [2]bool
	nonces      int

	claimed    map[string]time.Duration // when the claim of a nonce took effect
	executions map[int][]execution
	dispatched map[string]bool
	answers    map[string]int // status of the answer to each executed request, by nonce
	count      int
}

func newSimulation(f fault, d modeltest.Draw) *simulation {
	s := &simulation{
		fault: f, choose: func(n int) int { return d(n, "choice") },
		rows:    map[key]dedup.Versioned{},
		claimed: map[string]time.Duration{}, executions: map[int][]execution{},
		dispatched: map[string]bool{}, answers: map[string]int{},
	}
	for i := range s.generations {
		s.generations[i] = &dedup.GenerationTracker{Keep: keep}
	}
	return s
}

func (s *simulation) startRequest() {
	s.nonces++
	r := &request{id: s.choose(2), content: []string{"a", "a", "b"}[s.choose(3)], instance: s.choose(2)}
	r.row = dedup.Row{Nonce: fmt.Sprint(s.nonces), Owner: s.owner(r.instance), Digest: r.content}
	if s.fault == sameNonce {
		r.row.Nonce = "0"
	}
	if s.fault == sameDigest {
		r.row.Digest = ""
	}
	r.claim = dedup.NewClaim(r.row, s.generations[r.instance].Newest())
	s.requests = append(s.requests, r)
}

func (s *simulation) owner(i int) string { return fmt.Sprintf("%d/%d", i, s.starts[i]) }

// call performs a write with a random fault of the table or the network.
func (s *simulation) call(f func() effect.Outcome) dedup.WriteResult {
	switch s.choose(6) {
	case 0:
		return dedup.WriteResult{Outcome: effect.None}
	case 1: // the request is lost and has no effect
	case 2: // the response is lost
		f()
	case 3: // the response is lost, and the write takes effect later
		s.delayed = append(s.delayed, f)
	default:
		return dedup.WriteResult{Outcome: f()}
	}
	if s.fault == assumeWritten {
		return dedup.WriteResult{Outcome: effect.Done}
	}
	return dedup.WriteResult{}
}

// put writes a row if it has the given version.
func (s *simulation) put(k key, version uint64, row dedup.Row) effect.Outcome {
	old := s.rows[k]
	if old.Version != version && s.fault != noVersion {
		return effect.Conflict
	}
	if row.State == dedup.Released && s.dispatched[row.Nonce] {
		modeltest.Failf("row was released after its request was sent to an endpoint")
	}
	if row.State == dedup.Released && s.fault == deleteReleased {
		delete(s.rows, k)
		return effect.Done
	}
	s.rows[k] = dedup.Versioned{Row: row, Version: old.Version + 1}
	return effect.Done
}

func (s *simulation) write(r *request, w dedup.Write) func() effect.Outcome {
	return func() effect.Outcome {
		if w.Generation != s.newest.Number && s.fault != noFence {
			return effect.Conflict
		}
		previous := s.rows[key{w.Generation - 1, r.id}]
		if previous.Version != w.IfPrevious && s.fault != noPrevious {
			return effect.Conflict
		}
		o := s.put(key{w.Generation, r.id}, w.IfVersion, w.Row)
		if o == effect.Done {
			s.claimed[w.Row.Nonce] = s.now
		}
		return o
	}
}

func (s *simulation) read(r *request) any {
	if s.choose(5) == 0 {
		return dedup.ReadFailed{}
	}
	result := dedup.ReadResult{Newest: s.newest, Current: s.rows[key{s.newest.Number, r.id}]}
	if s.fault != noPrevious {
		result.Previous = s.rows[key{s.newest.Number - 1, r.id}]
	}
	s.generations[r.instance].Observe(s.now, s.newest)
	if c := &result.Current.Row; s.fault == terminatedOwnerIsFree && c.State == dedup.Claimed &&
		c.Owner != s.owner(0) && c.Owner != s.owner(1) {
		c.State = dedup.Released
	}
	return result
}

// advance performs the next call of a request.
func (s *simulation) advance(r *request) {
	switch {
	case r.finish != nil:
		switch a := r.finish.Next().(type) {
		case dedup.Put:
			r.finish.Step(s.call(func() effect.Outcome {
				return s.put(key{a.Position.Generation, r.id}, a.Position.Version, a.Row)
			}))
		case dedup.ReadAt:
			r.finish.Step(s.rows[key{a.Generation, r.id}])
		default:
			s.drop(r)
		}
	case r.decision != nil:
		s.dispatch(r)
	default:
		switch a := r.claim.Next(s.now).(type) {
		case dedup.Write:
			r.claim.Step(s.call(s.write(r, a)))
		case dedup.Read:
			r.claim.Step(s.read(r))
		case dedup.Decision:
			s.handleDecision(r, a)
		}
	}
}

func (s *simulation) handleDecision(r *request, d dedup.Decision) {
	r.decision = &d
	switch d.Verdict {
	case dedup.Acquired:
		return // dispatched in a later step
	case dedup.Unavailable:
		if d.Uncertain != nil {
			r.finish = dedup.NewRelease(*d.Uncertain)
			return
		}
	case dedup.Duplicate:
		if d.Row.State == dedup.Ran && d.Row.Answer.Status != s.answers[d.Row.Nonce] {
			modeltest.Failf("duplicate got an answer that no endpoint returned")
		}
		for _, x := range s.executions[r.id] {
			if x.nonce == d.Row.Nonce && x.content != r.content {
				modeltest.Failf("request got the answer to a request with other content")
			}
		}
	}
	s.drop(r)
}

// dispatch sends the request to an endpoint, or decides not to run it.
func (s *simulation) dispatch(r *request) {
	row := r.row
	row.State = dedup.Released
	tooLate := s.now > r.decision.SendBy && s.fault != noSendBy
	if result := s.choose(4); !tooLate && result > 0 {
		s.run(r)
		row.State = dedup.Ran
		row.Answer = &dedup.Answer{Status: s.count}
		s.answers[row.Nonce] = s.count
		if result == 1 {
			row.State, row.Answer = dedup.MayHaveRun, nil
		}
		if result == 1 && s.fault == releaseMayHaveRun {
			row.State = dedup.Released
		}
	}
	r.finish = dedup.NewFinish(r.decision.Position, row)
}

// run is the oracle. It checks that a request runs only after the claim of the
// previous request with its ID has been valid for the promised time.
func (s *simulation) run(r *request) {
	s.count++
	n := r.row.Nonce
	for _, x := range s.executions[r.id] {
		if between := s.claimed[n] - s.claimed[x.nonce]; between < keep || x.at > s.claimed[n] {
			modeltest.Failf("requests with ID %d ran twice; the time between their claims is %v", r.id, between)
		}
	}
	s.dispatched[n] = true
	s.executions[r.id] = append(s.executions[r.id], execution{n, r.content, s.now})
}

func (s *simulation) drop(r *request) {
	s.requests = slices.DeleteFunc(s.requests, func(x *request) bool { return x == r })
}

// maintainGenerations performs the periodic work of an instance: it reads the
// newest generation, starts the next one if that is due, and deletes expired
// rows.
func (s *simulation) maintainGenerations(i int) {
	g := s.generations[i]
	g.Observe(s.now, s.newest)
	dueWrite := g.Next(s.now)
	if dueWrite == nil && s.fault == earlyAdvance {
		dueWrite = &dedup.AdvanceGeneration{IfVersion: g.Newest().Number, Retention: dedup.Retention{Keep: keep, Previous: keep}}
	}
	if dueWrite != nil {
		s.call(func() effect.Outcome {
			if dueWrite.IfVersion != s.newest.Number {
				return effect.Conflict
			}
			s.newest = dedup.Generation{Number: dueWrite.IfVersion + 1, Retention: dueWrite.Retention}
			return effect.Done
		})
	}
	for k := range s.rows {
		if k.generation < g.OldestValid() {
			delete(s.rows, k)
		}
	}
}

func (s *simulation) step(modeltest.Draw) {
	i := s.choose(2)
	switch n := s.choose(40); {
	case n < 6 && len(s.requests) < 6:
		s.startRequest()
	case n == 6:
		s.paused[i] = !s.paused[i]
	case n == 7 && s.choose(4) == 0: // crash
		s.paused[i] = false
		s.starts[i]++
		s.generations[i] = &dedup.GenerationTracker{Keep: keep}
		s.requests = slices.DeleteFunc(s.requests, func(r *request) bool { return r.instance == i })
	case n < 10:
		s.now += time.Duration(1+s.choose(40)) * time.Second
	case n < 13 && len(s.delayed) > 0:
		f := s.delayed[0]
		s.delayed = s.delayed[1:]
		f()
	case n < 17 && !s.paused[i]:
		s.maintainGenerations(i)
	case len(s.requests) > 0:
		if r := s.requests[s.choose(len(s.requests))]; !s.paused[r.instance] {
			s.advance(r)
		}
	}
}

// settle ends all faults and checks that all rows are deleted after they have
// expired, and that an ID can then be claimed.
func (s *simulation) settle() {
	s.requests, s.delayed = nil, nil
	s.choose = func(n int) int { return n - 1 }
	for range 8 {
		s.maintainGenerations(0)
		s.now += keep
	}
	if len(s.rows) > 0 {
		modeltest.Failf("%d expired rows are left", len(s.rows))
	}
	s.startRequest()
	for r := s.requests[0]; r.decision == nil; {
		s.advance(r)
	}
	if v := s.requests[0].decision.Verdict; v != dedup.Acquired {
		modeltest.Failf("got verdict %v without faults, want the claim to succeed", v)
	}
}

var model = modeltest.Model[fault, *simulation]{New: newSimulation, Step: (*simulation).step, Settle: (*simulation).settle, Stream: 5}

func TestModel(t *testing.T) {
	model.Check(t, 150)
	total := 0
	model.CheckSeeds(t, 1000, steps, func(s *simulation) { total += s.count })
	t.Logf("1000 seeded runs executed %d requests", total)
}

// TestOracleDetectsFaults checks that the oracle detects a violation of each
// rule.
func TestOracleDetectsFaults(t *testing.T) {
	model.CheckDetectsFaults(t, faults, 2000, steps)
}
