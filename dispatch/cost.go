package dispatch

import "time"

// timePerToken is the time in a slot that counts as the cost of one token.
const timePerToken = 20 * time.Millisecond

// estimate returns the cost to charge until the actual cost is available. Needs is the
// estimated time that the work needs, or zero.
func (s *service) estimate(w Work, needs time.Duration) float64 {
	if w.Tokens > 0 {
		return float64(w.Tokens)
	}
	if needs > 0 {
		return float64(needs) / float64(timePerToken)
	}
	return float64(s.meanCost.Load()) / 1000
}

// recordCost records the cost of finished work and assigns its slot to waiting
// work.
func (s *service) recordCost(slot *Slot, now time.Duration) {
	cost := float64(now-slot.acquiredAt) / float64(timePerToken)
	mean := s.meanCost.Load()
	s.meanCost.Store(mean + (int64(cost*1000)-mean)/meanSamples)
	if slot.item == nil && s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.item != nil {
		s.queue.Done(now, slot.item, cost)
	} else {
		s.queue.DoneUnqueued(now, s.item(slot.work, now, nil), cost)
	}
	s.dispatchAt(slot.Endpoint.Name)
}

// meanWorkTime returns the mean time that work spends in its slot.
func (s *service) meanWorkTime() time.Duration {
	return timePerToken * time.Duration(s.meanCost.Load()) / 1000
}

// meanSamples is the number of samples in the running mean of costs.
const meanSamples = 64
