package durable

import "time"

// LeaveEndpoints returns the actions that move streams away from the endpoints for which
// leave returns true: they are cancelled and resumed after their last event at other
// endpoints with free slots. Those for which there is none continue where they are.
func (s *Step) LeaveEndpoints(now time.Duration, leave func(endpoint string) bool, endpoints []Endpoint) []Action {
	if s.ended {
		return nil
	}
	s.comparePreferred(endpoints)
	var actions []Action
	for _, p := range s.runningSamples() {
		if !leave(p.endpoint) {
			continue
		}
		if e, avoided := s.pick(now, p, endpoints); e == nil || avoided {
			continue
		}
		actions = append(actions, Cancel{Run: p.run, Endpoint: p.endpoint})
		delete(s.byRun, p.run)
		p.state = waiting
		p.notBefore = now
		actions = append(actions, s.start(now, p, endpoints))
	}
	return actions
}
