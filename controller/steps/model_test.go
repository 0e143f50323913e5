package steps_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

// recoveryTime is the time within which every step that was accepted and has not ended
// is run again, by one instance, once all remaining instances reach the store and no
// more writes are executed late: the lapse of a member, three reads of the members and
// the claim.
const recoveryTime = memberLapse + 6*time.Second

// maxDelay is the longest delay of a write that is executed late.
const maxDelay = 3 * time.Second

// stateDownTime is how much longer than the other rows those of the state are
// unreadable.
const stateDownTime = 2 * time.Second

// event is a disturbance of one instance.
type event struct {
	kind eventKind
	// busiest selects the instance that runs most steps, and otherwise instance is the
	// index of the instance, of those that are left.
	busiest  bool
	instance int
	// after is the time since the event before, and lasts how long it lasts.
	after, lasts time.Duration
}

type eventKind int

const (
	eventSubmit  eventKind = iota // a step is submitted
	eventCut                      // the store is unreachable
	eventFreeze                   // the store and the other instances are unreachable
	eventLose                     // at all instances, writes are executed, not executed or executed late, without a response
	eventKill                     // the process ends
	eventRestart                  // the process ends, and one with the same name starts
	eventLeave                    // the process hands its steps off and ends
	eventPart                     // as eventFreeze, and the rows of the steps' states are unreadable for longer
)

// eventKinds is the number of kinds that TestEveryStepOfLargeFleetIsRunByOneInstance
// plays.
const eventKinds = eventLeave + 1

// drawnKinds has the kinds that move steps without ending an instance more often, so
// that instances are left for the whole schedule.
var drawnKinds = []eventKind{
	eventSubmit, eventCut, eventCut, eventCut, eventFreeze, eventFreeze, eventLose, eventLose, eventLose,
	eventKill, eventRestart, eventLeave,
}

// schedule is a random sequence of events.
type schedule struct {
	instances int
	seed      uint64
	events    []event
}

func drawSchedule(t *rapid.T, maxInstances int) schedule {
	s := schedule{
		instances: rapid.IntRange(3, maxInstances).Draw(t, "instances"),
		seed:      rapid.Uint64().Draw(t, "seed"),
	}
	for range rapid.IntRange(1, 10).Draw(t, "events") {
		s.events = append(s.events, event{
			kind:     rapid.SampledFrom(drawnKinds).Draw(t, "kind"),
			busiest:  rapid.Bool().Draw(t, "busiest"),
			instance: rapid.IntRange(0, maxInstances-1).Draw(t, "instance"),
			after:    time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond,
			lasts:    time.Duration(rapid.IntRange(200, 6000).Draw(t, "lasts")) * time.Millisecond,
		})
	}
	return s
}

// player plays a schedule with a cluster.
type player struct {
	*testCluster
	seed uint64
	// left are the names of the instances that were not removed, and steps the IDs of
	// the accepted steps.
	left, steps []string
	nextProcess uint64
	// samples is the number of samples of a step.
	samples int
	// onSubmit, if set, is called with the ID of each accepted step.
	onSubmit func(id string)
}

// samplesPerStep is so large that no step ends during a schedule.
const samplesPerStep = 28

// playSchedule plays a schedule, and returns an error if a step is not run again in
// time.
func playSchedule(t *testing.T, s schedule) (err error) {
	bubble.Test(t, func(t *testing.T) {
		p := &player{seed: s.seed, nextProcess: 2, samples: samplesPerStep}
		for i := range s.instances {
			p.left = append(p.left, fmt.Sprintf("i%03d", i))
		}
		p.testCluster = newMemberCluster(t, p.left...)
		defer p.stopAll()
		p.submit(p.left[0])
		p.submit(p.left[1])
		for _, e := range s.events {
			time.Sleep(e.after)
			p.play(e)
		}
		p.heal()
		time.Sleep(maxDelay + recoveryTime)
		err = p.check()
	})
	return err
}

func (p *player) play(e event) {
	name := p.left[e.instance%len(p.left)]
	if e.busiest {
		name = p.busiest(p.left, p.steps)
	}
	in := p.instances[name]
	switch e.kind {
	case eventSubmit:
		p.submit(name)
	case eventCut:
		p.cutFor(name, e.lasts)
	case eventPart:
		in.table.stateDown.Store(true)
		time.AfterFunc(e.lasts+stateDownTime, func() { in.table.stateDown.Store(false) })
		fallthrough
	case eventFreeze:
		in.unreachable.Store(true)
		p.cutFor(name, e.lasts)
		time.AfterFunc(e.lasts, func() { in.unreachable.Store(in.killed.Load()) })
	case eventLose:
		for _, other := range p.left {
			p.loseFor(p.instances[other], e.lasts)
		}
	case eventKill:
		p.remove(name, p.kill)
	case eventRestart:
		p.kill(name)
		p.restart(name)
	case eventLeave:
		p.remove(name, p.leave)
	}
}

func (p *player) restart(name string) {
	in := p.start(name, p.nextProcess)
	p.nextProcess++
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[name] = in
}

// submit submits a step. A step that is refused is not checked.
func (p *player) submit(name string) {
	id := fmt.Sprintf("step%d", len(p.steps))
	in := p.instances[name]
	ctx, cancel := context.WithTimeout(p.t.Context(), 500*time.Millisecond)
	defer cancel()
	if in.Accept(ctx, spec(id, p.samples)) != nil {
		return
	}
	p.steps = append(p.steps, id)
	if p.onSubmit != nil {
		p.onSubmit(id)
	}
}

// current returns the last process of a name.
func (p *player) current(name string) *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances[name]
}

// remove ends an instance, unless only one is left.
func (p *player) remove(name string, end func(name string)) {
	if len(p.left) == 1 {
		return
	}
	var left []string
	for _, n := range p.left {
		if n != name {
			left = append(left, n)
		}
	}
	p.left = left
	end(name)
}

func (p *player) leave(name string) {
	in := p.instances[name]
	in.leaving.Store(true)
	ctx, cancel := context.WithTimeout(p.t.Context(), 3*time.Second)
	defer cancel()
	in.HandOff(ctx)
	p.kill(name)
}

// loseFor loses the responses to half of an instance's writes for some time. These
// writes are executed at once, late or never.
func (p *player) loseFor(in *instance, d time.Duration) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(p.seed, xxhash.Sum64String(in.name)))
	lose := func(commit func()) error {
		mu.Lock()
		outcome, delay := rng.IntN(6), time.Duration(rng.Int64N(int64(maxDelay)))
		mu.Unlock()
		switch outcome {
		case 0:
			commit()
		case 1:
			time.AfterFunc(delay, commit)
		case 2:
		default:
			return errPassThrough
		}
		time.Sleep(time.Second)
		return infra.ErrUnknownOutcome
	}
	in.table.interceptCommit.Store(&lose)
	time.AfterFunc(d, func() { in.table.interceptCommit.Store(nil) })
}

// heal ends all disturbances of the instances that are left.
func (p *player) heal() {
	for _, name := range p.left {
		in := p.instances[name]
		in.table.down.Store(false)
		in.table.interceptCommit.Store(nil)
		in.table.stateDown.Store(false)
		in.unreachable.Store(false)
	}
}

// check returns an error unless each step runs at exactly one instance, which is the
// one that its row names.
func (p *player) check() error {
	runners := p.runnersOf(p.left, p.steps)
	for _, id := range p.steps {
		if runners[id] == "" {
			return fmt.Errorf("%s is not run by exactly one of %v; steps run at %v", id, p.left, runners)
		}
	}
	return nil
}

// TestEveryStepIsRunByOneInstance guards against accepted steps that no instance or
// more than one runs, after any sequence of cuts, freezes, lost and late writes,
// kills, restarts and leaves.
func TestEveryStepIsRunByOneInstance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt, 8)
		if err := playSchedule(t, s); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestEveryStepOfLargeFleetIsRunByOneInstance is the same for a larger fleet.
func TestEveryStepOfLargeFleetIsRunByOneInstance(t *testing.T) {
	s := schedule{instances: 60, seed: 1}
	for i := range 12 {
		s.events = append(s.events, event{
			kind: eventKind(i) % eventKinds, instance: 37 * i, after: 500 * time.Millisecond, lasts: 2 * time.Second,
		})
	}
	if err := playSchedule(t, s); err != nil {
		t.Fatal(err)
	}
}
