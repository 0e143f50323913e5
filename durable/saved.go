package durable

import "slices"

// restore restores a sample from its saved state: the failure counts, and the
// events if the step accepts their versions.
func (s *Step) restore(v Saved) {
	p := s.byID[v.ID]
	if p == nil || p.state != waiting || len(p.events) > 0 {
		return
	}
	p.failures, p.scoreFailures = v.Failures, v.ScoreFailures
	p.savedFailures = v.Failures + v.ScoreFailures
	if s.failedTooOften(p) {
		s.abandon(p)
		return
	}
	if s.restoreText(p, v) {
		p.savedEvents = len(p.events)
	}
}

// restoreText restores the events of a sample if the step accepts their versions.
func (s *Step) restoreText(p *sample, v Saved) bool {
	if !s.acceptsSaved(v) {
		return false
	}
	p.events = slices.Clone(v.Events)
	p.versions = slices.Clone(v.Versions)
	if v.Complete {
		s.markComplete(p)
	}
	return true
}

// Reuse continues the text that earlier steps generated for the same samples, if its
// versions are accepted, and lets the samples of carried groups start. Complete texts
// are scored again. It returns the numbers of samples whose text is complete and of
// those that are continued. The failures of earlier steps don't count.
func (s *Step) Reuse(saved []Saved) (complete, partial int) {
	for _, p := range s.samples {
		if p.group != nil && p.group.carried && p.state == waiting && p.earlyEnds == 0 {
			p.notBefore = 0
		}
	}
	for _, v := range saved {
		p := s.byID[v.ID]
		if p == nil || p.state != waiting || len(p.events) > 0 || !s.restoreText(p, v) {
			continue
		}
		if p.complete {
			complete++
		} else {
			partial++
		}
	}
	return complete, partial
}

// acceptsSaved reports whether the step accepts the versions of saved events.
func (s *Step) acceptsSaved(v Saved) bool {
	if len(v.Versions) == 0 || slices.Min(v.Versions) < s.spec.MinVersion {
		return false
	}
	return !s.spec.SingleVersion || len(v.Versions) == 1
}

// Unsaved returns the state of the samples whose results are not stored and that,
// since they were last saved, have at least minEvents new events or have failed.
func (s *Step) Unsaved(minEvents int) []Saved {
	var list []Saved
	for _, p := range s.order {
		if p.state == stored || !p.unsaved(minEvents) {
			continue
		}
		list = append(list, Saved{
			ID: p.ID, Complete: p.complete, Events: slices.Clone(p.events), Versions: slices.Clone(p.versions),
			Failures: p.failures, ScoreFailures: p.scoreFailures,
		})
	}
	return list
}

func (p *sample) unsaved(minEvents int) bool {
	if p.failures+p.scoreFailures > p.savedFailures {
		return true
	}
	return len(p.events) > 0 && len(p.events)-p.savedEvents >= minEvents
}

// MarkSaved records that v was saved.
func (s *Step) MarkSaved(v Saved) {
	if p := s.byID[v.ID]; p != nil {
		p.savedEvents = len(v.Events)
		p.savedFailures = v.Failures + v.ScoreFailures
	}
}
