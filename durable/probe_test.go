package durable

import (
	"testing"
	"time"
)

// TestEndpointIsUsedAfterItsProbeLeft guards against an endpoint that gets no other sample
// of a step for ever, because the one that probed it after a refusal was moved away from
// it: as too slow, or because its data centre is evacuated.
func TestEndpointIsUsedAfterItsProbeLeft(t *testing.T) {
	for name, away := range map[string]func(s *Step, now time.Duration, endpoints []Endpoint) []Action{
		"slow": func(s *Step, now time.Duration, endpoints []Endpoint) []Action {
			p := s.byRun[s.nextRun]
			return []Action{s.leave(now, p), s.start(now, p, endpoints)}
		},
		"evacuated": func(s *Step, now time.Duration, endpoints []Endpoint) []Action {
			return s.LeaveEndpoints(now, func(e string) bool { return e == "a" }, endpoints)
		},
	} {
		t.Run(name, func(t *testing.T) {
			at := func(name string) Endpoint { return Endpoint{Name: name, Version: 1, FreeSlots: 4} }
			s := New(Spec{ID: "s", Samples: []Sample{{ID: "x"}, {ID: "y"}}}, nil, nil)
			s.Tick(0, []Endpoint{at("a")})
			for run := range s.byRun {
				s.Ended(0, run, Refused)
			}
			now := 5 * time.Second
			if got := s.Tick(now, []Endpoint{at("a")}); len(got) != 1 {
				t.Fatalf("%d streams started at an endpoint that refused, want a single probe", len(got))
			}
			now += 2 * time.Second
			if got := s.Tick(now, []Endpoint{at("a")}); len(got) != 0 {
				t.Fatalf("the actions %v beside a probe, want none", got)
			}
			away(s, now, []Endpoint{at("b")})
			now += 2 * time.Second
			got := s.Tick(now, []Endpoint{at("a")})
			if len(got) != 1 || got[0].(Start).Endpoint != "a" {
				t.Errorf("after the probe left the actions are %v, want a start at a", got)
			}
		})
	}
}
