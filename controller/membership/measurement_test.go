package membership

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/freshness"
)

// change commits a configuration version at a random instance. It returns the
// time until that instance declares the version in force, and the time until the
// last instance installs it (-1 if one does not).
func (b *bench) change() (inForce, everywhere time.Duration) {
	i := b.rnd.IntN(len(b.nodes))
	b.version++
	v, start := b.version, b.now
	b.install(i, v)
	b.nodes[i].node.TriggerExchanges()
	b.startExchanges(i)
	for b.nodes[i].tracker.Tick(b.now) < v && b.now-start < 10*benchGap {
		b.run(5 * time.Millisecond)
	}
	inForce = b.now - start
	b.run(benchGap)
	for _, d := range b.nodes {
		at, ok := d.installedAt[v]
		if !ok {
			return inForce, -1
		}
		everywhere = max(everywhere, at-start)
	}
	return inForce, everywhere
}

// withdraw starts the withdrawal with the given ID at a random instance. It
// returns the time until the withdrawal is acknowledged, and the time until the
// last instance receives it (-1 if one does not).
func (b *bench) withdraw(id int) (acknowledged, everywhere time.Duration) {
	i := b.rnd.IntN(len(b.nodes))
	start := b.now
	d := b.nodes[i]
	d.withdrawals[id] = true
	d.receivedAt[id] = start
	b.origin[id] = i
	q := freshness.NewQuorum(b.members)
	b.quorum[id] = q
	d.node.TriggerExchanges()
	b.startExchanges(i)
	for !q.Done() && b.now-start < benchGap {
		d.node.TriggerExchangesWith(b.members)
		b.startExchanges(i)
		b.run(20 * time.Millisecond)
	}
	acknowledged = b.now - start
	b.run(benchGap)
	for _, o := range b.nodes {
		at, ok := o.receivedAt[id]
		if !ok {
			return acknowledged, -1
		}
		everywhere = max(everywhere, at-start)
		delete(o.withdrawals, id) // committed
	}
	return acknowledged, everywhere
}

// quantiles formats the 50th and 99th percentiles and the maximum, in ms.
func quantiles(list []time.Duration) string {
	if len(list) == 0 {
		return "none"
	}
	slices.Sort(list)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return fmt.Sprintf("%.0f/%.0f/%.0f", ms(list[len(list)/2]), ms(list[(len(list)*99-1)/100]), ms(list[len(list)-1]))
}

// The targets: bytes per second sent by each instance, the time until a version
// is in force with up to ten instances and with more, and the time until a
// withdrawal reaches the last instance.
const (
	targetBytes      = 8_000
	targetForce      = 5 * time.Second
	targetForceLarge = 19 * time.Second
	targetStop       = 3 * time.Second
)

func TestMeasure(t *testing.T) {
	t.Logf("times are p50/p99/max in ms; sent, messages and CPU time are per instance and second")
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		m := measure(n)
		t.Log(m)
		t.Log(m.parts.rates(m.seconds))
		t.Logf("age of load reports in ms: own data centre %s, others %s", quantiles(m.local), quantiles(m.remote))
		limit := targetForce
		if n > 10 {
			limit = targetForceLarge
		}
		if m.sent > targetBytes || slices.Max(m.force) > limit || slices.Max(m.stopped) > targetStop || slices.Min(m.stopped) < 0 || m.fresh < n {
			t.Errorf("n=%d: at least one target missed", n)
		}
	}
}

type measurement struct {
	n, fresh                        int
	currentShare                    float64 // share of stored records that are less than 10 s behind
	sent, most, msgs, cpu, memory   float64 // per instance; memory in bytes
	parts                           benchParts
	seconds                         float64 // instance-seconds that parts covers
	ownObservations                 int
	local, remote                   []time.Duration // ages of load reports
	force, installed, acks, stopped []time.Duration // results of change (first two) and of withdraw
}

func (m measurement) String() string {
	return fmt.Sprintf("n=%-4d sent %.1f KB/s (most %.1f) messages %.1f/s cpu %.3f%% records current %.1f%% own observations %d memory %.2f MB fresh by reports %d at the end, %.3f%% of the time  in force %s installed %s  withdrawal acknowledged %s received by all %s",
		m.n, m.sent/1e3, m.most/1e3, m.msgs, 100*m.cpu, 100*m.currentShare, m.ownObservations, m.memory/1e6, m.fresh, 100*float64(m.parts.fresh)/float64(m.parts.ticks),
		quantiles(m.force), quantiles(m.installed), quantiles(m.acks), quantiles(m.stopped))
}

func measure(n int) measurement {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b := newBench(n)
	b.run(benchWarm)
	for _, d := range b.nodes {
		d.parts = benchParts{}
	}
	seqs := b.seqs()
	wall := time.Now()
	b.run(benchSteady)
	per := float64(n) * benchSteady.Seconds()
	m := measurement{n: n, cpu: time.Since(wall).Seconds() / per}
	for _, d := range b.nodes {
		m.parts.sum(d.parts)
		m.msgs += float64(d.parts.msgs) / per
		m.most = max(m.most, float64(d.parts.total())/benchSteady.Seconds())
		if d.reader.Fresh(b.now) {
			m.fresh++
		}
	}
	m.sent = float64(m.parts.total()) / per
	m.seconds = per
	m.currentShare = b.currentShare(seqs)
	m.ownObservations = b.ownObservations()
	m.local, m.remote = b.loadAges(true), b.loadAges(false)
	runtime.GC()
	runtime.ReadMemStats(&after)
	m.memory = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	for e := range *events {
		inForce, lastInstall := b.change()
		m.force, m.installed = append(m.force, inForce), append(m.installed, lastInstall)
		acknowledged, lastReceipt := b.withdraw(e + 1)
		m.acks, m.stopped = append(m.acks, acknowledged), append(m.stopped, lastReceipt)
	}
	return m
}
