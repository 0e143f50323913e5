package ratelimit

import (
	"testing"
	"time"
)

func TestParseRate(t *testing.T) {
	for _, c := range []struct {
		values []string
		rate   float64
		ok     bool
	}{
		{[]string{"7.5"}, 7.5, true},
		{[]string{" 3 "}, 3, true},
		{[]string{"0"}, MinRate, true},
		{[]string{"0.01"}, MinRate, true},
		{[]string{"9", "2"}, 2, true},
		{[]string{"many", "4"}, 4, true},
		{[]string{"-1"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"Inf"}, 0, false},
		{[]string{"1e999"}, 0, false},
		{[]string{""}, 0, false},
	} {
		rate, ok := ParseRate(c.values)
		if ok != c.ok || ok && rate != c.rate {
			t.Errorf("%q: %v, %v; want %v, %v", c.values, rate, ok, c.rate, c.ok)
		}
	}
}

const (
	testEndpoint    = "e"
	testIncarnation = 7
)

func (t *Table) answer(at, handedOff time.Duration, values ...string) bool {
	_, changed := t.HandleAnswer(at, Answer{Endpoint: testEndpoint, Incarnation: testIncarnation, Values: values, HandedOff: handedOff})
	return changed
}

func (t *Table) rate() float64 {
	rate, _ := t.Limit(testEndpoint, testIncarnation)
	return rate
}

// TestLateAnswersChangeNoLimit checks that answers to requests that were sent
// before a limit began or ended do not end it or begin it again.
func TestLateAnswersChangeNoLimit(t *testing.T) {
	var table Table
	table.answer(10, 5, "3")
	if table.answer(12, 9); table.rate() != 3 {
		t.Errorf("rate %v after an answer to an earlier request without a limit, want 3", table.rate())
	}
	if table.answer(14, 11, "2"); table.rate() != 2 {
		t.Errorf("rate %v, want 2", table.rate())
	}
	if table.answer(15, 10, "3"); table.rate() != 2 {
		t.Errorf("rate %v after a late answer, want 2", table.rate())
	}
	if changed := table.answer(17, 16, "junk"); changed || table.rate() != 2 {
		t.Errorf("rate %v after a value that can't be read, want 2", table.rate())
	}
	if changed := table.answer(20, 18); !changed || table.rate() != 0 {
		t.Errorf("rate %v after an answer without a limit, want none", table.rate())
	}
	if table.answer(22, 19, "2"); table.rate() != 0 {
		t.Errorf("rate %v after a late answer, want none", table.rate())
	}
	if table.answer(24, 21, "1"); table.rate() != 1 {
		t.Errorf("rate %v after a new answer, want 1", table.rate())
	}
}

// TestNextIncarnationHasNoLimit checks that a limit ends with the incarnation that
// named it.
func TestNextIncarnationHasNoLimit(t *testing.T) {
	var table Table
	table.HandlePeer(10, testEndpoint, Limit{Incarnation: testIncarnation, Rate: 3})
	if _, ok := table.Limit(testEndpoint, testIncarnation+1); ok {
		t.Error("the next incarnation has the limit of the one before")
	}
	table.HandlePeer(20, testEndpoint, Limit{Incarnation: testIncarnation + 1, Rate: 5})
	if table.answer(30, 25, "3"); table.rate() != 0 {
		t.Error("an answer of the former incarnation set its limit again")
	}
	if rate, _ := table.Limit(testEndpoint, testIncarnation+1); rate != 5 {
		t.Errorf("rate %v, want 5", rate)
	}
}

// TestSweepForgetsGoneEndpoints checks that the limit of an endpoint that is not
// listed is kept for a time, and is forgotten then.
func TestSweepForgetsGoneEndpoints(t *testing.T) {
	listed := func(string) bool { return true }
	gone := func(string) bool { return false }
	var table Table
	table.answer(10, 5, "3")
	table.Sweep(time.Hour, listed)
	table.Sweep(time.Hour+retention, gone)
	if table.Len() != 1 {
		t.Errorf("%d limits %v after the endpoint was listed, want 1", table.Len(), retention)
	}
	table.Sweep(time.Hour+retention+1, gone)
	if table.Len() != 0 || table.Known(testEndpoint) {
		t.Errorf("%d limits later, want 0", table.Len())
	}
}
