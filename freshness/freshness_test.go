package freshness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }, noFault)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			rapid.SampledFrom(events).Draw(t, "event").run(s)
			if err := s.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// runSimulation returns the first violation that the oracle detects.
func runSimulation(seed uint64, fault injectedFault) error {
	_, err := simulate(seed, fault)
	return err
}

func simulate(seed uint64, fault injectedFault) (*simulation, error) {
	const steps = 400
	rnd := rand.New(rand.NewPCG(seed, 0))
	s := newSimulation(rnd.IntN, fault)
	for range steps {
		events[rnd.IntN(len(events))].run(s)
		if err := s.check(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func TestModelFixedSeeds(t *testing.T) {
	for seed := range uint64(1000) {
		if err := runSimulation(seed, noFault); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestOracleCanFail checks that the oracle detects each injected fault. Each
// fault has a seed that reveals it. If a change of the model's events makes a
// seed ineffective, the failure message names another one.
func TestOracleCanFail(t *testing.T) {
	cases := []struct {
		fault injectedFault
		seed  uint64
	}{
		{fastPathOwnList, 125},
		{fastPathBoth, 126},
		{countPushedReports, 47},
		{ageFromReply, 335},
		{noWait, 0},
		{multiMemberChange, 3722},
		{vouchWithoutStoreRead, 12680},
		{vouchWithoutMajority, 17597},
		{oneRound, 19},
		{storeReadSuffices, 73},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			t.Parallel()
			if err := runSimulation(c.seed, c.fault); err != nil {
				t.Log(err)
				return
			}
			t.Errorf("seed %d does not reveal the fault; %s", c.seed, findSeed(c.fault))
		})
	}
}

func findSeed(fault injectedFault) string {
	const seeds = 30_000
	for seed := range uint64(seeds) {
		if runSimulation(seed, fault) != nil {
			return fmt.Sprintf("seed %d does", seed)
		}
	}
	return fmt.Sprintf("none of %d seeds does", seeds)
}

func TestCheckList(t *testing.T) {
	abc := []string{"a", "b", "c"}
	cases := []struct {
		before, after []string
		inForce       uint64
		want          error
	}{
		{nil, abc, 0, nil},
		{abc, abc[:2], 5, nil},
		{abc, abc[:2], 4, ErrListPending},
		{abc, abc[:1], 5, ErrListChangeTooLarge},
		{abc[:1], nil, 5, ErrListChangeTooLarge},
		{abc, abc, 0, nil},
	}
	for _, c := range cases {
		if err := CheckListChange(c.before, c.after, 5, c.inForce); !errors.Is(err, c.want) {
			t.Errorf("%v to %v: got %v, want %v", c.before, c.after, err, c.want)
		}
	}
}

func TestInstallRejectsLowerVersion(t *testing.T) {
	r := NewReader("a", time.Second)
	if err := r.Install(3, []string{"a"}); err != nil {
		t.Fatal(err)
	}
	if err := r.Install(2, []string{"a"}); !errors.Is(err, ErrLowerVersion) || r.Version() != 3 {
		t.Errorf("got %v, version %d", err, r.Version())
	}
}

// TestModelLostFact runs a seed in which a majority stores a fact, and every
// instance that has it is replaced before one of them commits it to the store.
// The fact is then lost, and the simulation must detect that.
func TestModelLostFact(t *testing.T) {
	const seed = 133743
	s, err := simulate(seed, noFault)
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	if !s.majorityHad[1] || !s.lost(1) {
		t.Errorf("seed %d: a majority had the fact: %v, lost: %v", seed, s.majorityHad[1], s.lost(1))
	}
}

// TestQuorumIsAtOneMoment checks that a member that joins late restarts the
// second round. Otherwise three members could have the fact one after another,
// and never three of them at the same time.
func TestQuorumIsAtOneMoment(t *testing.T) {
	q := NewQuorum([]string{"a", "b", "c", "d"})
	q.Confirm(1, 1, "a", 1)
	q.Confirm(2, 2, "b", 1)
	q.Confirm(3, 3, "c", 1) // c is replaced after this
	q.Confirm(4, 4, "a", 1)
	q.Confirm(5, 5, "b", 1) // b is replaced after this
	q.Confirm(6, 6, "d", 1)
	q.Confirm(7, 7, "d", 1)
	if q.Done() {
		t.Error("quorum is done, but b has not confirmed the fact again after d joined")
	}
	q.Confirm(8, 8, "a", 1)
	q.Confirm(9, 9, "b", 1)
	if !q.Done() {
		t.Error("quorum is not done, but a, b and d have confirmed the fact after d joined")
	}
}
