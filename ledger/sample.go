package ledger

import "github.com/cumincove/cumincove/code"

// Slot identifies the position of one sample in a step. It stays the same when
// the sample is generated again.
type Slot struct {
	Group int `json:"group"`
	Index int `json:"index"`
}

// Span is a range of tokens that one weight version produced: from From up to,
// but not including, To.
type Span struct {
	From    int    `json:"from"`
	To      int    `json:"to"`
	Version uint64 `json:"version"`
}

// Sample is the content of a slot.
type Sample struct {
	Slot
	// Attempt increases each time the slot's sample is generated again.
	Attempt uint64  `json:"attempt"`
	Tokens  []int32 `json:"tokens"`
	// Spans covers the tokens in order and without gaps.
	Spans []Span `json:"spans"`
	// Finish is the engine's reason for ending the sample.
	Finish string `json:"finish"`
	// Score is the score from the step's scoring service. ScoreCode is the
	// reason why there is none. Only Pull and CompleteGroup set them.
	Score     *float64    `json:"score,omitempty"`
	ScoreCode code.Number `json:"score_code,omitempty"`
}

// Oldest returns the lowest weight version among the spans. It returns zero if a
// version is unknown or there are no spans.
func (s *Sample) Oldest() uint64 {
	if len(s.Spans) == 0 {
		return 0
	}
	oldest := s.Spans[0].Version
	for _, p := range s.Spans[1:] {
		oldest = min(oldest, p.Version)
	}
	return oldest
}

// Attributed reports whether every token has a known weight version.
func (s *Sample) Attributed() bool {
	next := 0
	for _, p := range s.Spans {
		if p.From != next || p.To <= p.From || p.Version == 0 {
			return false
		}
		next = p.To
	}
	return next == len(s.Tokens) && next > 0
}

// Batch is a set of samples and verdicts to store in one write.
type Batch struct {
	// Seq is the number of the batch in its Ledger, starting at one. The content
	// of a failed batch is offered again under a new number only.
	Seq     uint64   `json:"seq"`
	Samples []Sample `json:"samples"`
	// Verdicts belong to samples of this batch or of earlier ones.
	Verdicts []Verdict `json:"verdicts,omitempty"`
}
