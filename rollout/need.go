package rollout

// Need is the remaining demand of a step for engine capacity.
type Need struct {
	// Samples is the number of samples that could be generated now: the
	// incomplete samples that fit into the memory bound (Options.MaxGroups).
	Samples int
	// Tokens is the mean length of the completed samples, in tokens; zero if no
	// sample is complete.
	Tokens float64
	// Running is the number of running streams.
	Running int
}

// Need returns the step's remaining demand.
func (s *Step) Need() Need {
	n := Need{Running: len(s.runs)}
	if s.completed.samples > 0 {
		n.Tokens = float64(s.completed.tokens) / float64(s.completed.samples)
	}
	if s.Expired(s.tickedAt) {
		return n
	}
	p := s.slots.Progress()
	left := (p.Groups-p.Delivered-len(s.failed))*s.spec.Samples - p.Samples
	room := s.opt.MaxGroups*s.spec.Samples - p.Samples
	n.Samples = max(min(left, room), 0)
	return n
}
