package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/view"
)

const (
	// MaxMembers bounds the member list. Each instance must receive reports of a
	// majority within the freshness bound, so a long list causes more traffic,
	// and a short one loses its majority after fewer faults.
	MaxMembers = 15
	// memberListPeriod is the mean time between two checks of the member list.
	memberListPeriod = time.Second
	// memberDown is how long a member must be down or leaving before it is
	// removed.
	memberDown = 30 * time.Second
	// memberUnlisted is how long a member that is down or leaving must be missing
	// from the platform's list before it is removed.
	memberUnlisted = 3 * time.Second
	// majorityUnlisted is how long half or more of the members must be missing
	// from the platform's list before the complete member list is replaced.
	majorityUnlisted = 10 * time.Second
	// memberListAuthor is the author of member list changes in the audit trail.
	memberListAuthor = "member-keeper"
)

// memberManager decides on changes of the member list. It is a state machine
// without I/O: Step returns the change to commit now, if any. A member is
// unlisted while the platform's list of instances does not contain it.
type memberManager struct {
	self          string
	downSince     map[string]time.Duration // by member that is down or leaving
	unlistedSince map[string]time.Duration // by member
}

func newMemberManager(self string) *memberManager {
	return &memberManager{
		self:          self,
		downSince:     make(map[string]time.Duration),
		unlistedSince: make(map[string]time.Duration),
	}
}

// Step compares the member list with the instances believed alive and the
// platform's list. It returns the next change of the member list, if one is
// needed and this instance must make it.
func (mm *memberManager) Step(now time.Duration, s *config.State, alive map[string]view.Member, listed func(string) bool) (api.ChangeRequest, bool) {
	trackFailing(mm.downSince, now, s, func(name string) bool {
		m, ok := alive[name]
		return ok && !m.Leaving
	})
	trackFailing(mm.unlistedSince, now, s, listed)
	if m, ok := alive[mm.self]; !ok || m.Leaving {
		return api.ChangeRequest{}, false
	}
	if len(s.Members) == 0 {
		return putMembers(initialMembers(alive)), true
	}
	if mm.majorityUnlisted(now, s) {
		return replacement(s, alive), true
	}
	if name, ok := mm.removable(now); ok && mm.isResponsible(s, alive) {
		return api.ChangeRequest{Delete: []config.Ref{{Kind: config.KindMember, Name: name}}}, true
	}
	if _, ok := s.Members[mm.self]; !ok && len(s.Members) < MaxMembers {
		return putMembers([]config.Member{newMember(alive[mm.self])}), true
	}
	return api.ChangeRequest{}, false
}

// trackFailing updates since, the times at which members started to fail the check
// ok. It removes those that pass the check or are no longer members.
func trackFailing(since map[string]time.Duration, now time.Duration, s *config.State, ok func(string) bool) {
	for name := range since {
		if _, member := s.Members[name]; !member {
			delete(since, name)
		}
	}
	for name := range s.Members {
		if ok(name) {
			delete(since, name)
		} else if _, recorded := since[name]; !recorded {
			since[name] = now
		}
	}
}

// majorityUnlisted reports whether the platform has removed half or more of the
// members, so that a majority can no longer vouch.
func (mm *memberManager) majorityUnlisted(now time.Duration, s *config.State) bool {
	unlisted := 0
	for _, since := range mm.unlistedSince {
		if now-since >= majorityUnlisted {
			unlisted++
		}
	}
	return unlisted > 0 && 2*unlisted >= len(s.Members)
}

// replacement returns the change that replaces the complete member list.
func replacement(s *config.State, alive map[string]view.Member) api.ChangeRequest {
	next := initialMembers(alive)
	r := putMembers(next)
	for _, name := range s.MemberNames() {
		if !slices.ContainsFunc(next, func(m config.Member) bool { return m.Name == name }) {
			r.Delete = append(r.Delete, config.Ref{Kind: config.KindMember, Name: name})
		}
	}
	return r
}

// removable returns the first member, in order of name, that has been down for
// memberDown, or that is down and has not been listed for memberUnlisted.
func (mm *memberManager) removable(now time.Duration) (string, bool) {
	first := ""
	for name, since := range mm.downSince {
		unlistedSince, ok := mm.unlistedSince[name]
		expired := now-since >= memberDown || (ok && now-unlistedSince >= memberUnlisted)
		if expired && (first == "" || name < first) {
			first = name
		}
	}
	return first, first != ""
}

// isResponsible reports whether this instance is the first member, in order of
// name, that is alive and not leaving, or no member is. It avoids most races of
// members that make the same change.
func (mm *memberManager) isResponsible(s *config.State, alive map[string]view.Member) bool {
	for _, name := range s.MemberNames() {
		if m, ok := alive[name]; ok && !m.Leaving {
			return name == mm.self
		}
	}
	return true
}

// initialMembers returns a list of up to MaxMembers instances, distributed
// evenly over the data centres.
func initialMembers(alive map[string]view.Member) []config.Member {
	byDataCentre := map[string][]config.Member{}
	for _, name := range sortedNames(alive) {
		if m := alive[name]; !m.Leaving {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], newMember(m))
		}
	}
	var list []config.Member
	for len(byDataCentre) > 0 {
		for _, dc := range sortedNames(byDataCentre) {
			if len(list) == MaxMembers {
				return list
			}
			list = append(list, byDataCentre[dc][0])
			if byDataCentre[dc] = byDataCentre[dc][1:]; len(byDataCentre[dc]) == 0 {
				delete(byDataCentre, dc)
			}
		}
	}
	return list
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func newMember(m view.Member) config.Member {
	return config.Member{Meta: config.Meta{Name: m.Name}, DataCentre: m.DataCentre}
}

func putMembers(list []config.Member) api.ChangeRequest {
	return api.ChangeRequest{Put: config.Objects{Members: list}}
}

// runMemberList maintains the member list until ctx ends.
func (c *Controller) runMemberList(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(memberListPeriod/2 + rand.N(memberListPeriod)):
		}
		c.updateMemberList(ctx)
	}
}

func (c *Controller) updateMemberList(ctx context.Context) {
	v := c.o.Views.Load()
	if c.l.Peers == nil || !c.hasReadStore() {
		return
	}
	c.mu.Lock()
	r, ok := c.memberManager.Step(c.o.Clock.Now(), v.Config, v.Members, c.l.Peers.Listed)
	c.mu.Unlock()
	if !ok {
		return
	}
	r.Expected = &v.Config.Version
	_, err := c.Commit(ctx, memberListAuthor, "member list", r)
	var ce *code.Error
	if errors.As(err, &ce) && (ce.Number == code.VersionConflict || ce.Number == code.MemberChangePending) {
		return // level-triggered: the next check decides again
	}
	if err != nil && ctx.Err() == nil {
		c.o.Log.Warn("member list not changed", "error", err)
	}
}

func (c *Controller) majorityUnlisted(s *config.State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memberManager.majorityUnlisted(c.o.Clock.Now(), s)
}

func (c *Controller) hasReadStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.HasReadStore()
}
