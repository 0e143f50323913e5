package durable

import (
	"slices"
	"time"
)

// minLengthRatios is the number of complete samples after which the estimated
// lengths can be compared with numbers of events.
const minLengthRatios = 3

// work is an estimate of generation work, in tokens.
type work float64

// lengths is what a step knows of the lengths of its samples.
type lengths struct {
	// lengthRatios are the tokens per event of the complete samples, sorted, and
	// meanLength is the mean of the estimated lengths.
	lengthRatios []float64
	meanLength   work
}

// tokensPerEvent returns the number of tokens of an event, as the median of the
// estimated length of the complete samples by their number of events. It returns
// zero while too few samples are complete.
func (s *Step) tokensPerEvent() float64 {
	if len(s.lengthRatios) < minLengthRatios {
		return 0
	}
	return s.lengthRatios[len(s.lengthRatios)/2]
}

// recordLength records the length of a sample whose text is complete.
func (s *Step) recordLength(p *sample) {
	if p.Length <= 0 || len(p.events) == 0 {
		return
	}
	ratio := float64(p.Length) / float64(len(p.events))
	i, _ := slices.BinarySearch(s.lengthRatios, ratio)
	s.lengthRatios = slices.Insert(s.lengthRatios, i, ratio)
}

// expectedLength returns the estimated length of a sample, which is the mean of the
// step's estimates if the sample has none.
func (s *Step) expectedLength(p *sample) work {
	if p.Length > 0 {
		return work(p.Length)
	}
	return s.meanLength
}

// remaining returns the work that a sample still needs. The estimate of a sample
// that is longer than expected is its length so far: lengths have a heavy tail, so
// what has lasted long is expected to last long.
func (s *Step) remaining(p *sample) work {
	if p.complete || p.abandoned || p.state >= unscored {
		return 0
	}
	done := s.finished(p)
	if expected := s.expectedLength(p); done < expected {
		return expected - done
	}
	return max(done, 1)
}

// finished returns the work that was done on a sample.
func (s *Step) finished(p *sample) work {
	if p.complete || p.state >= unscored {
		return s.expectedLength(p)
	}
	return work(float64(len(p.events)) * s.tokensPerEvent())
}

// streamRate returns the work that a stream completes in a second, or zero if it is
// not known yet.
func (s *Step) streamRate() work { return work(s.medianRate * s.tokensPerEvent()) }

// duration returns the time that a stream needs for w, or zero if it is not known.
func (s *Step) duration(w work) time.Duration {
	rate := s.streamRate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(w) / float64(rate) * float64(time.Second))
}

func meanLength(samples []Sample) work {
	sum, n := 0, 0
	for _, p := range samples {
		if p.Length > 0 {
			sum += p.Length
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return work(sum) / work(n)
}
