package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/freshness"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

// catchUpTimeout bounds one fetch of a State from a peer.
const catchUpTimeout = time.Second

// Fill adds this instance's version to a message. To a response it also adds the
// freshness reports that this instance has. If the requesting peer has the same
// member list, the reports are packed: they have no names and are in the order of
// the list. Requests carry no reports, because a pushed report can't make an
// instance fresh.
func (c *Controller) Fill(e *gossipv1.Envelope, _ string, request *gossipv1.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &gossipv1.Freshness{
		Version: c.reader.Version(),
		Vouches: c.reader.Vouches(),
		List:    freshness.ListDigest(c.reader.Members()),
	}
	e.Freshness = f
	if request == nil {
		return
	}
	reports := c.reader.Reports(c.o.Clock.Now())
	if request.GetFreshness().GetList() == f.List {
		f.Ages = freshness.Pack(c.reader.Members(), reports)
		f.Behind = c.versionLags(f.Version)
		return
	}
	for _, r := range reports {
		f.Words = append(f.Words, &gossipv1.Word{
			Member:    r.Member,
			Version:   c.confirmedVersion(r.Member),
			AgeMicros: uint64((r.Age + time.Microsecond - 1) / time.Microsecond), // rounded up: a report must not seem newer
		})
	}
}

// versionLags returns how far each member's confirmed version is below version,
// in the order of the member list, or nil if none is. The caller must hold mu.
func (c *Controller) versionLags(version uint64) []uint64 {
	members := c.reader.Members()
	list := make([]uint64, len(members))
	for i, m := range members {
		list[i] = version - min(version, c.confirmedVersion(m))
	}
	if slices.Max(append(list, 0)) == 0 {
		return nil
	}
	return list
}

// reports returns the freshness reports in a message, and the version that each
// member confirms. Packed reports are used only if the sender has the same
// member list. The caller must hold mu.
func (c *Controller) reports(f *gossipv1.Freshness) ([]freshness.Report, map[string]uint64) {
	confirmed := make(map[string]uint64)
	members := c.reader.Members()
	if len(f.GetAges()) > 0 && f.GetList() == freshness.ListDigest(members) {
		reports := freshness.Unpack(members, f.GetAges())
		for _, r := range reports {
			confirmed[r.Member] = f.GetVersion()
		}
		for i, n := range f.GetBehind() {
			if i < len(members) && confirmed[members[i]] > 0 {
				confirmed[members[i]] -= min(n, f.GetVersion())
			}
		}
		return reports, confirmed
	}
	var reports []freshness.Report
	for _, r := range f.GetWords() {
		reports = append(reports, freshness.Report{Member: r.Member, Age: time.Duration(r.AgeMicros) * time.Microsecond})
		confirmed[r.Member] = r.Version
	}
	return reports, confirmed
}

// confirmedVersion returns the version that a member has confirmed, or 0. The
// caller must hold mu.
func (c *Controller) confirmedVersion(member string) uint64 {
	if member == c.o.Self {
		return c.reader.Version()
	}
	return c.confirmedVersions[member]
}

// HandlePush handles the request of an exchange that a peer started. It may be
// old, so it is used only to confirm versions and to discover a higher version.
func (c *Controller) HandlePush(ctx context.Context, e *gossipv1.Envelope) {
	c.catchUp(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmVersions(e)
	c.updateFreshnessLocked()
}

// HandleResponse handles the response to an exchange that this instance started
// at the boot time started. It reports whether the response counts for freshness,
// which requires that this instance's version is not below the peer's.
func (c *Controller) HandleResponse(ctx context.Context, started time.Duration, e *gossipv1.Envelope) bool {
	c.catchUp(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.confirmVersions(e)
	counts := c.reader.HandleReply(started, e.GetName(), e.GetFreshness().GetVersion(), reports)
	c.updateFreshnessLocked()
	return counts
}

// confirmVersions records the versions that a message confirms, and returns the
// message's freshness reports. The caller must hold mu.
func (c *Controller) confirmVersions(e *gossipv1.Envelope) []freshness.Report {
	f := e.GetFreshness()
	if f.GetVouches() {
		c.confirmVersion(e.GetName(), f.GetVersion())
	}
	reports, confirmed := c.reports(f)
	for member, version := range confirmed {
		c.confirmVersion(member, version)
	}
	return reports
}

// confirmVersion records a version that a member confirms. Only members are
// recorded, which bounds the map. The caller must hold mu.
func (c *Controller) confirmVersion(member string, version uint64) {
	members := c.o.Views.Load().Config.Members
	if _, ok := members[member]; !ok || member == c.o.Self {
		return
	}
	for name := range c.confirmedVersions {
		if _, ok := members[name]; !ok {
			delete(c.confirmedVersions, name)
		}
	}
	c.confirmedVersions[member] = max(c.confirmedVersions[member], version)
	c.tracker.Confirm(member, version)
}

// catchUp fetches and installs the State of a peer whose version is higher. If
// that fails, it wakes Run to read the store.
func (c *Controller) catchUp(ctx context.Context, e *gossipv1.Envelope) {
	version := e.GetFreshness().GetVersion()
	if version <= c.Version() || c.l.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := c.fetchState(ctx, e.GetName()); err != nil {
		c.o.Log.Warn("configuration not fetched", "peer", e.GetName(), "version", version, "error", err)
		select {
		case c.wake <- struct{}{}: // read the store instead
		default:
		}
	}
}

func (c *Controller) fetchState(ctx context.Context, peer string) error {
	data, err := c.l.Peers.State(ctx, peer, c.Version())
	if err != nil {
		return err
	}
	if len(data) == 0 {
		return nil
	}
	var resp stateResponse
	if err := json.Unmarshal(data, &resp); err != nil {
		return fmt.Errorf("decode state of %s: %w", peer, err)
	}
	if err := c.applyStateResponse(resp); err != nil {
		return fmt.Errorf("state of %s: %w", peer, err)
	}
	c.l.Peers.NotifyPeers()
	c.o.Scope.Counter("config_from_peer").Inc(1)
	return nil
}

// stateResponse is the response to a peer that is behind: the changes that it
// lacks or, if they are no longer buffered, the complete State.
type stateResponse struct {
	Changes []config.Change `json:"changes,omitempty"`
	State   *config.State   `json:"state,omitempty"`
}

// applyStateResponse installs the State or the changes that a peer returned.
func (c *Controller) applyStateResponse(resp stateResponse) error {
	if resp.State != nil {
		c.install(resp.State)
		return nil
	}
	s := c.o.Views.Load().Config
	for _, change := range resp.Changes {
		if change.Version <= s.Version {
			continue // installed since the request
		}
		next, err := s.Apply(change)
		if err != nil {
			return fmt.Errorf("apply version %d: %w", change.Version, err)
		}
		s = next
	}
	c.install(s, resp.Changes...)
	return nil
}

// State returns, in JSON, the changes from version after to this instance's
// State, or the complete State. It returns nil if the State's version is not
// above after.
func (c *Controller) State(after uint64) ([]byte, error) {
	s := c.o.Views.Load().Config
	if s.Version <= after {
		return nil, nil
	}
	c.mu.Lock()
	changes, ok := c.recent.between(after, s.Version)
	c.mu.Unlock()
	if ok {
		return json.Marshal(stateResponse{Changes: changes})
	}
	return json.Marshal(stateResponse{State: s})
}

// appendBehind adds to missing the instances believed alive that report a lower
// version, and sorts it.
func (c *Controller) appendBehind(missing []string, version uint64) []string {
	for name, m := range c.o.Views.Load().Members {
		if name != c.o.Self && m.ConfigVersion < version && !slices.Contains(missing, name) {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}
