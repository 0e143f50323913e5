package use

import "github.com/cumincove/cumincove/fairqueue"

// Word is what an instance says of its queues where there are no exchanges between
// pairs of instances: all read it.
type Word struct {
	// Waiting lists the services in which requests wait there, for which the use
	// elsewhere is wanted.
	Waiting []string `json:"waiting,omitempty"`
	// Uses are the teams' uses there, by service. Only those that some instance
	// wants are in it.
	Uses map[string][]TeamUse `json:"uses,omitempty"`
}

// TeamUse is what a team uses of a service in one class.
type TeamUse struct {
	Team  string          `json:"team"`
	Class fairqueue.Class `json:"class,omitempty"`
	// Tokens is the cost in tokens a second.
	Tokens uint32 `json:"tokens"`
}

// Say returns this instance's word, given the services whose use others want.
func (c *Controller) Say(wanted []string) Word {
	waiting := c.Queues.Waiting()
	w := Word{Waiting: waiting[:min(len(waiting), maxServices)]}
	for _, service := range wanted[:min(len(wanted), maxServices)] {
		for _, u := range c.Queues.Uses(service) {
			if w.Uses == nil {
				w.Uses = map[string][]TeamUse{}
			}
			w.Uses[service] = append(w.Uses[service], TeamUse{Team: u.Team, Class: u.Class, Tokens: uint32(u.Rate)})
		}
	}
	return w
}

// Hear takes the word of another instance.
func (c *Controller) Hear(instance string, w Word) {
	for service, teams := range w.Uses {
		var list []fairqueue.Use
		for _, t := range teams[:min(len(teams), maxTeams)] {
			if t.Class == fairqueue.Interactive || t.Class == fairqueue.Rollout {
				list = append(list, fairqueue.Use{Team: t.Team, Class: t.Class, Rate: float64(t.Tokens)})
			}
		}
		c.Queues.HearUses(instance, service, list)
	}
}
