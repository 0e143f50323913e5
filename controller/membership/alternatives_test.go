package membership

import (
	"testing"
	"time"

	"github.com/cumincove/cumincove/freshness"
)

// TestMeasureAlternatives compares the freshness rule with two alternatives:
// store reads only, and gossip without refusing any requests. Ten instances run
// through one minute of store outage, network split, or both. It measures the
// instance-seconds in which requests were refused, and those in which an instance
// served requests without having received a withdrawal that was acknowledged
// more than three seconds before.
//
//	go test ./controller/membership -run MeasureAlternatives -v
func TestMeasureAlternatives(t *testing.T) {
	for _, c := range []struct {
		name             string
		storeDown, split bool
	}{
		{"store outage", true, false},
		{"split 7 to 3", false, true},
		{"outage and split", true, true},
	} {
		r := compareRules(c.storeDown, c.split)
		t.Logf("%-17s refused: rule %5.1f s, store only %5.1f s, gossip only %5.1f s; late: rule %5.1f s, gossip only %5.1f s",
			c.name, r.refused, r.refusedStoreOnly, 0.0, r.late, r.lateGossipOnly)
		if r.late > 0 {
			t.Errorf("%s: instances that had not received an acknowledged withdrawal served requests for %.1f s, want 0", c.name, r.late)
		}
		if c.storeDown && !c.split && r.refused > 0 {
			t.Errorf("%s: instances refused requests for %.1f s, want 0", c.name, r.refused)
		}
	}
}

type comparison struct {
	refused, refusedStoreOnly, late, lateGossipOnly float64 // instance-seconds
}

func compareRules(storeDown, split bool) comparison {
	const (
		n            = 10
		minute       = 600 // steps
		step         = 100 * time.Millisecond
		poll         = 5 // steps between two reads of the store
		cutFrom      = 7 // the first instance of the smaller side of the split
		withdrawStep = 50
	)
	b := newBench(n)
	b.run(benchWarm)
	started := b.now
	if split {
		b.partitioned = func(i, j int) bool { return (i < cutFrom) != (j < cutFrom) }
	}
	var r comparison
	acknowledged := time.Duration(-1)
	for i := range minute {
		if !storeDown && i%poll == 0 {
			for _, d := range b.nodes {
				d.reader.HandleStoreRead(b.now, b.version)
			}
		}
		if i == withdrawStep {
			b.startWithdrawal(1)
		}
		b.run(step)
		if acknowledged < 0 && i >= withdrawStep && b.quorum[1].Done() {
			acknowledged = b.now
		}
		for _, d := range b.nodes {
			fresh := d.reader.Fresh(b.now)
			if !fresh {
				r.refused += step.Seconds()
			}
			if storeDown && b.now-started > *bound {
				r.refusedStoreOnly += step.Seconds()
			}
			// While the store is up, every instance reads the withdrawal there.
			received := d.withdrawals[1] || !storeDown
			if acknowledged >= 0 && b.now-acknowledged > targetStop && !received {
				r.lateGossipOnly += step.Seconds()
				if fresh {
					r.late += step.Seconds()
				}
			}
		}
	}
	return r
}

// startWithdrawal starts the withdrawal with the given ID at the first instance.
func (b *bench) startWithdrawal(id int) {
	d := b.nodes[0]
	d.withdrawals[id] = true
	b.origin[id] = 0
	b.quorum[id] = freshness.NewQuorum(b.members)
	d.node.TriggerExchanges()
	b.startExchanges(0)
}
