package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/retry"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// The simulation has 9 endpoints that each run 8 requests at once for 100 ms on
// average, 3 instances and 8 teams.
const (
	simEndpoints = 9
	simSlots     = 8
	simWork      = 100 * time.Millisecond
	simInstances = 3
	simTeams     = 8
	simDeadline  = 10 * time.Second
	simSeed      = 20261203
	simTime      = 12 * time.Second
	// simShare is the rate of one team, in requests a second, at which all teams
	// together use the whole capacity.
	simShare = float64(simEndpoints*simSlots) / 0.1 / simTeams
)

// scenario is a load and the faults that occur under it.
type scenario struct {
	name string
	// rate returns a team's requests a second at a point in time.
	rate func(team int, at time.Duration) float64
	// slow multiplies the duration of work at endpoint 0, if not zero.
	slow int
	// lag is the age of load reports.
	lag time.Duration
	// instances is the number of instances; zero means simInstances.
	instances int
	// instancesOf returns the number of instances that a team's callers use. Zero
	// or a nil function mean all instances.
	instancesOf func(team int) int
	// usageSharedFor is how long instances report the teams' usage to each other.
	usageSharedFor time.Duration
	// failAt is when a third of the endpoints starts to refuse connections.
	failAt time.Duration
}

var scenarios = []scenario{
	{name: "one team at 10 shares", rate: oneTeamOverloads, lag: time.Second},
	{name: "burst of 10 times for 5 s", rate: burst, lag: time.Second},
	{name: "one endpoint slow by 10", rate: steady, lag: time.Second, slow: 10},
	{name: "reports 1 s late", rate: steady, lag: time.Second},
	{name: "reports 5 s late", rate: steady, lag: 5 * time.Second},
	{name: "reports 20 s late", rate: steady, lag: 20 * time.Second},
	{name: "a third lost", rate: steady, lag: time.Second, failAt: 5 * time.Second},
}

func steady(int, time.Duration) float64 { return 0.6 * simShare }

func oneTeamOverloads(team int, _ time.Duration) float64 {
	if team == 0 {
		return 10 * simShare
	}
	return 0.6 * simShare
}

func burst(_ int, at time.Duration) float64 {
	if at >= 5*time.Second && at < 10*time.Second {
		return 3 * simShare
	}
	return 0.3 * simShare
}

// fakeEndpoint simulates an endpoint: as many requests as there are slots run at
// once, and the others wait in order.
type fakeEndpoint struct {
	slots    chan struct{}
	slow     int
	mu       sync.Mutex
	inFlight int // running and waiting
	// interactiveWaiting is the number of interactive requests that wait.
	interactiveWaiting atomic.Int64
	// down makes the endpoint refuse connections.
	down bool
	// faulty makes the endpoint return an error at once. received counts the
	// accepted requests.
	faulty   bool
	received int
}

var (
	errRefused = errors.New("connection refused")
	errFaulty  = errors.New("status 500")
)

func (f *fakeEndpoint) serve(ctx context.Context, work time.Duration) error {
	if !f.enter() {
		return errRefused
	}
	defer f.leave()
	if f.faulty {
		time.Sleep(time.Millisecond)
		return errFaulty
	}
	if err := f.acquireSlot(ctx); err != nil {
		return err
	}
	defer func() { <-f.slots }()
	time.Sleep(work * time.Duration(max(f.slow, 1)))
	return nil
}

func (f *fakeEndpoint) acquireSlot(ctx context.Context) error {
	f.interactiveWaiting.Add(1)
	defer f.interactiveWaiting.Add(-1)
	select {
	case f.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeEndpoint) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return false
	}
	f.inFlight++
	f.received++
	return true
}

func (f *fakeEndpoint) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
}

// load returns the endpoint's load report.
func (f *fakeEndpoint) load() engine.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := min(f.inFlight, simSlots)
	return engine.Load{Running: running, Waiting: f.inFlight - running, MaxRunning: simSlots}
}

// dispatchSimulation is one run of a scenario.
type dispatchSimulation struct {
	clock       clock.Clock
	endpoints   []*fakeEndpoint
	views       []*view.Store
	instancesOf func(team int) int
	seed        uint64
	// faultyResult is the Result reported to dispatchers for a faulty response.
	faultyResult Result
	queue        fairqueue.Options
	// dispatchers holds the dispatchers of the policy under test.
	dispatchers []*Dispatcher
	attempts    int
	requests    int

	mu             sync.Mutex
	rnd            *rand.Rand
	waits          [simTeams][]time.Duration
	failedRequests [simTeams]int // requests that ended in an error
}

// policy sends one request to an endpoint and returns when the request has ended.
type policy func(ctx context.Context, team int, work time.Duration) error

func newDispatchSimulation(sc scenario, seed uint64) *dispatchSimulation {
	s := &dispatchSimulation{clock: clock.NewMonotonic(), rnd: rand.New(rand.NewPCG(seed, 0)), instancesOf: sc.instancesOf, seed: seed, queue: fairqueue.DefaultOptions()}
	s.views = make([]*view.Store, cmp.Or(sc.instances, simInstances))
	if s.instancesOf == nil {
		s.instancesOf = func(int) int { return 0 }
	}
	for i := range simEndpoints {
		f := &fakeEndpoint{slots: make(chan struct{}, simSlots)}
		if i == 0 {
			f.slow = sc.slow
		}
		s.endpoints = append(s.endpoints, f)
	}
	c := config.NewState()
	c.Services["s"] = config.Service{Meta: config.Meta{Name: "s"}, Type: config.ServiceEngine, Endpoints: label.MustParse("")}
	for i := range simEndpoints {
		name := fmt.Sprint(i)
		c.Endpoints[name] = config.Endpoint{Meta: config.Meta{Name: name}}
	}
	members := map[string]view.Member{}
	for i := range s.views {
		members[fmt.Sprint(i)] = view.Member{}
	}
	for i := range s.views {
		s.views[i] = view.NewStore()
		s.views[i].Update(func(v *view.View) {
			v.SetConfig(c)
			v.Members = members
		})
	}
	return s
}

// endpoint returns the fake endpoint that belongs to an endpoint of a snapshot.
func (s *dispatchSimulation) endpoint(e *view.Endpoint) *fakeEndpoint {
	return s.endpoints[int(e.Name[0]-'0')]
}

// report publishes the endpoints' load reports with a delay of lag.
func (s *dispatchSimulation) report(ctx context.Context, lag time.Duration) {
	for ctx.Err() == nil {
		for _, views := range s.views {
			reports := map[string]view.LoadReport{}
			for _, e := range views.Load().Endpoints["s"] {
				reports[e.Name] = view.LoadReport{
					Load: s.endpoint(e).load(), At: s.clock.Now(), OwnInFlight: int(e.Stats.InFlight.Load()),
				}
			}
			time.AfterFunc(lag, func() {
				if ctx.Err() == nil {
					views.Update(func(v *view.View) { v.SetLoad(reports) })
				}
			})
		}
		time.Sleep(time.Second)
	}
}

// dispatchPolicy returns the policy under test: a Dispatcher for each instance,
// and a retry budget for each team at each instance.
func (s *dispatchSimulation) dispatchPolicy() policy {
	var ds []*Dispatcher
	budgets := make([][simTeams]retry.Budget, len(s.views))
	for _, views := range s.views {
		ds = append(ds, New(Options{
			Views: views, Clock: s.clock, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			Random: s.intN, Queue: s.queue, Limit: limit.DefaultOptions(),
		}))
	}
	s.dispatchers = ds
	return func(ctx context.Context, team int, work time.Duration) error {
		i := s.intN(cmp.Or(s.instancesOf(team), len(s.views)))
		w := Work{Service: "s", Team: fmt.Sprint(team), Deadline: ds[i].opt.Clock.Now() + simDeadline}
		s.mu.Lock()
		budgets[i][team].RecordRequest()
		s.mu.Unlock()
		for {
			slot, err := ds[i].Acquire(ctx, w)
			if err != nil {
				return err
			}
			err = s.attempt(ctx, s.endpoint(slot.Endpoint), work)
			slot.RecordFirstByte()
			switch {
			case err == nil:
				slot.Done(Answered)
				return nil
			case errors.Is(err, errFaulty):
				slot.Done(s.faultyResult)
				return err
			case ctx.Err() != nil:
				slot.Done(Unused)
				return err
			}
			slot.Done(Failed)
			w.Avoid = slot.Endpoint.Name
			s.mu.Lock()
			again := budgets[i][team].Spend()
			s.mu.Unlock()
			if !again {
				return err
			}
		}
	}
}

// directPolicy returns a baseline policy, which chooses an endpoint and waits in
// that endpoint's own queue. It retries refused connections without limit.
func (s *dispatchSimulation) directPolicy(choose func() int) policy {
	return func(ctx context.Context, _ int, work time.Duration) error {
		for ctx.Err() == nil {
			err := s.attempt(ctx, s.endpoints[choose()], work)
			if !errors.Is(err, errRefused) {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
		return ctx.Err()
	}
}

func (s *dispatchSimulation) attempt(ctx context.Context, f *fakeEndpoint, work time.Duration) error {
	s.mu.Lock()
	s.attempts++
	s.mu.Unlock()
	return f.serve(ctx, work)
}

// roundRobin returns a function that chooses the endpoints in rotation at each
// instance.
func (s *dispatchSimulation) roundRobin() func() int {
	var next [simInstances]int
	return func() int {
		i := s.intN(simInstances)
		s.mu.Lock()
		defer s.mu.Unlock()
		next[i]++
		return next[i] % simEndpoints
	}
}

// intN returns a random number in [0, n) from the simulation's source.
func (s *dispatchSimulation) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

// leastReported returns a function that chooses the endpoint with the least load in
// the last report.
func (s *dispatchSimulation) leastReported() func() int {
	return func() int {
		best := 0
		list := s.views[0].Load().Endpoints["s"]
		for i, e := range list {
			if e.Load.Running+e.Load.Waiting < list[best].Load.Running+list[best].Load.Waiting {
				best = i
			}
		}
		return best
	}
}

// run sends each team's requests by a Poisson process.
func (s *dispatchSimulation) run(sc scenario, p policy) {
	ctx, cancel := context.WithCancel(context.Background())
	var reporter, requests sync.WaitGroup
	reporter.Go(func() { s.report(ctx, sc.lag) })
	reporter.Go(func() { s.exchangeUsage(ctx, sc.usageSharedFor) })
	if sc.failAt > 0 {
		time.AfterFunc(sc.failAt, s.stopThird)
	}
	startTime := time.Now()
	for team := range simTeams {
		rnd := rand.New(rand.NewPCG(s.seed, uint64(team)))
		requests.Go(func() {
			for time.Since(startTime) < simTime {
				gap := rnd.ExpFloat64() / sc.rate(team, time.Since(startTime))
				time.Sleep(time.Duration(gap * float64(time.Second)))
				work := time.Duration(rnd.ExpFloat64() * float64(simWork))
				requests.Go(func() { s.sendTeamRequest(team, work, p) })
			}
		})
	}
	requests.Wait()
	cancel()
	reporter.Wait()
	time.Sleep(time.Minute) // late reports
}

func (s *dispatchSimulation) stopThird() {
	for _, f := range s.endpoints[:simEndpoints/3] {
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
	}
}

func (s *dispatchSimulation) sendTeamRequest(team int, work time.Duration, p policy) {
	ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
	defer cancel()
	startTime := time.Now()
	err := p(ctx, team, work)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if err != nil {
		s.failedRequests[team]++
		return
	}
	s.waits[team] = append(s.waits[team], time.Since(startTime)-work)
}

// worst holds the figures of the team with the highest 99th percentile of waits. A
// request that ended in an error counts as a wait of simDeadline.
type worst struct {
	p50, p99, max time.Duration
	unanswered    float64
	amplification float64
}

// worst returns the figures of the worst-served team. Teams below from are left
// out: team 0 is excluded where it sends too much.
func (s *dispatchSimulation) worst(from int) worst {
	w := worst{amplification: float64(s.attempts) / float64(s.requests)}
	for team := from; team < simTeams; team++ {
		list := slices.Clone(s.waits[team])
		for range s.failedRequests[team] {
			list = append(list, simDeadline)
		}
		slices.Sort(list)
		n := len(list)
		if p99 := list[n*99/100]; p99 >= w.p99 {
			w.p50, w.p99, w.max = list[n/2], p99, list[n-1]
			w.unanswered = float64(s.failedRequests[team]) / float64(n)
		}
	}
	return w
}

func (w worst) String() string {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("p50 %5d  p99 %5d  max %5d ms  unanswered %4.1f%%  attempts %.2f",
		ms(w.p50), ms(w.p99), ms(w.max), 100*w.unanswered, w.amplification)
}

// TestWorstServedTeam compares the dispatcher with the baselines in every
// scenario. Waits exclude the duration of the work itself.
func TestWorstServedTeam(t *testing.T) {
	for _, sc := range scenarios {
		from := 0
		if sc.name == scenarios[0].name {
			from = 1
		}
		results := map[string]worst{}
		for _, name := range []string{"dispatch", "first-in first-out", "random", "round robin", "least reported"} {
			synctest.Test(t, func(t *testing.T) {
				s := newDispatchSimulation(sc, simSeed)
				if name == "first-in first-out" {
					s.queue.TeamLength = s.queue.Length
				}
				p := s.dispatchPolicy()
				policies := map[string]policy{
					"dispatch": p,
					"first-in first-out": func(ctx context.Context, _ int, work time.Duration) error {
						return p(ctx, 0, work) // all requests belong to one team
					},
					"random":         s.directPolicy(func() int { return s.intN(simEndpoints) }),
					"round robin":    s.directPolicy(s.roundRobin()),
					"least reported": s.directPolicy(s.leastReported()),
				}
				s.run(sc, policies[name])
				results[name] = s.worst(from)
			})
			t.Logf("%-26s %-18s %v", sc.name, name, results[name])
		}
		for name, r := range results {
			if name == "first-in first-out" && from == 0 {
				continue // equal rates: the results differ only by random variation
			}
			if results["dispatch"].p99 > r.p99 {
				t.Errorf("%s: p99 of the worst-served team %v, %s %v", sc.name, results["dispatch"].p99, name, r.p99)
			}
		}
	}
}
