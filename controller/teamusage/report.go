package teamusage

import "github.com/cumincove/cumincove/fairqueue"

// Report is an instance's report of its queues. It is used where instances don't
// exchange messages in pairs: every instance reads the reports of all others.
type Report struct {
	// Waiting lists the services with queued requests at the reporting instance. The
	// other instances must include their usage of these services in their reports.
	Waiting []string `json:"waiting,omitempty"`
	// Usage is the usage by teams at the reporting instance, by service. It contains
	// only services whose usage an instance has requested.
	Usage map[string][]TeamUsage `json:"uses,omitempty"`
}

// TeamUsage is a team's usage of a service in one class.
type TeamUsage struct {
	Team  string          `json:"team"`
	Class fairqueue.Class `json:"class,omitempty"`
	// Tokens is the cost in tokens per second.
	Tokens uint32 `json:"tokens"`
}

// NewReport returns this instance's report. It includes the usage of the requested
// services, of which at most maxServices are reported.
func (c *Controller) NewReport(requested []string) Report {
	waiting := c.Queues.WaitingServices()
	report := Report{Waiting: waiting[:min(len(waiting), maxServices)]}
	for _, service := range requested[:min(len(requested), maxServices)] {
		for _, u := range c.Queues.Usage(service) {
			if report.Usage == nil {
				report.Usage = map[string][]TeamUsage{}
			}
			report.Usage[service] = append(report.Usage[service], TeamUsage{Team: u.Team, Class: u.Class, Tokens: uint32(u.Rate)})
		}
	}
	return report
}

// HandleReport handles the report of another instance.
func (c *Controller) HandleReport(instance string, report Report) {
	for service, teams := range report.Usage {
		var list []fairqueue.Usage
		for _, t := range teams[:min(len(teams), maxTeams)] {
			if t.Class == fairqueue.Interactive || t.Class == fairqueue.Rollout {
				list = append(list, fairqueue.Usage{Team: t.Team, Class: t.Class, Rate: float64(t.Tokens)})
			}
		}
		c.Queues.HandleUsageReport(instance, service, list)
	}
}
