package weights

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step = 50 * time.Millisecond
	poll = 250 * time.Millisecond
	// isolatedFetchTime is how long a replica fetches weights if no other replica
	// uses the weight store. Replicas that fetch at the same time share its rate.
	isolatedFetchTime = 500 * time.Millisecond
	// installTime is how long a replica needs to install the fetched weights.
	installTime = time.Second
)

// replica is a fake engine.
type replica struct {
	Replica
	orderedVersion uint64
	// fetchLeft and installLeft are the remaining fetch and install times.
	fetchLeft, installLeft time.Duration
	failsLoad              bool
}

// fleet is the model and its oracle: the true state of the engines.
type fleet struct {
	now            time.Duration
	desiredVersion uint64
	replicas       []*replica
	machines       map[string]*Machine
	// reportLag is the age of the reports that a data centre has of the others.
	reportLag time.Duration
	history   [][]Replica
	rng       *rand.Rand
	// pFail, pOrderLost and pResponseLost are the probabilities of a failed load,
	// a lost order and, after a lost order, an unknown outcome, in percent.
	pFail, pOrderLost, pResponseLost int

	// minServing is the smallest number of replicas that were serving at once.
	minServing int
	// doneAt is when all replicas first had the desired version; zero means
	// not yet.
	doneAt time.Duration
	// fullRate is how many replicas can fetch at once without slowing each
	// other; zero means one.
	fullRate int
	// A data centre with isolatedFrom or more replicas receives no reports of the
	// other data centres. Zero means that each data centre receives all reports.
	isolatedFrom int
}

func newFleet(seed uint64, perCentre ...int) *fleet {
	f := &fleet{desiredVersion: 1, machines: map[string]*Machine{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for i, n := range perCentre {
		dc := fmt.Sprintf("dc-%d", i)
		f.machines[dc] = New(Config{
			LocalDataCentre: dc, MaxLoads: DefaultMaxLoads, TargetTime: DefaultTargetTime, MaxReportAge: DefaultMaxReportAge,
			MinTimeBehind: DefaultMinTimeBehind, Settle: DefaultSettle, LoadTimeout: DefaultLoadTimeout,
		})
		for j := range n {
			r := Replica{Name: fmt.Sprintf("%s-%d", dc, j), DataCentre: dc, Version: 1}
			f.replicas = append(f.replicas, &replica{Replica: r, orderedVersion: 1})
		}
	}
	f.minServing = len(f.replicas)
	return f
}

func (f *fleet) occurs(percent int) bool { return f.rng.IntN(100) < percent }

// advance moves time forward by one step.
func (f *fleet) advance() {
	f.now += step
	fetching := 0
	for _, r := range f.replicas {
		if r.Loading && r.fetchLeft > 0 {
			fetching++
		}
	}
	serving, behind := 0, 0
	var currentReports []Replica
	for _, r := range f.replicas {
		r.advance(min(step, step*time.Duration(max(f.fullRate, 1))/time.Duration(max(fetching, 1))))
		if !r.Loading {
			serving++
		}
		if r.Version < f.desiredVersion {
			behind++
		}
		r.ObservedAt = f.now
		currentReports = append(currentReports, r.Replica)
	}
	f.history = append(f.history, currentReports)
	f.minServing = min(f.minServing, serving)
	if behind == 0 && f.doneAt == 0 {
		f.doneAt = f.now
	}
}

func (r *replica) advance(fetched time.Duration) {
	switch {
	case !r.Loading:
	case r.fetchLeft > 0:
		r.fetchLeft -= fetched
	case r.installLeft > 0:
		r.installLeft -= step
	default:
		r.Loading = false
		if !r.failsLoad {
			r.Version = r.orderedVersion
		}
	}
}

func (f *fleet) load(name string, version uint64) {
	for _, r := range f.replicas {
		if r.Name == name && !(r.Loading && r.orderedVersion == version) {
			r.orderedVersion, r.Loading, r.failsLoad = version, true, f.occurs(f.pFail)
			r.fetchLeft, r.installLeft = isolatedFetchTime, installTime
		}
	}
}

// reportsAt returns the reports that a data centre has: current ones of its own
// replicas, and ones of the other replicas that are reportLag old.
func (f *fleet) reportsAt(dc string) []Replica {
	steps := min(int(f.reportLag/step), len(f.history)-1)
	old := f.history[len(f.history)-1-steps]
	localCount := 0
	for _, r := range f.replicas {
		if r.DataCentre == dc {
			localCount++
		}
	}
	isolated := f.isolatedFrom > 0 && localCount >= f.isolatedFrom
	var list []Replica
	for i, r := range f.replicas {
		if r.DataCentre == dc {
			list = append(list, r.Replica)
			continue
		}
		if !isolated {
			list = append(list, old[i])
		}
	}
	return list
}

// tick runs a data centre's Machine and sends its orders.
func (f *fleet) tick(dc string) {
	m := f.machines[dc]
	for _, o := range m.Tick(f.now, f.desiredVersion, f.reportsAt(dc)) {
		if !f.occurs(f.pOrderLost) {
			f.load(o.Replica, o.Version)
			continue
		}
		if !f.occurs(f.pResponseLost) {
			m.OrderNotSent(f.now, o) // otherwise the outcome is unknown
		}
	}
}

// run moves time forward by d. The data centres tick one after the other.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.advance()
		i := 0
		for _, dc := range sortedKeys(f.machines) {
			if (f.now+time.Duration(i)*step)%poll == 0 {
				f.tick(dc)
			}
			i++
		}
	}
}

func sortedKeys(machines map[string]*Machine) []string {
	var keys []string
	for i := range len(machines) {
		keys = append(keys, fmt.Sprintf("dc-%d", i))
	}
	return keys
}

func (f *fleet) publish() {
	f.desiredVersion++
	f.doneAt = 0
}

// TestSwapsUnderFaults checks that a service always has a serving replica and
// that all replicas reach the desired version. It covers failed loads, lost
// orders and responses, versions published in quick succession and replicas that
// are moved back to an older version by another party.
func TestSwapsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 4).Draw(t, "centres")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), centres...)
		if len(f.replicas) < 2 {
			return
		}
		f.reportLag = time.Duration(rapid.IntRange(0, 4).Draw(t, "lag")) * poll / 2
		f.isolatedFrom = rapid.SampledFrom([]int{0, 2, 3, 4}).Draw(t, "alone from")
		f.pFail = rapid.IntRange(0, 40).Draw(t, "fail")
		f.pOrderLost = rapid.IntRange(0, 40).Draw(t, "lost")
		f.pResponseLost = rapid.IntRange(0, 100).Draw(t, "answers")
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { f.publish() },
			"run":     func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * step) },
			"back": func(t *rapid.T) {
				r := rapid.SampledFrom(f.replicas).Draw(t, "replica")
				if !r.Loading && f.desiredVersion > 1 {
					r.Version = f.desiredVersion - 1
				}
			},
			"": func(t *rapid.T) {
				if f.minServing == 0 {
					t.Fatalf("all %d replicas are loading", len(f.replicas))
				}
			},
		})
		f.pFail, f.pOrderLost = 0, 0
		f.run(time.Minute)
		for _, r := range f.replicas {
			if r.Version != f.desiredVersion {
				t.Fatalf("%s serves version %d, want %d", r.Name, r.Version, f.desiredVersion)
			}
		}
	})
}

// swap publishes a version and returns how long the planned update of all
// replicas took, and the smallest number of serving replicas.
func swap(f *fleet) (last time.Duration, minServing int) {
	f.run(time.Second)
	f.publish()
	publishTime := f.now
	f.run(time.Minute)
	if f.doneAt == 0 {
		return time.Hour, f.minServing
	}
	return f.doneAt - publishTime, f.minServing
}

// allAtOnce and oneByOne are the baselines that the plan is compared with.
func allAtOnce(f *fleet) (time.Duration, int) {
	f.run(time.Second)
	f.publish()
	publishTime := f.now
	for _, r := range f.replicas {
		f.load(r.Name, f.desiredVersion)
	}
	for f.doneAt == 0 {
		f.advance()
	}
	return f.doneAt - publishTime, f.minServing
}

func oneByOne(f *fleet) (time.Duration, int) {
	f.run(time.Second)
	f.publish()
	publishTime := f.now
	for _, r := range f.replicas {
		f.load(r.Name, f.desiredVersion)
		for r.Loading {
			f.advance()
		}
		for f.now%poll != 0 { // the next order is sent after the next report
			f.advance()
		}
	}
	return f.doneAt - publishTime, f.minServing
}

// target is the maximum time until all replicas of a service have the desired
// version.
const target = 9 * time.Second

func TestSwapAgainstBaselines(t *testing.T) {
	for _, perCentre := range [][]int{{3, 3, 3}, {3, 3, 2}, {1, 1, 1}} {
		plan := newFleet(1, perCentre...)
		plan.reportLag = poll
		last, serving := swap(plan)
		lastAll, servingAll := allAtOnce(newFleet(1, perCentre...))
		lastOne, servingOne := oneByOne(newFleet(1, perCentre...))
		n := len(plan.replicas)
		t.Logf("%v: plan %v, at least %d of %d serving; all at once %v, %d serving; one by one %v, %d serving",
			perCentre, last, serving, n, lastAll, servingAll, lastOne, servingOne)
		if last > target {
			t.Errorf("%v: the last replica updated after %v, target %v", perCentre, last, target)
		}
		if serving < n-budget(n) {
			t.Errorf("%v: only %d of %d replicas serving", perCentre, serving, n)
		}
	}
}

// TestSwapAtSizes checks the time of an update in ten data centres of several
// sizes, with a weight store from which all replicas together need at least four
// seconds to fetch.
func TestSwapAtSizes(t *testing.T) {
	for _, perCentre := range []int{10, 20, 40, 80, 160} {
		f := newFleet(1, slices.Repeat([]int{perCentre}, 10)...)
		f.isolatedFrom = 8
		f.reportLag = poll
		f.fullRate = len(f.replicas) / 8
		last, serving := swap(f)
		n := len(f.replicas)
		t.Logf("%d replicas: the last updated after %v, at least %d serving", n, last, serving)
		if last > target || serving < n-budget(n) {
			t.Errorf("%d replicas: updated after %v with at least %d serving, target %v", n, last, serving, target)
		}
	}
}
