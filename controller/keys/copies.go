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
	// adoptTimeout is how long an instance that starts waits for copies that
	// can't be read, and adoptPause the time between two tries.
	adoptTimeout = 5 * time.Second
	adoptPause   = 250 * time.Millisecond
	// adoptAtOnce is how many copies are read at a time.
	adoptAtOnce = 8
)

var (
	errNotAdopted = errors.New("keys: the copies of before are not read yet")
	errNotListed  = errors.New("keys: nobody looks for the copies of an instance that is no member")
)

// copies keeps the withdrawals that were asked for at this instance in the
// object store while the table does not hold them, and finds those that
// instances of before left there. Each instance writes one object, under its
// name, so that nobody overwrites another one's.
type copies struct {
	objects infra.Objects
	self    string
	// adopted says that the copies of before were read, or given up.
	adopted atomic.Bool
	// listed is closed when the members of the list are known.
	listed     chan struct{}
	listedOnce sync.Once

	// turn has room for the one who writes; written is what the object holds.
	turn    chan struct{}
	written []copied
}

// copied is a withdrawal as the object store keeps it.
type copied struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Who    string `json:"who"`
}

func copyName(instance string) string { return "withdrawals/" + instance }

func newCopies(objects infra.Objects, self string) *copies {
	c := &copies{objects: objects, self: self, listed: make(chan struct{}), turn: make(chan struct{}, 1)}
	c.adopted.Store(objects == nil)
	return c
}

// keep makes the own object hold a list, or removes it for an empty one. It
// returns nil if the store holds the list.
func (c *copies) keep(ctx context.Context, list func() []copied) error {
	if !c.adopted.Load() || c.objects == nil {
		return errNotAdopted
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	select {
	case c.turn <- struct{}{}:
		defer func() { <-c.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	next := list()
	if slices.Equal(next, c.written) {
		return nil
	}
	if err := c.put(ctx, next); err != nil {
		c.written = nil // not known
		return err
	}
	c.written = next
	return nil
}

func (c *copies) put(ctx context.Context, list []copied) error {
	if len(list) == 0 {
		return c.objects.Delete(ctx, copyName(c.self))
	}
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode copy: %w", err)
	}
	return c.objects.Put(ctx, copyName(c.self), data)
}

// adopt calls found with the copies of each instance of a list, until all were
// read or adoptTimeout is over. It returns those that could not be read.
func (c *copies) adopt(ctx context.Context, instances []string, found func(instance string, list []copied)) []string {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for {
		instances = c.adoptOnce(ctx, instances, found)
		if len(instances) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return instances
		case <-time.After(adoptPause):
		}
	}
}

// adoptOnce returns the instances whose copies could not be read.
func (c *copies) adoptOnce(ctx context.Context, instances []string, found func(string, []copied)) []string {
	var (
		g    errgroup.Group
		mu   sync.Mutex
		left []string
	)
	g.SetLimit(adoptAtOnce)
	for _, name := range instances {
		g.Go(func() error {
			list, err := c.get(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				left = append(left, name)
				return nil
			}
			found(name, list)
			return nil
		})
	}
	_ = g.Wait() // the errors are in left
	return left
}

func (c *copies) get(ctx context.Context, instance string) ([]copied, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	data, err := c.objects.Get(ctx, copyName(instance))
	if errors.Is(err, infra.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []copied
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decode copy of %s: %w", instance, err)
	}
	return list, nil
}

// adopt reads what instances of before left in the object store, once the list
// is known. This instance is not fresh before; see Answered.
func (c *Controller) adopt(ctx context.Context) {
	if c.copies.adopted.Load() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-c.copies.listed:
	}
	names := c.o.Views.Load().Config.MemberNames()
	left := c.copies.adopt(ctx, names, c.found)
	if len(left) > 0 {
		c.o.Log.Warn("copies of withdrawals not read", "instances", left)
		c.o.Scope.Counter("withdrawal_copies_unread").Inc(int64(len(left)))
	}
	c.copies.adopted.Store(true)
}

func (c *Controller) found(instance string, list []copied) {
	for _, w := range list {
		if c.knows(w.Digest) {
			continue
		}
		c.o.Log.Info("withdrawal found in the object store", "key", w.Name, "by", w.Who, "left_by", instance)
		c.add(&withdrawal{
			name: w.Name, digest: w.Digest, who: w.Who,
			heardAt: c.o.Clock.Now(), found: instance == c.o.Self,
		})
	}
}

// ownCopies lists the withdrawals that this instance's object must hold.
func (c *Controller) ownCopies() []copied {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []copied
	for _, w := range c.pending {
		if w.own || w.found {
			list = append(list, copied{Name: w.name, Digest: w.digest, Who: w.who})
		}
	}
	slices.SortFunc(list, func(a, b copied) int { return strings.Compare(a.Digest, b.Digest) })
	return list
}

// keepCopies brings the own object up to date. It returns nil if the object
// store holds what it must, and the next start will find it.
func (c *Controller) keepCopies(ctx context.Context) error {
	if !slices.Contains(c.o.Views.Load().Config.MemberNames(), c.o.Self) {
		return errNotListed
	}
	err := c.copies.keep(ctx, c.ownCopies)
	if err != nil && !errors.Is(err, errNotAdopted) {
		c.o.Log.Warn("copy of withdrawals not written", "error", err)
	}
	return err
}
