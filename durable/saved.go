package durable

import "slices"

// restore takes what was saved of a sample: its failures, and its events if the
// step takes their versions.
func (s *Step) restore(v Saved) {
	p := s.byID[v.ID]
	if p == nil || p.state != waiting || len(p.events) > 0 {
		return
	}
	p.failures, p.scoreFailures = v.Failures, v.ScoreFailures
	p.savedFailures = v.Failures + v.ScoreFailures
	if s.failedTooOften(p) {
		s.unreachable(p)
		return
	}
	if !s.takesSaved(v) {
		return
	}
	p.events = slices.Clone(v.Events)
	p.versions = slices.Clone(v.Versions)
	p.savedEvents = len(p.events)
	if v.Whole {
		s.whole(p)
	}
}

// takesSaved reports whether the step takes the versions of saved events.
func (s *Step) takesSaved(v Saved) bool {
	if len(v.Versions) == 0 || slices.Min(v.Versions) < s.spec.MinVersion {
		return false
	}
	return !s.spec.SingleVersion || len(v.Versions) == 1
}

// Unsaved returns what has come of the samples under way since it was saved
// last, for those that have at least the given number of new events, or failed
// since.
func (s *Step) Unsaved(least int) []Saved {
	var list []Saved
	for _, p := range s.order {
		if p.state == listed || !p.unsaved(least) {
			continue
		}
		list = append(list, Saved{
			ID: p.ID, Whole: p.complete, Events: slices.Clone(p.events), Versions: slices.Clone(p.versions),
			Failures: p.failures, ScoreFailures: p.scoreFailures,
		})
	}
	return list
}

func (p *sample) unsaved(least int) bool {
	if p.failures+p.scoreFailures > p.savedFailures {
		return true
	}
	return len(p.events) > 0 && len(p.events)-p.savedEvents >= least
}

// WasSaved notes that a sample was saved.
func (s *Step) WasSaved(v Saved) {
	if p := s.byID[v.ID]; p != nil {
		p.savedEvents = len(v.Events)
		p.savedFailures = v.Failures + v.ScoreFailures
	}
}
