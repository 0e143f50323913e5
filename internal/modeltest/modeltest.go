// Package modeltest runs a model of a state machine against an oracle: with rapid,
// with fixed seeds, and with one rule violated at a time to show that the oracle
// detects the violation. Only tests import it.
package modeltest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Draw returns a random number from 0 to n-1. The label identifies it in rapid's
// output.
type Draw func(n int, label string) int

// Seeded returns a Draw that uses a random source with the two seeds.
func Seeded(seed, stream uint64) Draw {
	r := rand.New(rand.NewPCG(seed, stream))
	return func(n int, _ string) int { return r.IntN(n) }
}

// violation is the panic value of Failf.
type violation string

// Failf ends a run by a panic. Oracles call it when a guarantee is violated.
func Failf(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

// TakeRandom removes a random entry from a list and returns it. If the list is empty, it
// returns false and does not draw.
func TakeRandom[T any](d Draw, list *[]T, label string) (entry T, ok bool) {
	if len(*list) == 0 {
		return entry, false
	}
	i := d(len(*list), label)
	entry = (*list)[i]
	*list = slices.Delete(slices.Clone(*list), i, i+1)
	return entry, true
}

// Model describes a model with a state of type W. A value of type F names the rule
// that a run violates on purpose; the zero value means none. The functions call
// Failf if a guarantee is violated.
type Model[F ~string, W any] struct {
	// New returns the initial state of a run.
	New func(f F, d Draw) W
	// Step makes one random step.
	Step func(w W, d Draw)
	// Settle, if set, is called at the end of a run. It ends all faults and checks
	// the final state.
	Settle func(w W)
	// Stream is the second seed of runs with fixed seeds.
	Stream uint64
}

func (m Model[F, W]) run(f F, steps int, d Draw) W {
	w := m.New(f, d)
	for range steps {
		m.Step(w, d)
	}
	if m.Settle != nil {
		m.Settle(w)
	}
	return w
}

// runAndRecover makes a run and returns the message of Failf, or "" if there was no
// violation. It repeats other panics.
func (m Model[F, W]) runAndRecover(f F, steps int, d Draw) (w W, failure string) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case violation:
			failure = string(r)
		default:
			panic(r)
		}
	}()
	return m.run(f, steps, d), ""
}

// Check lets rapid search for a run of the given number of steps that violates a
// guarantee.
func (m Model[F, W]) Check(t *testing.T, steps int) {
	t.Helper()
	m.check(t, func(*rapid.T) int { return steps })
}

// CheckUpTo is like Check with a random number of steps from 1 to most.
func (m Model[F, W]) CheckUpTo(t *testing.T, most int) {
	t.Helper()
	m.check(t, func(t *rapid.T) int { return rapid.IntRange(1, most).Draw(t, "steps") })
}

func (m Model[F, W]) check(t *testing.T, steps func(*rapid.T) int) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		d := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		var none F
		if _, failure := m.runAndRecover(none, steps(t), d); failure != "" {
			t.Fatal(failure)
		}
	})
}

// CheckSeeds makes a run with each seed from 0 to seeds-1. The test fails if a run
// violates a guarantee. Otherwise Seeds calls each with the run's final state.
func (m Model[F, W]) CheckSeeds(t *testing.T, seeds uint64, steps int, each func(W)) {
	t.Helper()
	for seed := range seeds {
		var none F
		w, failure := m.runAndRecover(none, steps, Seeded(seed, m.Stream))
		if failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
		each(w)
	}
}

// CheckDetectsFaults makes runs that violate one of the rules in faults. The test fails if the
// oracle detects the violation with none of the seeds.
func (m Model[F, W]) CheckDetectsFaults(t *testing.T, faults []F, seeds uint64, steps int) {
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) { m.checkFault(t, f, seeds, steps) })
	}
}

func (m Model[F, W]) checkFault(t *testing.T, f F, seeds uint64, steps int) {
	for seed := range seeds {
		if _, failure := m.runAndRecover(f, steps, Seeded(seed, m.Stream)); failure != "" {
			t.Logf("seed %d: %s", seed, failure)
			return
		}
	}
	t.Errorf("violation not detected with %d seeds", seeds)
}
