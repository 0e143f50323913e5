package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/view"
)

// Sync reads the head and installs every change up to it.
func (c *Controller) Sync(ctx context.Context) error {
	if err := c.storeReads.Acquire(ctx, 1); err != nil {
		return err
	}
	defer c.storeReads.Release(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	started := c.o.Clock.Now()
	h, _, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if err := c.installUpTo(ctx, h.Version); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.HandleStoreRead(started, h.Version)
	c.updateFreshnessLocked()
	return nil
}

func (c *Controller) readHead(ctx context.Context) (head, uint64, error) {
	row, err := c.o.Table.Get(ctx, headKey)
	if errors.Is(err, infra.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, fmt.Errorf("read configuration head: %w", err)
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, fmt.Errorf("decode configuration head: %w", err)
	}
	return h, row.Version, nil
}

// installUpTo reads and installs the configuration up to version. It returns an
// error if version is below the installed one. A store that serves a version
// below one that was in force is faulty. A version that is only below the
// installed one may come from a response that is older than the installation.
func (c *Controller) installUpTo(ctx context.Context, version uint64) error {
	cur := c.o.Views.Load().Config
	if version < cur.Version {
		return c.storeBehind(version, cur.Version)
	}
	s, changes, err := c.readUpTo(ctx, cur, version)
	if errors.Is(err, config.ErrVersionGap) && c.fetchFromPeers(ctx, version) {
		return nil
	}
	if err != nil {
		return err
	}
	c.install(s, changes...)
	return nil
}

// readLog applies the log rows after s up to version, and returns the new State
// and the changes. It returns config.ErrVersionGap when the log no longer contains
// the first of them.
func (c *Controller) readLog(ctx context.Context, s *config.State, version uint64) (*config.State, []config.Change, error) {
	var changes []config.Change
	for s.Version < version {
		rows, err := c.o.Table.List(ctx, logPrefix, logKey(s.Version), logPage)
		if err != nil {
			return nil, nil, fmt.Errorf("read configuration log: %w", err)
		}
		if len(rows) == 0 {
			return nil, nil, fmt.Errorf("configuration log ends at %d, head is %d", s.Version, version)
		}
		next, page, err := fold(s, rows, version)
		if err != nil {
			return nil, nil, err
		}
		s = next
		changes = append(changes, page...)
	}
	return s, changes, nil
}

func (c *Controller) storeBehind(served, installed uint64) error {
	if served < c.InForce() {
		c.o.Scope.Counter("store_version_fell").Inc(1)
		c.o.Log.Error("store serves an old version", "served", served, "installed", installed)
	}
	return fmt.Errorf("store serves version %d, below the installed %d", served, installed)
}

// fold applies log rows to s, up to the version upTo. It returns the new State and
// the changes.
func fold(s *config.State, rows []infra.Row, upTo uint64) (*config.State, []config.Change, error) {
	var changes []config.Change
	for _, row := range rows {
		if s.Version == upTo {
			break
		}
		var l logRow
		if err := json.Unmarshal(row.Value, &l); err != nil {
			return nil, nil, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		next, err := s.Apply(l.Change)
		if err != nil {
			return nil, nil, fmt.Errorf("apply %s: %w", row.Key, err)
		}
		s = next
		changes = append(changes, l.Change)
	}
	return s, changes, nil
}

// install makes s this instance's State, unless the same or a newer version is
// installed. The changes are the last ones that lead to s. They are buffered for
// peers that are behind, and may be incomplete or omitted.
func (c *Controller) install(s *config.State, changes ...config.Change) {
	installed := false
	c.o.Views.Update(func(v *view.View) {
		old := v.Config.Version
		if s.Version <= old {
			return
		}
		v.SetConfig(s)
		installed = invariant.Check(invariant.ConfigNeverReverts, v.Config.Version > old,
			"installed version %d over %d", v.Config.Version, old)
	})
	if !installed {
		return
	}
	c.mu.Lock()
	for _, change := range changes {
		c.recent.add(change)
	}
	c.recordInstalled(s)
	c.mu.Unlock()
	if c.l.OnInstalled != nil {
		c.l.OnInstalled(s)
	}
	c.o.Scope.Counter("config_installed").Inc(1)
	c.o.Log.Info("configuration installed", "version", s.Version)
}

// recordInstalled updates the reader and the tracker after an installation. Of
// two concurrent installations, the one with the lower version may call it last;
// the reader rejects that version. The caller must hold mu.
func (c *Controller) recordInstalled(s *config.State) {
	members := s.MemberNames()
	if err := c.reader.Install(s.Version, members); err != nil {
		return
	}
	c.tracker.Install(s.Version, members)
	for m, v := range c.confirmedVersions {
		if slices.Contains(members, m) {
			c.tracker.Confirm(m, v)
		}
	}
	c.updateFreshnessLocked()
}
