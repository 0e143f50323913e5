package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

const (
	// startChanges is the number of changes before the start that is measured.
	startChanges = 100_000
	// startTeams is the number of objects that these changes modify.
	startTeams = 200
)

// timedTable measures the total time of its List calls.
type timedTable struct {
	infra.Table
	spent time.Duration
}

func (t *timedTable) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	started := time.Now()
	rows, err := t.Table.List(ctx, prefix, after, limit)
	t.spent += time.Since(started)
	return rows, err
}

// fillStore commits startChanges changes to the fake platform and returns an
// instance that is up to date. With snapshots, it also writes snapshots and
// trims the log.
func fillStore(b *testing.B, p *fakeplatform.Platform, snapshots bool) *Controller {
	b.Helper()
	ctx := context.Background()
	c := newTest(p, "writer")
	s := config.NewState()
	for i := range startChanges {
		change := config.Change{Version: s.Version + 1, Put: putTeam(fmt.Sprintf("team-%d", i%startTeams)).Put}
		change.Put.Teams[0].Weight = float64(i + 1)
		next, err := s.Apply(change)
		if err != nil {
			b.Fatal(err)
		}
		row, _ := p.Row(headKey)
		ops, err := commitOps(row.Version, logRow{Change: change}, api.AuditRow{Version: change.Version})
		if err != nil {
			b.Fatal(err)
		}
		if err := c.o.Table.Commit(ctx, ops...); err != nil {
			b.Fatal(err)
		}
		s = next
		c.install(s, change)
		if snapshots && s.Version%snapshotEvery == 0 && s.Version < startChanges {
			if err := c.snapshot(ctx); err != nil {
				b.Fatal(err)
			}
		}
	}
	return c
}

// BenchmarkStart measures the reads and the time that an instance needs to start
// from the store, without peers and without storeTimeout.
func BenchmarkStart(b *testing.B) {
	for _, snapshots := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshots=%v", snapshots), func(b *testing.B) {
			p := fakeplatform.New(fakeplatform.Options{})
			writer := fillStore(b, p, snapshots)
			before := p.Record().Reads
			table := &timedTable{Table: writer.o.Table}
			b.ResetTimer()
			for b.Loop() {
				c := newTest(p, "new")
				c.o.Table = table
				h, _, err := c.readHead(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				if err := c.installUpTo(context.Background(), h.Version); err != nil {
					b.Fatal(err)
				}
				if c.Version() != writer.Version() {
					b.Fatalf("version %d, want %d", c.Version(), writer.Version())
				}
			}
			b.ReportMetric(float64(table.spent.Milliseconds())/float64(b.N), "list-ms/op")
			b.ReportMetric(float64(p.Record().Reads-before)/float64(b.N), "reads/op")
			b.ReportMetric(float64(len(p.Rows(logPrefix))), "log-rows")
		})
	}
}
