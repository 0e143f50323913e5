package rollout

import (
	"cmp"
	"slices"

	"github.com/cumincove/cumincove/api"
)

// Status lists the steps that this instance owns, sorted by team and ID. Its
// counts are numbers of samples.
func (c *Controller) Status() []api.StepStatus {
	c.mu.Lock()
	workers := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		workers = append(workers, w)
	}
	c.mu.Unlock()
	list := make([]api.StepStatus, 0, len(workers))
	for _, w := range workers {
		list = append(list, w.status())
	}
	slices.SortFunc(list, func(a, b api.StepStatus) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func (w *worker) status() api.StepStatus {
	p := w.progress()
	return api.StepStatus{
		ID:        w.key.id,
		Team:      w.key.team,
		Service:   w.spec.Service,
		Owner:     p.Owner,
		Samples:   len(w.spec.Prompts) * w.spec.Samples,
		Completed: p.Complete * w.spec.Samples,
		Delivered: p.Delivered * w.spec.Samples,
		Scored:    p.Scored * w.spec.Samples,
		Unscored:  p.Unscored * w.spec.Samples,
	}
}
