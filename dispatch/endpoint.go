package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/prefix"
	"github.com/cumincove/cumincove/route"
	"github.com/cumincove/cumincove/view"
)

// endpoint is the state that this instance keeps about an endpoint in addition to
// the endpoint's entry in the snapshot, a view.Endpoint.
type endpoint struct {
	stats *view.Stats
	// limit and ejectedUntil are copies of the results of limiter and health.
	// They can be read without the lock.
	limit        atomic.Int64
	ejectedUntil atomic.Int64
	// reportAt is the time of the last observed load report, and
	// inFlightAtReport the number of requests that this instance had in flight
	// at the endpoint when it first observed that report.
	reportAt         atomic.Int64
	inFlightAtReport atomic.Int64
	// ownInFlight is the number of slots in use through this Dispatcher. Rollout
	// streams, which this package does not start, count in stats.InFlight only:
	// they must not use up the slots of interactive requests.
	ownInFlight atomic.Int64
	// leavingSince is the boot time at which the endpoint was first observed to
	// be leaving; zero while it is not.
	leavingSince atomic.Int64

	// cache identifies the endpoint in the prefix table, and version is its last
	// observed weight version.
	cache   prefix.Endpoint
	version atomic.Uint64

	// faultRate is a copy of health's fault rate, as the bits of a float64.
	faultRate atomic.Uint64

	mu      sync.Mutex
	limiter *limit.Limiter
	health  route.Health
	// comparedAt is when the endpoint's fault rate was last compared with that
	// of the others.
	comparedAt time.Duration
}

func (d *Dispatcher) endpoint(e *view.Endpoint) *endpoint {
	if st, ok := d.endpoints.Load(e.Stats); ok {
		return st.(*endpoint)
	}
	st := &endpoint{stats: e.Stats, limiter: limit.New(d.opt.Limit)}
	st.cache.Name = e.Name
	st.limit.Store(int64(st.limiter.Limit()))
	actual, _ := d.endpoints.LoadOrStore(e.Stats, st)
	return actual.(*endpoint)
}

// observeSnapshot records from a new snapshot whether the endpoint is leaving and
// whether its weights have changed. Changed weights invalidate its prefix cache.
// Version zero means unknown.
func (st *endpoint) observeSnapshot(e *view.Endpoint, now time.Duration) {
	if version := e.Load.WeightVersion; version != 0 {
		if old := st.version.Swap(version); old != 0 && old != version {
			st.cache.Clear(now)
		}
	}
	if !leaving(e) {
		st.leavingSince.Store(0)
		return
	}
	st.leavingSince.CompareAndSwap(0, int64(now))
}

// acquireSlot takes a slot and reports whether one was free.
func (st *endpoint) acquireSlot() bool {
	if st.ownInFlight.Add(1) > st.limit.Load() || st.stats.Reserved.Load() {
		st.ownInFlight.Add(-1)
		return false
	}
	st.countStarted()
	return true
}

// countStarted counts a request that is about to be sent.
func (st *endpoint) countStarted() {
	st.stats.InFlight.Add(1)
	st.stats.Sent.Add(1)
}

// uncountStarted reverts countStarted.
func (st *endpoint) uncountStarted() {
	st.stats.InFlight.Add(-1)
	st.stats.Sent.Add(^uint64(0))
}

func (st *endpoint) release() {
	st.ownInFlight.Add(-1)
	st.stats.InFlight.Add(-1)
}

// report combines the endpoint's last load report with this instance's own
// requests there.
func (st *endpoint) report(e *view.Endpoint, now time.Duration) route.Report {
	inFlight := st.stats.InFlight.Load()
	at := st.reportAt.Load()
	if at != int64(e.LoadAt) && st.reportAt.CompareAndSwap(at, int64(e.LoadAt)) {
		st.inFlightAtReport.Store(inFlight)
	}
	return route.Report{
		Requests:         e.Load.Running + e.Load.Waiting,
		InFlightAtReport: int(st.inFlightAtReport.Load()),
		InFlight:         int(inFlight),
		Age:              now - e.LoadAt,
	}
}

// candidates implements route.List for a list of endpoints.
type candidates struct {
	d    *Dispatcher
	list []*view.Endpoint
	work Work
	now  time.Duration
	// peers is the number of instances in the snapshot's member list.
	peers int
	// meanWork is the mean duration of the service's work.
	meanWork time.Duration
	// preferredPositions holds the positions of endpoints that are preferred
	// unless they are busier than others by more than margin, a fraction of their
	// capacity.
	preferredPositions []int
	margin             float64
	limits             limitFilter
}

// choose returns the position of an endpoint with room, or -1 if there is none.
func (c *candidates) choose() int {
	if len(c.preferredPositions) == 0 {
		return route.Choose(c, c.d.opt.Random)
	}
	at, _ := route.ChooseHolder(c, c.preferredPositions, c.margin, c.d.opt.Random)
	return at
}

// Len returns the number of endpoints.
func (c *candidates) Len() int { return len(c.list) }

// At returns the candidate at position i.
func (c *candidates) At(i int) route.Candidate {
	e := c.list[i]
	st := c.d.endpoint(e)
	usable := e.Name != c.work.Avoid && !st.stats.Reserved.Load() && int64(c.now) >= st.ejectedUntil.Load() &&
		c.limits.allows(e, c.d.opt.RateLimits)
	report := st.report(e, c.now)
	usable = usable && (!c.work.Yields || hasSpare(e, report))
	report.Peers, report.MeanDuration = c.peers, c.meanWork
	return route.Candidate{
		Usable:   usable,
		Load:     report.Estimate(),
		Bound:    report.Bound(),
		InFlight: int(st.ownInFlight.Load()),
		Limit:    int(st.limit.Load()),
		Capacity: e.Load.MaxRunning,
		Peers:    c.peers,
		Speed:    c.d.opt.Speeds.Speed(e),
	}
}
