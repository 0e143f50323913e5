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
	if err := c.reading.Acquire(ctx, 1); err != nil {
		return err
	}
	defer c.reading.Release(1)
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
	c.reader.StoreRead(started, h.Version)
	c.updateLocked()
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

// installUpTo reads what the store holds up to version. A store that serves less than a
// version which was in force is lying; what it says does not count. Less than
// the installed version alone may be an answer that was overtaken.
func (c *Controller) installUpTo(ctx context.Context, version uint64) error {
	cur := c.o.Views.Load().Config
	if version < cur.Version {
		return c.storeBehind(version, cur.Version)
	}
	s, changes, err := c.readUpTo(ctx, cur, version)
	if errors.Is(err, config.ErrVersionGap) && c.fromPeer(ctx, version) {
		return nil
	}
	if err != nil {
		return err
	}
	c.install(s, changes...)
	return nil
}

// readLog folds the log after s up to version. It returns
// config.ErrVersionGap when the log begins later.
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

// install makes s this instance's State, unless it holds a newer one. The
// changes are those that led to it, as far as they are known.
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
	c.noteInstalled(s)
	c.mu.Unlock()
	if c.l.Installed != nil {
		c.l.Installed(s)
	}
	c.o.Scope.Counter("config_installed").Inc(1)
	c.o.Log.Info("configuration installed", "version", s.Version)
}

// noteInstalled needs mu. Of two installs at once the lower one may come here
// last; the reader refuses it.
func (c *Controller) noteInstalled(s *config.State) {
	members := s.MemberNames()
	if err := c.reader.Install(s.Version, members); err != nil {
		return
	}
	c.tracker.Install(s.Version, members)
	for m, v := range c.vouched {
		if slices.Contains(members, m) {
			c.tracker.Confirm(m, v)
		}
	}
	c.updateLocked()
}
