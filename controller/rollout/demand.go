package rollout

// Demand returns, by service, the number of samples that the steps of this
// instance still have to generate.
func (c *Controller) Demand() map[string]int {
	c.mu.Lock()
	workers := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		workers = append(workers, w)
	}
	c.mu.Unlock()
	demand := map[string]int{}
	for _, w := range workers {
		p := w.progress()
		if p.Expired {
			continue
		}
		groups := len(w.spec.Prompts) - p.Complete - len(p.Failed)
		if groups > 0 {
			demand[w.spec.Service] += groups * w.spec.Samples
		}
	}
	return demand
}
