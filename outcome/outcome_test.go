package outcome

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oracle tracks the actual executions of one request and checks the Record
// against them.
type oracle struct {
	rec      Record
	policy   Policy
	now      time.Duration
	deadline time.Duration
	runs     int
	open     bool
	sending  bool
	// committed is set after part of an answer was sent to the caller. Later
	// attempts continue that answer, so they do not count as executions.
	committed bool
	// executed is set when an endpoint has executed the current attempt.
	executed bool
}

func (o *oracle) begin(t *rapid.T) {
	before := o.rec.Outcome()
	if err := o.rec.Begin(o.policy, o.now, o.deadline); err != nil {
		return
	}
	if o.committed && !o.policy.Resume {
		t.Fatal("attempt started after part of an answer was sent")
	}
	if !o.policy.Idempotent && before != NotRun && !o.committed {
		t.Fatalf("attempt started for a request that is not idempotent, outcome %v", before)
	}
	if o.now >= o.deadline {
		t.Fatal("attempt started after the deadline")
	}
	o.open, o.sending, o.executed = true, false, false
}

func (o *oracle) markSending(t *rapid.T) {
	if err := o.rec.MarkSending(); (err == nil) != o.open {
		t.Fatalf("MarkSending: %v, open %v", err, o.open)
	}
	o.sending = o.open
}

// run simulates the execution of the request by the endpoint. It has no effect
// before MarkSending.
func (o *oracle) run(*rapid.T) {
	if o.open && o.sending && !o.executed {
		if !o.committed {
			o.runs++
		}
		o.executed = true
	}
}

func (o *oracle) end(t *rapid.T) {
	results := []Result{Failed}
	if o.open && o.sending {
		// An endpoint answers only requests that it executed, and refuses
		// only requests that it did not execute.
		if o.executed {
			results = append(results, Answered)
		} else {
			results = append(results, Refused)
		}
	}
	err := o.rec.End(rapid.SampledFrom(results).Draw(t, "result"))
	if (err == nil) != o.open {
		t.Fatalf("End: %v, open %v", err, o.open)
	}
	o.open, o.sending = false, false
}

// commit simulates that part of an answer is sent to the caller. Only an
// endpoint that executes the request sends such a part.
func (o *oracle) commit(*rapid.T) {
	if o.open && o.executed {
		o.rec.Commit()
		o.committed = true
	}
}

// attempt runs a complete attempt.
func (o *oracle) attempt(t *rapid.T) {
	if o.open {
		return
	}
	o.begin(t)
	if !o.open {
		return
	}
	if rapid.Bool().Draw(t, "connected") {
		o.markSending(t)
	}
	if rapid.Bool().Draw(t, "runs") {
		o.run(t)
	}
	o.check(t)
	o.end(t)
}

func (o *oracle) check(t *rapid.T) {
	if o.rec.CertainlyNotRun() && o.runs > 0 {
		t.Fatalf("CertainlyNotRun is true, but the request ran %d times", o.runs)
	}
	if !o.policy.Idempotent && o.runs > 1 {
		t.Fatalf("request is not idempotent, but ran %d times", o.runs)
	}
	if o.rec.Outcome() == Ran && o.runs == 0 {
		t.Fatal("outcome is Ran, but the request never ran")
	}
	maxAttempts := max(o.policy.MaxAttempts, 1)
	if o.committed && o.policy.Resume {
		maxAttempts += o.policy.MaxResumes
	}
	if o.rec.Attempts() > maxAttempts {
		t.Fatalf("%d attempts, more than allowed", o.rec.Attempts())
	}
}

func TestRecordAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			policy: Policy{
				Idempotent:  rapid.Bool().Draw(t, "idempotent"),
				MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max"),
				Resume:      rapid.Bool().Draw(t, "resume"),
				MaxResumes:  rapid.IntRange(0, 4).Draw(t, "max resumes"),
			},
			deadline: 30 * time.Second,
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":    o.begin,
			"handOver": o.markSending,
			"run":      o.run,
			"end":      o.end,
			"wait":     func(t *rapid.T) { o.now += time.Second },
			"commit":   o.commit,
			"attempt":  o.attempt,
			"":         o.check,
		})
	})
}

func TestJoinNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SampledFrom([]Outcome{NotRun, MaybeRun, Ran})
		a, b, c := all.Draw(t, "a"), all.Draw(t, "b"), all.Draw(t, "c")
		if a.Join(b) != b.Join(a) || a.Join(b).Join(c) != a.Join(b.Join(c)) {
			t.Fatal("result of Join depends on the order")
		}
		if a.Join(b) < a || a.Join(a) != a {
			t.Fatal("result of Join is lower than an operand")
		}
	})
}

func TestNoAttemptAfterCommit(t *testing.T) {
	var r Record
	p := Policy{Idempotent: true, MaxAttempts: 3}
	if err := r.Begin(p, 0, time.Second); err != nil {
		t.Fatal(err)
	}
	r.Commit()
	if err := r.End(Failed); err != nil {
		t.Fatal(err)
	}
	if err := r.CheckAttempt(p, 0, time.Second); !errors.Is(err, ErrCommitted) {
		t.Fatalf("CheckAttempt: %v, want ErrCommitted", err)
	}
}

func ExampleRecord() {
	var r Record
	p := Policy{MaxAttempts: 3}
	deadline := time.Second

	_ = r.Begin(p, 0, deadline)
	_ = r.End(Failed) // the connection was refused
	fmt.Println(r.Outcome(), r.CheckAttempt(p, 0, deadline))

	_ = r.Begin(p, 0, deadline)
	_ = r.MarkSending()
	_ = r.End(Failed) // the connection was reset
	fmt.Println(r.Outcome(), r.CheckAttempt(p, 0, deadline))
	// Output:
	// not_run <nil>
	// maybe_run the request may have run and is not idempotent
}
