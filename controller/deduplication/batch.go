package deduplication

import (
	"context"
	"sync"

	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
)

const (
	// claimWriters is the maximum number of concurrent batches of claims, and
	// batchClaims the maximum number of claims in one.
	claimWriters = 4
	batchClaims  = 32
)

// claimWrite is a queued write of one claim.
type claimWrite struct {
	name string
	w    dedup.Write
	done chan effect.Outcome // has room for the outcome, so that a send never blocks
}

// batcher writes claims. Claims that wait at the same time share a transaction.
type batcher struct {
	rows  rows
	queue chan *claimWrite
}

func newBatcher(r rows) *batcher {
	return &batcher{rows: r, queue: make(chan *claimWrite, maxClaims)}
}

// write performs one claim's write and returns its outcome. A write that is still
// queued when ctx ends may be performed later.
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

// run writes queued claims until ctx ends.
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
					b.commit(ctx, b.collect(first))
				}
			}
		})
	}
}

// collect returns first together with other queued claims, up to batchClaims.
func (b *batcher) collect(first *claimWrite) []*claimWrite {
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

// commit writes claims in one transaction. Claims that can't share it, because
// they are for the same row or for another generation, are written separately.
// If the transaction conflicts, all claims are written separately.
func (b *batcher) commit(ctx context.Context, batch []*claimWrite) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var separate, together []*claimWrite
	generation := batch[0].w.Generation
	names := map[string]bool{}
	ops := []infra.Op{infra.CheckVersion(generationKey, generation)}
	for _, c := range batch {
		if names[c.name] || c.w.Generation != generation {
			separate = append(separate, c)
			continue
		}
		names[c.name] = true
		together = append(together, c)
		ops = append(ops, claimOps(c.name, c.w)...)
	}
	o := infra.EffectOf(b.rows.table.Commit(ctx, ops...))
	if o == effect.Conflict && len(together) > 1 {
		separate = append(separate, together...)
		together = nil
	}
	for _, c := range together {
		c.done <- o
	}
	var wg sync.WaitGroup
	for _, c := range separate {
		wg.Go(func() { c.done <- infra.EffectOf(b.rows.claim(ctx, c.name, c.w)) })
	}
	wg.Wait()
}
