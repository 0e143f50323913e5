package rollout

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/rollout"
)

var (
	stepSamples = flag.Int("samples", 512, "samples per step in TestStepSize")
	stepOwners  = flag.Int("owners", 1, "concurrent steps in TestStepSize")
)

const sizeTokens = 512

// storeLatency is the duration of a store call.
const storeLatency = 10 * time.Millisecond

// countingTable counts the bytes that are written, and delays each call by
// storeLatency.
type countingTable struct {
	infra.Table
	bytes atomic.Int64
}

func (c *countingTable) Commit(ctx context.Context, ops ...infra.Op) error {
	time.Sleep(storeLatency)
	for _, op := range ops {
		c.bytes.Add(int64(len(op.Key) + len(op.Value)))
	}
	return c.Table.Commit(ctx, ops...)
}

func (c *countingTable) Get(ctx context.Context, key string) (infra.Row, error) {
	time.Sleep(storeLatency)
	return c.Table.Get(ctx, key)
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails for bad arguments only
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestStepSize measures steps at engines that generate without delay, so the
// time is that of coordination. The processor time includes that of the fake
// engines and the fake platform.
func TestStepSize(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		set := engineSet{}
		for range 64 {
			set.engines = append(set.engines, fakeengine.Options{Version: 1, ChunkTokens: sizeTokens, MaxRunning: 64})
		}
		p := fakeplatform.New(fakeplatform.Options{})
		c := set.controller(t, p)
		table := &countingTable{Table: c.o.Table}
		c.rows.table = table
		c.o.NewestVersion = func(ctx context.Context, _ string) (uint64, error) {
			_, _ = table.Get(ctx, "none") // adds the latency of a read
			return 1, nil
		}
		time.Sleep(3 * time.Second) // until all engines have reported their load
		start, processor, before := time.Now(), processorTime(), p.Record()
		var wg sync.WaitGroup
		for i := range *stepOwners {
			k := stepKey{"team", fmt.Sprintf("s%d", i)}
			spec := rollout.Spec{ID: k.id, Service: "m", Prompts: make([]string, *stepSamples/8), Samples: 8, MaxTokens: sizeTokens}
			wg.Go(func() {
				if _, err := c.open(t.Context(), k.team, "", spec); err != nil {
					t.Error(err)
				}
				run := newTailRun()
				run.max = 256
				run.pullAll(t, c, k, 1e9)
				if len(run.samples) != *stepSamples {
					t.Errorf("%s: got %d samples", k.id, len(run.samples))
				}
			})
		}
		wg.Wait()
		took, r := time.Since(start), p.Record()
		processor = processorTime() - processor
		t.Logf("%d steps of %d samples of %d tokens: %v; %d writes, %.1f MB, %d reads; %v processor time",
			*stepOwners, *stepSamples, sizeTokens, took, r.Writes-before.Writes,
			float64(table.bytes.Load())/1e6, r.Reads-before.Reads, processor.Round(time.Millisecond))
	})
}
