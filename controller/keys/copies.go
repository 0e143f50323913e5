package keys

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/infra"
	"golang.org/x/sync/errgroup"
)

const (
	// copyTimeout bounds one call of the object store.
	copyTimeout = 2 * time.Second
	// restoreTimeout is how long an instance that starts tries to read copies,
	// and restoreRetryDelay is the time between two attempts.
	restoreTimeout    = 5 * time.Second
	restoreRetryDelay = 250 * time.Millisecond
	// restoreConcurrency is the number of copies that are read concurrently.
	restoreConcurrency = 8
)

var (
	errNotRestored = errors.New("keys: copies of earlier instances have not been read yet")
	errNotMember   = errors.New("keys: instance is not a member, so its copies would not be read")
)

// copies stores the withdrawals that were requested at this instance in the
// object store until they are in the table, and reads those that earlier
// instances left there. Each instance writes one object under its own name, so
// that instances don't overwrite each other's objects.
type copies struct {
	objects infra.Objects
	self    string
	// restored is set when the copies of earlier instances were read, or when
	// reading them timed out, and from the start if there is no object store.
	restored atomic.Bool
	// membersLoaded is closed when the first configuration, and with it the
	// member list, is installed.
	membersLoaded     chan struct{}
	membersLoadedOnce sync.Once

	// writePermit is a semaphore for one writer. Unlike a mutex, waiting for it
	// can time out. written is the content of the object.
	writePermit chan struct{}
	written     []copyEntry
}

// copyEntry is a withdrawal as encoded in the object store.
type copyEntry struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Who    string `json:"who"`
}

func copyName(instance string) string { return "withdrawals/" + instance }

func newCopies(objects infra.Objects, self string) *copies {
	c := &copies{objects: objects, self: self, membersLoaded: make(chan struct{}), writePermit: make(chan struct{}, 1)}
	c.restored.Store(objects == nil)
	return c
}

// update writes a list to this instance's object, or deletes the object if the
// list is empty. It returns nil if the object store has the list.
func (c *copies) update(ctx context.Context, list func() []copyEntry) error {
	if !c.restored.Load() || c.objects == nil {
		return errNotRestored
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	select {
	case c.writePermit <- struct{}{}:
		defer func() { <-c.writePermit }()
	case <-ctx.Done():
		return ctx.Err()
	}
	next := list()
	if slices.Equal(next, c.written) {
		return nil
	}
	if err := c.put(ctx, next); err != nil {
		c.written = nil // unknown outcome
		return err
	}
	c.written = next
	return nil
}

func (c *copies) put(ctx context.Context, list []copyEntry) error {
	if len(list) == 0 {
		return c.objects.Delete(ctx, copyName(c.self))
	}
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode copy: %w", err)
	}
	return c.objects.Put(ctx, copyName(c.self), data)
}

// restore reads the copies of each instance and calls add with them, until all
// are read or restoreTimeout has passed. It returns the instances whose copies
// could not be read.
func (c *copies) restore(ctx context.Context, instances []string, add func(instance string, list []copyEntry)) []string {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	for {
		instances = c.restoreOnce(ctx, instances, add)
		if len(instances) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return instances
		case <-time.After(restoreRetryDelay):
		}
	}
}

// restoreOnce tries to read the copies of each instance once, and returns the
// instances whose copies could not be read.
func (c *copies) restoreOnce(ctx context.Context, instances []string, add func(string, []copyEntry)) []string {
	var (
		g      errgroup.Group
		mu     sync.Mutex
		failed []string
	)
	g.SetLimit(restoreConcurrency)
	for _, name := range instances {
		g.Go(func() error {
			list, err := c.get(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, name)
				return nil
			}
			add(name, list)
			return nil
		})
	}
	_ = g.Wait() // failed has the instances with errors
	return failed
}

func (c *copies) get(ctx context.Context, instance string) ([]copyEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	data, err := c.objects.Get(ctx, copyName(instance))
	if errors.Is(err, infra.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []copyEntry
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decode copy of %s: %w", instance, err)
	}
	return list, nil
}

// restore reads the withdrawals that earlier instances left in the object store,
// after the member list is installed. Until it returns, this instance is not
// fresh, because HandleResponse returns false.
func (c *Controller) restore(ctx context.Context) {
	if c.copies.restored.Load() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-c.copies.membersLoaded:
	}
	names := c.o.Views.Load().Config.MemberNames()
	failed := c.copies.restore(ctx, names, c.addRestored)
	if len(failed) > 0 {
		c.o.Log.Warn("copies of withdrawals not read", "instances", failed)
		c.o.Scope.Counter("withdrawal_copies_unread").Inc(int64(len(failed)))
	}
	c.copies.restored.Store(true)
}

// addRestored adds the withdrawals in an instance's object to the pending ones.
func (c *Controller) addRestored(instance string, list []copyEntry) {
	for _, w := range list {
		if c.has(w.Digest) {
			continue
		}
		c.o.Log.Info("withdrawal found in the object store", "key", w.Name, "by", w.Who, "left_by", instance)
		c.add(&withdrawal{
			name: w.Name, digest: w.Digest, who: w.Who,
			receivedAt: c.o.Clock.Now(), restored: instance == c.o.Self,
		})
	}
}

// copyEntries returns the withdrawals that this instance's object must contain.
func (c *Controller) copyEntries() []copyEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []copyEntry
	for _, w := range c.pending {
		if w.requestedHere || w.restored {
			list = append(list, copyEntry{Name: w.name, Digest: w.digest, Who: w.who})
		}
	}
	slices.SortFunc(list, func(a, b copyEntry) int { return strings.Compare(a.Digest, b.Digest) })
	return list
}

// updateCopy writes this instance's object if it has changed. It returns nil if
// the object is up to date, so that the next start will read it.
func (c *Controller) updateCopy(ctx context.Context) error {
	if !slices.Contains(c.o.Views.Load().Config.MemberNames(), c.o.Self) {
		return errNotMember
	}
	err := c.copies.update(ctx, c.copyEntries)
	if err != nil && !errors.Is(err, errNotRestored) {
		c.o.Log.Warn("copy of withdrawals not written", "error", err)
	}
	return err
}
