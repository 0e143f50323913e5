package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/fairqueue"
)

const (
	// usagePeriod is the mean time between two measurements of the teams' usage.
	usagePeriod = 200 * time.Millisecond
	// usageSamples is the number of samples in the running mean of a team's usage.
	usageSamples = 5
	// maxReportedUsage bounds the teams of a service whose usage is reported to
	// other instances.
	maxReportedUsage = 8
	// minReportedRate is the usage, in tokens a second, below which a team is not
	// reported.
	minReportedRate = 1
	// remoteUsageWindow is how long the usage at other instances is requested
	// after an interactive request was last observed to wait.
	remoteUsageWindow = 2 * time.Second
)

// usageKey identifies the usage of a team in one class.
type usageKey struct {
	team  string
	class fairqueue.Class
}

// usageCounter counts the slots that one team has at one service in one class.
// Cost is time in a slot, so the number of slots in use is the rate at which cost
// accrues.
type usageCounter struct {
	slotsInUse atomic.Int64
	// mean is the running mean of slotsInUse; only measure uses it.
	mean float64
}

// teamUsage is the teams' usage of one service.
type teamUsage struct {
	teams sync.Map // usageKey to *usageCounter

	mu     sync.Mutex
	latest []fairqueue.Usage // result of the last measure
	remote fairqueue.RemoteUsage
}

// addSlot counts one more slot of the team. The caller decrements the returned
// counter when it releases the slot.
func (u *teamUsage) addSlot(w Work) *usageCounter {
	k := usageKey{team: w.Team, class: w.Class}
	c, ok := u.teams.Load(k)
	if !ok {
		c, _ = u.teams.LoadOrStore(k, new(usageCounter))
	}
	c.(*usageCounter).slotsInUse.Add(1)
	return c.(*usageCounter)
}

// measure updates the running means and returns them, the largest first.
func (u *teamUsage) measure() []fairqueue.Usage {
	var list []fairqueue.Usage
	u.teams.Range(func(k, v any) bool {
		c := v.(*usageCounter)
		c.mean += (float64(c.slotsInUse.Load()) - c.mean) / usageSamples
		rate := c.mean / timePerToken.Seconds()
		if rate >= minReportedRate {
			list = append(list, fairqueue.Usage{Team: k.(usageKey).team, Class: k.(usageKey).class, Rate: rate})
		}
		return true
	})
	slices.SortFunc(list, func(a, b fairqueue.Usage) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), strings.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.latest = list
	return list
}

// sweep deletes teams that were removed from the configuration.
func (u *teamUsage) sweep(teams map[string]config.Team) {
	u.teams.Range(func(k, v any) bool {
		if _, ok := teams[k.(usageKey).team]; !ok && v.(*usageCounter).slotsInUse.Load() == 0 {
			u.teams.Delete(k)
		}
		return true
	})
}

// runUsage measures the teams' usage, and charges their usage at other instances,
// until done is closed.
func (d *Dispatcher) runUsage(done <-chan struct{}) {
	last := d.opt.Clock.Now()
	for {
		select {
		case <-time.After(usagePeriod*3/4 + rand.N(usagePeriod/2)):
		case <-done:
			return
		}
		now := d.opt.Clock.Now()
		d.services.Range(func(_, s any) bool {
			s.(*service).chargeRemoteUsage(now, now-last)
			return true
		})
		last = now
	}
}

// chargeRemoteUsage measures the teams' usage and charges each team for its excess
// usage at other instances (RemoteUsage.Excess) in the time passed since the last
// call. It charges nothing while no interactive request waits, because the charges
// only affect the order of waiting work.
func (s *service) chargeRemoteUsage(now, passed time.Duration) {
	own := s.usage.measure()
	if s.waiting.Load() == 0 {
		return
	}
	s.lastWaitAt.Store(int64(now))
	teams := s.d.opt.Views.Load().Config.Teams
	weight := func(team string) float64 { return teams[team].Weight }
	s.usage.mu.Lock()
	excess := s.usage.remote.Excess(now, own, weight)
	s.usage.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range excess {
		s.queue.ChargeRemote(u.Team, weight(u.Team), u.Class, u.Rate*passed.Seconds())
	}
}

// WaitingServices returns the names, in order, of the services in which interactive
// requests have waited at this instance within remoteUsageWindow.
func (d *Dispatcher) WaitingServices() []string {
	var list []string
	now := d.opt.Clock.Now()
	d.services.Range(func(name, s any) bool {
		at := s.(*service).lastWaitAt.Load()
		if at > 0 && now-time.Duration(at) < remoteUsageWindow {
			list = append(list, name.(string))
		}
		return true
	})
	slices.Sort(list)
	return list
}

// Usage returns the last measured usage of a service by each team at this instance,
// the largest first. It is limited to maxReportedUsage entries.
func (d *Dispatcher) Usage(name string) []fairqueue.Usage {
	s, ok := d.services.Load(name)
	if !ok {
		return nil
	}
	u := &s.(*service).usage
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.latest[:min(len(u.latest), maxReportedUsage)]
}

// HandleUsageReport records the teams' usage of a service at another instance. It
// ignores services for which this instance has had no work.
func (d *Dispatcher) HandleUsageReport(instance, name string, list []fairqueue.Usage) {
	s, ok := d.services.Load(name)
	if !ok {
		return
	}
	u := &s.(*service).usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.remote.HandleReport(d.opt.Clock.Now(), instance, list)
}
