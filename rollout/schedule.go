package rollout

import (
	"errors"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/ledger"
)

// Tick returns the actions that are due now. Endpoints are the engines that the
// step may use. Limit bounds the number of streams to start; streams that resume
// a partial sample may exceed it.
func (s *Step) Tick(now time.Duration, endpoints []Endpoint, limit int) []Action {
	var actions []Action
	s.tickedAt = now
	s.stopUnneeded(now)
	if !s.Expired(now) {
		free := s.candidates(now, endpoints)
		actions = s.move(now, free)
		actions = append(actions, s.start(now, free, limit)...)
	}
	for _, c := range s.pendingCancels {
		actions = append(actions, c)
	}
	s.pendingCancels = nil
	actions = append(actions, s.scoreGroups(now)...)
	if b := s.slots.Batch(now); b != nil {
		actions = append(actions, Write{Batch: b})
	}
	return actions
}

// stopUnneeded stops the streams of failed groups and of groups that the trainer
// has received, and all streams after the deadline.
func (s *Step) stopUnneeded(now time.Duration) {
	expired := s.Expired(now)
	s.stopAll(func(r *run) bool {
		return expired || s.slots.Received(r.slot.Group) || s.failed[r.slot.Group]
	})
}

func (s *Step) start(now time.Duration, free []Endpoint, limit int) []Action {
	var (
		actions []Action
		waiting []ledger.Slot
	)
	for len(s.pending) > 0 {
		slot := s.pending[0]
		if len(actions) >= limit && s.partials[slot] == nil {
			break
		}
		e := s.pick(free, slot)
		if e == nil {
			break
		}
		attempt, ok := s.slots.PendingAttempt(slot)
		if !ok || s.failed[slot.Group] {
			s.pending = s.pending[1:]
			continue
		}
		if s.waitsForWeights(now, slot, e) {
			waiting = append(waiting, slot)
			s.pending = s.pending[1:]
			continue
		}
		if errors.Is(s.slots.Reserve(slot.Group), ledger.ErrFull) {
			break
		}
		s.pending = s.pending[1:]
		e.Free--
		actions = append(actions, s.launch(slot, attempt, e.Name))
	}
	s.requeue(waiting...)
	return actions
}

// waitsForWeights reports whether the slot should wait for newer weights than
// those of e, the best endpoint.
func (s *Step) waitsForWeights(now time.Duration, slot ledger.Slot, e *Endpoint) bool {
	return s.stale[slot] && e.Version < s.slots.NewestVersion() && now < s.advancedAt+newestWeightsWait
}

// candidates returns the endpoints at which streams may start: those that have
// free capacity, are not being avoided, and have weights whose samples could be
// delivered. Capacity that is reserved for streams being moved does not count as
// free.
func (s *Step) candidates(now time.Duration, endpoints []Endpoint) []Endpoint {
	var list []Endpoint
	incoming := map[string]int{}
	for _, r := range s.runs {
		if r.halted() {
			incoming[r.partial.target]++
		}
	}
	for _, e := range endpoints {
		if until, ok := s.avoidUntil[e.Name]; ok && now >= until {
			delete(s.avoidUntil, e.Name)
		}
		_, avoided := s.avoidUntil[e.Name]
		e.Free -= incoming[e.Name]
		if avoided || e.Free <= 0 || !s.slots.IsVersionUsable(e.Version) {
			continue
		}
		list = append(list, e)
	}
	return list
}

// pick returns the endpoint on which to run a slot: the endpoint that the slot
// is being moved to if it has free capacity, and the best endpoint otherwise.
func (s *Step) pick(free []Endpoint, slot ledger.Slot) *Endpoint {
	if p := s.partials[slot]; p != nil && p.target != "" {
		for i := range free {
			if free[i].Name == p.target && free[i].Free > 0 {
				return &free[i]
			}
		}
	}
	return best(free)
}

// best returns the endpoint with the newest weights and, among those, the most
// free capacity. It returns nil if no endpoint has free capacity.
func best(list []Endpoint) *Endpoint {
	var b *Endpoint
	for i := range list {
		e := &list[i]
		switch {
		case e.Free <= 0:
		case b == nil || e.Version > b.Version:
			b = e
		case e.Version == b.Version && e.Free > b.Free:
			b = e
		}
	}
	return b
}

func (s *Step) launch(slot ledger.Slot, attempt uint64, endpoint string) Start {
	p := s.partials[slot]
	if p == nil {
		p = &partial{}
	}
	delete(s.partials, slot)
	p.attempt = attempt
	r := &run{
		id:              s.newRunID(),
		slot:            slot,
		attempt:         attempt,
		endpoint:        endpoint,
		resumedTokens:   len(p.tokens),
		partial:         p,
		nextWindowStart: progressPoint{at: s.tickedAt, tokens: len(p.tokens)},
	}
	r.windowStart = r.nextWindowStart
	s.runs[r.id] = r
	from := p.from
	p.from, p.target = Source{}, ""
	return Start{
		Run:      r.id,
		Endpoint: endpoint,
		From:     from,
		Request: engine.GenerateRequest{
			Prompt:    s.spec.Prompts[slot.Group],
			MaxTokens: s.spec.MaxTokens,
			Seed:      s.spec.SlotSeed(slot),
			Priority:  s.opt.Priority,
			Resume:    append([]int32(nil), p.tokens...),
			Adapter:   s.spec.Adapter,
		},
	}
}
