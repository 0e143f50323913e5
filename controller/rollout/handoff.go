package rollout

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1/rolloutv1connect"
	"github.com/cumincove/cumincove/view"
)

const (
	// handOffTimeout bounds the hand-off of all steps.
	handOffTimeout = 5 * time.Second
	// scoringTimeout bounds the wait for the scores of groups. The wait counts
	// towards handOffTimeout.
	scoringTimeout = 2 * time.Second
	// flushPause is the time between two polls of a batch that is being
	// written.
	flushPause = 10 * time.Millisecond
)

var errNoSuccessor = errors.New("no other instance")

// HandOff transfers the steps of this instance, which is about to shut down,
// to other instances. For each step it stores the complete groups, writes the
// name of another instance into the owner row, and then calls that instance, so
// that it continues at once. A step whose transfer fails is taken over when its
// trainer pulls.
func (c *Controller) HandOff(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	c.mu.Lock()
	var owned []*worker
	for _, w := range c.workers {
		owned = append(owned, w)
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, w := range owned {
		wg.Go(func() {
			err := w.handOff(ctx)
			c.o.Log.Info("step handed off", "step", w.key.id, "error", err)
			c.o.Scope.Counter("rollout_handovers").Inc(1)
		})
	}
	wg.Wait()
}

func (w *worker) handOff(ctx context.Context) error {
	next, ok := w.c.successor(w.key)
	if !ok {
		return errNoSuccessor
	}
	w.mu.Lock()
	w.step.StopScoring()
	w.mu.Unlock()
	w.flush(ctx)
	o := ownerRow{Instance: next.Name, Epoch: w.epoch + 1, Nonce: uuid.NewString()}
	if err := w.c.rows.takeOver(ctx, w.key, w.version, o); err != nil {
		return err
	}
	w.c.rememberOwner(w.key, next.Name)
	w.c.drop(w)
	peer := rolloutv1connect.NewRolloutServiceClient(w.c.o.Peers, "http://"+next.PeerAddr, outbound.Data())
	_, err := peer.Progress(ctx, connect.NewRequest(&rolloutv1.ProgressRequest{Step: w.key.proto()}))
	return err
}

// flush stores the complete groups, as far as the store is available, and waits
// up to scoringTimeout for the scores of groups that are being scored.
func (w *worker) flush(ctx context.Context) {
	scoringEnd := w.c.o.Clock.Now() + scoringTimeout
	for ctx.Err() == nil {
		now := w.c.o.Clock.Now()
		w.mu.Lock()
		b, busy := w.step.Flush(now)
		busy = busy || (w.step.GroupsInScoring() > 0 && now < scoringEnd)
		w.mu.Unlock()
		switch {
		case b != nil:
			w.write(b)
		case busy:
			time.Sleep(flushPause)
		default:
			return
		}
	}
}

// successor picks another instance that is not leaving. The choice depends on a
// hash of the step's key, which distributes the steps over the instances.
func (c *Controller) successor(k stepKey) (view.Member, bool) {
	var candidates []view.Member
	for name, m := range c.o.Views.Load().Members {
		if name != c.o.Self && !m.Leaving && m.PeerAddr != "" {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return view.Member{}, false
	}
	slices.SortFunc(candidates, func(a, b view.Member) int { return cmp.Compare(a.Name, b.Name) })
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.owner())) // never fails
	return candidates[h.Sum32()%uint32(len(candidates))], true
}

// workerIfOwner returns the worker of a step, or nil if this instance does not
// own the step. It starts a worker if the owner row names this instance, which
// means that a leaving owner handed the step off to it.
func (c *Controller) workerIfOwner(ctx context.Context, k stepKey) *worker {
	if w := c.local(k); w != nil {
		return w
	}
	name, err := c.owner(ctx, k)
	if err != nil || name != c.o.Self {
		return nil
	}
	w, err := c.takeOver(ctx, k)
	if err != nil {
		c.o.Log.Warn("step not started", "step", k.id, "error", err)
		return nil
	}
	return w
}
