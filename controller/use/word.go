package use

import "github.com/cumincove/cumincove/fairqueue"

// Word is an instance's report of its queues. It is used where instances don't
// exchange messages in pairs: every instance reads the reports of all others.
type Word struct {
	// Waiting lists the services with queued requests at the reporting instance. It
	// requests the usage of these services at other instances.
	Waiting []string `json:"waiting,omitempty"`
	// Uses is the usage by teams at the reporting instance, by service. It contains
	// only services whose usage an instance has requested.
	Uses map[string][]TeamUse `json:"uses,omitempty"`
}

// TeamUse is a team's usage of a service in one class.
type TeamUse struct {
	Team  string          `json:"team"`
	Class fairqueue.Class `json:"class,omitempty"`
	// Tokens is the cost in tokens per second.
	Tokens uint32 `json:"tokens"`
}

// Say returns this instance's report. It includes the usage of the requested
// services, of which at most maxServices are reported.
func (c *Controller) Say(requested []string) Word {
	waiting := c.Queues.Waiting()
	report := Word{Waiting: waiting[:min(len(waiting), maxServices)]}
	for _, service := range requested[:min(len(requested), maxServices)] {
		for _, u := range c.Queues.Uses(service) {
			if report.Uses == nil {
				report.Uses = map[string][]TeamUse{}
			}
			report.Uses[service] = append(report.Uses[service], TeamUse{Team: u.Team, Class: u.Class, Tokens: uint32(u.Rate)})
		}
	}
	return report
}

// Hear handles the report of another instance.
func (c *Controller) Hear(instance string, report Word) {
	for service, teams := range report.Uses {
		var list []fairqueue.Use
		for _, t := range teams[:min(len(teams), maxTeams)] {
			if t.Class == fairqueue.Interactive || t.Class == fairqueue.Rollout {
				list = append(list, fairqueue.Use{Team: t.Team, Class: t.Class, Rate: float64(t.Tokens)})
			}
		}
		c.Queues.HearUses(instance, service, list)
	}
}
