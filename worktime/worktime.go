package worktime

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meanSamples is the number of samples in a running mean.
	meanSamples = 64
	// minSamples is the number of samples without which a mean is not used if there
	// is one over more kinds of work.
	minSamples = 4
	// halfLife is the time without a sample after which an estimate is halved. An
	// estimate that keeps work from running would otherwise never be corrected.
	halfLife = 10 * time.Second
	// maxKeys bounds the means of one Table.
	maxKeys = 4_096
)

// key identifies the work of one route and size class. A negative size stands for
// all sizes.
type key struct {
	route string
	size  int
}

const allSizes = -1

// Table estimates the time that work of one service needs at its endpoints. It is
// safe for concurrent use and takes no lock in the common case. The zero value is
// ready for use.
type Table struct {
	all   mean
	means sync.Map // key to *mean
	keys  atomic.Int64
}

// Observe records that work of a route and size took some time.
func (t *Table) Observe(now time.Duration, route string, size int, took time.Duration) {
	t.all.add(now, took)
	for _, k := range []key{{route, allSizes}, {route, sizeClass(size)}} {
		if m := t.mean(k); m != nil {
			m.add(now, took)
		}
	}
}

// Estimate returns the time that work of a route and size is expected to take: the
// mean of its size class, else that of its route, else that of all work. It returns
// zero while nothing has been observed.
func (t *Table) Estimate(now time.Duration, route string, size int) time.Duration {
	for _, k := range []key{{route, sizeClass(size)}, {route, allSizes}} {
		if m, ok := t.means.Load(k); ok && m.(*mean).samples.Load() >= minSamples {
			return m.(*mean).value(now)
		}
	}
	return t.all.value(now)
}

// Sweep deletes the means of routes that are not kept.
func (t *Table) Sweep(keep func(route string) bool) {
	t.means.Range(func(k, _ any) bool {
		if !keep(k.(key).route) {
			t.means.Delete(k)
			t.keys.Add(-1)
		}
		return true
	})
}

func (t *Table) mean(k key) *mean {
	if m, ok := t.means.Load(k); ok {
		return m.(*mean)
	}
	if t.keys.Load() >= maxKeys {
		return nil
	}
	m, loaded := t.means.LoadOrStore(k, new(mean))
	if !loaded {
		t.keys.Add(1)
	}
	return m.(*mean)
}

// sizeClass returns the class of a size: sizes of one class differ by less than a
// factor of two.
func sizeClass(size int) int { return bits.Len(uint(max(size, 0))) }

// mean is a running mean. Concurrent additions may lose a sample.
type mean struct {
	samples, nanos, at atomic.Int64
}

func (m *mean) add(now, took time.Duration) {
	n := min(m.samples.Add(1), meanSamples)
	old := m.nanos.Load()
	m.nanos.Store(old + (int64(took)-old)/n)
	m.at.Store(int64(now))
}

func (m *mean) value(now time.Duration) time.Duration {
	age := max(now-time.Duration(m.at.Load()), 0)
	return time.Duration(m.nanos.Load() >> min(age/halfLife, 62))
}
