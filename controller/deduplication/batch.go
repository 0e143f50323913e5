package deduplication

import (
	"context"
	"sync"

	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
)

const (
	// claimWriters is the number of transactions with claims under way at a
	// time, and batchClaims bounds the claims in one.
	claimWriters = 4
	batchClaims  = 32
)

// claimWrite is one claim's write, on its way to the table.
type claimWrite struct {
	name string
	w    dedup.Write
	done chan effect.Outcome // has room for the one outcome
}

// batcher writes claims, those that wait at the same time together.
type batcher struct {
	rows  rows
	queue chan *claimWrite
}

func newBatcher(r rows) *batcher {
	return &batcher{rows: r, queue: make(chan *claimWrite, maxClaims)}
}

// write carries out one claim's write. One that is still in the queue when ctx
// ends may yet be written.
func (b *batcher) write(ctx context.Context, name string, w dedup.Write) effect.Outcome {
	c := &claimWrite{name: name, w: w, done: make(chan effect.Outcome, 1)}
	select {
	case b.queue <- c:
	case <-ctx.Done():
		return effect.None
	}
	select {
	case o := <-c.done:
		return o
	case <-ctx.Done():
		return effect.Unknown
	}
}

// run writes until ctx ends.
func (b *batcher) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range claimWriters {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case first := <-b.queue:
					b.commit(ctx, b.take(first))
				}
			}
		})
	}
}

// take returns the first claim with others that wait.
func (b *batcher) take(first *claimWrite) []*claimWrite {
	batch := []*claimWrite{first}
	for len(batch) < batchClaims {
		select {
		case c := <-b.queue:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

// commit writes claims in one transaction. Those that can't share it, because
// they are for the same row or another generation, and all of them if one meets
// another version, are written one by one.
func (b *batcher) commit(ctx context.Context, batch []*claimWrite) {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	var alone, together []*claimWrite
	generation := batch[0].w.Generation
	names := map[string]bool{}
	ops := []infra.Op{infra.Check(generationKey, generation)}
	for _, c := range batch {
		if names[c.name] || c.w.Generation != generation {
			alone = append(alone, c)
			continue
		}
		names[c.name] = true
		together = append(together, c)
		ops = append(ops, claimOps(c.name, c.w)...)
	}
	o := infra.EffectOf(b.rows.table.Commit(ctx, ops...))
	if o == effect.Conflict && len(together) > 1 {
		alone = append(alone, together...)
		together = nil
	}
	for _, c := range together {
		c.done <- o
	}
	var wg sync.WaitGroup
	for _, c := range alone {
		wg.Go(func() { c.done <- infra.EffectOf(b.rows.claim(ctx, c.name, c.w)) })
	}
	wg.Wait()
}
