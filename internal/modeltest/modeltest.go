// Package modeltest runs model-based tests of a state machine. A model makes random
// steps with the state machine, and an oracle in the model checks its guarantees. The
// package runs a model with rapid, with fixed seeds, and with one rule violated at a
// time to show that the oracle detects the violation. Only tests import it.
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

// TakeRandom removes a random entry from a list and returns it. If the list is empty,
// it returns false and does not draw.
func TakeRandom[T any](d Draw, list *[]T, label string) (entry T, ok bool) {
	if len(*list) == 0 {
		return entry, false
	}
	i := d(len(*list), label)
	entry = (*list)[i]
	*list = slices.Delete(slices.Clone(*list), i, i+1)
	return entry, true
}

// Model describes a model with a state of type S. A value of type F is a fault: it
// names the rule that a run violates on purpose. The zero value means no fault. The
// functions call Failf if a guarantee is violated.
type Model[F ~string, S any] struct {
	// New returns the initial state of a run.
	New func(f F, d Draw) S
	// Step makes one random step.
	Step func(s S, d Draw)
	// Settle, if set, is called at the end of a run. It ends the failures that the
	// steps have simulated, such as outages, and checks the final state.
	Settle func(s S)
	// Stream is the second seed of the runs with fixed seeds (see Seeded).
	Stream uint64
}

func (m Model[F, S]) run(f F, steps int, d Draw) S {
	s := m.New(f, d)
	for range steps {
		m.Step(s, d)
	}
	if m.Settle != nil {
		m.Settle(s)
	}
	return s
}

// runAndRecover makes a run and returns the message of Failf, or "" if there was no
// violation. It passes on other panics.
func (m Model[F, S]) runAndRecover(f F, steps int, d Draw) (s S, failure string) {
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
func (m Model[F, S]) Check(t *testing.T, steps int) {
	t.Helper()
	m.check(t, func(*rapid.T) int { return steps })
}

// CheckUpTo is like Check with a random number of steps from 1 to maxSteps.
func (m Model[F, S]) CheckUpTo(t *testing.T, maxSteps int) {
	t.Helper()
	m.check(t, func(t *rapid.T) int { return rapid.IntRange(1, maxSteps).Draw(t, "steps") })
}

func (m Model[F, S]) check(t *testing.T, steps func(*rapid.T) int) {
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
// violates a guarantee. Otherwise CheckSeeds calls each with the run's final state.
func (m Model[F, S]) CheckSeeds(t *testing.T, seeds uint64, steps int, each func(S)) {
	t.Helper()
	for seed := range seeds {
		var none F
		s, failure := m.runAndRecover(none, steps, Seeded(seed, m.Stream))
		if failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
		each(s)
	}
}

// CheckDetectsFaults makes runs with each of the faults. For each fault the oracle
// must detect a violation with at least one of the seeds; otherwise the test fails.
func (m Model[F, S]) CheckDetectsFaults(t *testing.T, faults []F, seeds uint64, steps int) {
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) { m.checkFault(t, f, seeds, steps) })
	}
}

func (m Model[F, S]) checkFault(t *testing.T, f F, seeds uint64, steps int) {
	for seed := range seeds {
		if _, failure := m.runAndRecover(f, steps, Seeded(seed, m.Stream)); failure != "" {
			t.Logf("seed %d: %s", seed, failure)
			return
		}
	}
	t.Errorf("violation not detected with %d seeds", seeds)
}
