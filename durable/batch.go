package durable

import "strings"

// Batch returns the results to store next, or nil. Report the outcome with
// MarkStored or MarkNotStored before the next call.
func (s *Step) Batch() *Batch {
	if s.ended || len(s.storing) > 0 || len(s.queue) == 0 {
		return nil
	}
	b := &Batch{Position: s.position}
	size := 0
	for _, p := range s.queue {
		r := p.result()
		if len(b.Results) >= maxBatch || len(b.Results) > 0 && size+len(r.Text) > maxBatchBytes {
			break
		}
		size += len(r.Text)
		b.Results = append(b.Results, r)
	}
	s.storing = s.queue[:len(b.Results):len(b.Results)]
	s.queue = s.queue[len(b.Results):]
	return b
}

func (p *sample) result() Result {
	if p.abandoned {
		return Result{ID: p.ID}
	}
	return Result{
		ID: p.ID, Complete: true, Text: strings.Join(p.events, "\n"),
		Versions: p.versions, Score: p.score,
	}
}

// MarkStored records that the last Batch is stored.
func (s *Step) MarkStored() {
	for _, p := range s.storing {
		p.state = stored
		p.events = nil
	}
	s.position += len(s.storing)
	s.storing = nil
}

// MarkNotStored records that no result of the last Batch is stored or ever will
// be. The results are returned to the queue.
func (s *Step) MarkNotStored() {
	s.queue = append(s.storing, s.queue...)
	s.storing = nil
}
