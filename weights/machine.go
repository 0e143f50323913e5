package weights

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultMaxReportAge  = 10 * time.Second
	DefaultMinTimeBehind = time.Second
	DefaultSettle        = 500 * time.Millisecond
	DefaultLoadTimeout   = 30 * time.Second
	DefaultMaxLoads      = 4
	DefaultTargetTime    = 4 * time.Second
)

// Backoff after failed loads of a replica.
const (
	firstRetry = 500 * time.Millisecond
	maxRetry   = 8 * time.Second
)

// Config configures a Machine.
type Config struct {
	// LocalDataCentre is the data centre whose replicas the Machine orders to
	// load.
	LocalDataCentre string
	// MaxLoads bounds the number of local replicas that load at once, to limit
	// the load on the weight store. The bound is exceeded if otherwise not all
	// local replicas would be loaded within TargetTime. A zero TargetTime means
	// that the bound is never exceeded.
	MaxLoads   int
	TargetTime time.Duration
	// MaxReportAge is the age up to which a report is used. A replica with an
	// older report counts as unresponsive.
	MaxReportAge time.Duration
	// MinTimeBehind is how long a replica must have been behind before it is
	// ordered to load. It must be longer than the delay of the reports of other
	// data centres, so that all data centres count the same replicas when they
	// split the budget.
	MinTimeBehind time.Duration
	// Settle is how long after an order a report may still show the state before
	// the order.
	Settle time.Duration
	// LoadTimeout is how long a replica may load before the load counts as
	// failed and is ordered again.
	LoadTimeout time.Duration
}

// Replica is the last report of an engine.
type Replica struct {
	Name       string
	DataCentre string
	Version    uint64
	Loading    bool
	// ObservedAt is when the report was requested, in boot time.
	ObservedAt time.Duration
}

// Order instructs a replica to load a version.
type Order struct {
	// ID stays the same while the outcome of the order is unknown.
	ID      string
	Replica string
	Version uint64
}

// Machine plans the updates of one service in one data centre.
type Machine struct {
	cfg            Config
	desiredVersion uint64
	// orders has the orders in progress, by replica.
	orders map[string]*pendingOrder
	// behindSince is when each replica was first observed to be behind.
	behindSince map[string]time.Duration
	// failures has the consecutive failed loads, by replica.
	failures map[string]*failure
	// loadTime is the moving average of the time from an order to the report
	// that the load is done.
	loadTime time.Duration
}

type pendingOrder struct {
	id      string
	sentAt  time.Duration
	loading bool // observed to be loading since the order
}

type failure struct {
	count   int
	retryAt time.Duration
}

// New returns a Machine.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:         cfg,
		orders:      map[string]*pendingOrder{},
		behindSince: map[string]time.Duration{},
		failures:    map[string]*failure{},
		loadTime:    initialLoadTime,
	}
}

// Tick returns the orders to send now. The replicas are all those of the
// service, in all data centres.
func (m *Machine) Tick(now time.Duration, desiredVersion uint64, replicas []Replica) []Order {
	if desiredVersion > m.desiredVersion {
		m.desiredVersion = desiredVersion
		clear(m.orders)
		clear(m.behindSince)
		clear(m.failures)
	}
	responsive := m.responsive(now, replicas)
	m.trackBehind(now, responsive)
	m.resolveOrders(now, responsive)
	room := min(m.localBudget(responsive), m.maxLoads(responsive)) - m.countUnavailable(responsive, true)
	room = min(room, budget(len(responsive))-m.countUnavailable(responsive, false))
	var orders []Order
	for _, r := range m.dueReplicas(now, responsive) {
		if len(orders) >= room {
			break
		}
		orders = append(orders, m.order(now, r))
	}
	return orders
}

// OrderNotSent reports that an order had no effect.
func (m *Machine) OrderNotSent(now time.Duration, o Order) {
	if p := m.orders[o.Replica]; p != nil && p.id == o.ID {
		m.recordFailure(now, o.Replica)
	}
}

// Behind returns the names of the replicas whose version is older than the
// desired one.
func (m *Machine) Behind(replicas []Replica) []string {
	var names []string
	for _, r := range replicas {
		if r.Version < m.desiredVersion {
			names = append(names, r.Name)
		}
	}
	return names
}

// responsive returns the replicas whose report is recent enough, in order of
// name.
func (m *Machine) responsive(now time.Duration, replicas []Replica) []Replica {
	var list []Replica
	for _, r := range replicas {
		if now-r.ObservedAt <= m.cfg.MaxReportAge {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// trackBehind records since when replicas have been behind.
func (m *Machine) trackBehind(now time.Duration, responsive []Replica) {
	for _, r := range responsive {
		if r.Version >= m.desiredVersion {
			delete(m.behindSince, r.Name)
			continue
		}
		if _, ok := m.behindSince[r.Name]; !ok {
			m.behindSince[r.Name] = now
		}
	}
}

// resolveOrders compares the orders in progress with the reports.
func (m *Machine) resolveOrders(now time.Duration, responsive []Replica) {
	for _, r := range responsive {
		p := m.orders[r.Name]
		if p == nil || r.ObservedAt < p.sentAt {
			continue
		}
		switch {
		case r.Version >= m.desiredVersion:
			m.updateLoadTime(r.ObservedAt - p.sentAt)
			delete(m.orders, r.Name)
			delete(m.failures, r.Name)
		case r.Loading && now < p.sentAt+m.cfg.LoadTimeout:
			p.loading = true
		case r.Loading:
			m.recordFailure(now, r.Name)
		case p.loading || r.ObservedAt >= p.sentAt+m.cfg.Settle:
			m.recordFailure(now, r.Name)
		}
	}
	for name, p := range m.orders {
		if now >= p.sentAt+m.cfg.LoadTimeout {
			m.recordFailure(now, name)
		}
	}
}

// recordFailure ends a replica's order and delays the next one with exponential
// backoff, so that a failing replica does not block the others.
func (m *Machine) recordFailure(now time.Duration, name string) {
	delete(m.orders, name)
	f := m.failures[name]
	if f == nil {
		f = &failure{}
		m.failures[name] = f
	}
	f.retryAt = now + min(firstRetry<<min(f.count, 8), maxRetry)
	f.count++
}

// dueReplicas returns the local replicas that are due to be ordered to load,
// starting with those that have failed least often.
func (m *Machine) dueReplicas(now time.Duration, responsive []Replica) []Replica {
	var list []Replica
	for _, r := range responsive {
		if r.DataCentre != m.cfg.LocalDataCentre || r.Version >= m.desiredVersion || m.orders[r.Name] != nil {
			continue
		}
		f := m.failures[r.Name]
		if (f != nil && now < f.retryAt) || now < m.behindSince[r.Name]+m.cfg.MinTimeBehind {
			continue
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b Replica) int { return m.failureCount(a.Name) - m.failureCount(b.Name) })
	return list
}

func (m *Machine) failureCount(name string) int {
	if f := m.failures[name]; f != nil {
		return f.count
	}
	return 0
}

func (m *Machine) order(now time.Duration, r Replica) Order {
	o := Order{
		ID:      fmt.Sprintf("weights.%s.%d.%d", r.Name, m.desiredVersion, m.failureCount(r.Name)),
		Replica: r.Name,
		Version: m.desiredVersion,
	}
	m.orders[r.Name] = &pendingOrder{id: o.ID, sentAt: now}
	return o
}

// countUnavailable returns the number of replicas that are loading or may start
// to load, in the local data centre only or in all data centres.
func (m *Machine) countUnavailable(responsive []Replica, localOnly bool) int {
	n := 0
	for _, r := range responsive {
		if localOnly && r.DataCentre != m.cfg.LocalDataCentre {
			continue
		}
		if r.Loading || m.orders[r.Name] != nil {
			n++
		}
	}
	return n
}
