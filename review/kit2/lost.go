package kit2

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// absent is the time at no replica that RULES, LOST, allows in steady state.
	absent = 5 * time.Second
	// bodyTries bounds the tries of a body at the end.
	bodyTries = 8
	// restartAfter is the time until a killed process runs again.
	restartAfter = time.Second
	readPeriod   = 500 * time.Millisecond
)

// KillOwner kills the machine that runs a step, and starts it again.
func (e *Env) KillOwner(step string) error {
	m := e.Owner(step)
	if m == nil {
		return fmt.Errorf("no machine runs the step")
	}
	m.Signal(syscall.SIGKILL)
	m.Kill()
	e.Printf("%s is killed", m.Name)
	time.Sleep(restartAfter)
	if err := m.Start(); err != nil {
		return err
	}
	e.Printf("%s runs again", m.Name)
	return nil
}

// RunnerOfSteps submits a small step and returns the machine that runs it. The same
// machine runs all steps of the model.
func (e *Env) RunnerOfSteps() (*Machine, error) {
	const first = "7c41e09b52d6a300"
	s := Submission{Model: Model, MinVersion: 1, Desired: 1, Requests: []Item{NewItem("e5b2907c14daff01", "g0", []byte("prompt"))}}
	if a := Submit(e.Machines[0].Front, first, s); a.Status != http.StatusAccepted {
		return nil, fmt.Errorf("the first submission was answered %d", a.Status)
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, res := Read(e.Machines[0].Front, first, 0, time.Second); len(res.Results) > 0 {
			if m := e.Owner(first); m != nil {
				return m, nil
			}
		}
	}
	return nil, fmt.Errorf("the first step has no result")
}

// Trainer reads the results of one step.
type Trainer struct {
	Env   *Env
	Step  string
	Items []Item
	Runs  *Runs

	listed map[string]bool
}

// Follow reads the results, at the machines in turn, until all items are listed or the
// time is up.
func (t *Trainer) Follow(until time.Time) {
	t.listed = map[string]bool{}
	for n := 0; len(t.listed) < len(t.Items) && time.Now().Before(until); n++ {
		m := t.Env.Machines[n%len(t.Env.Machines)]
		status, res := Read(m.Front, t.Step, len(t.listed), 0)
		if status != http.StatusOK {
			t.Env.Printf("step %s: results at %s: %d", t.Step, m.Name, status)
		}
		for _, r := range res.Results {
			t.listed[r.ID] = true
		}
		time.Sleep(readPeriod)
	}
	t.Env.Printf("step %s: %d of %d items are listed", t.Step, len(t.listed), len(t.Items))
}

// Listed reports whether an item is listed.
func (t *Trainer) Listed(id string) bool { return t.listed[id] }

// Lost checks LOST for the items that are not listed once the step's time is up, and
// returns the number of breaks. With bodies it asks for their bodies, too.
func (t *Trainer) Lost(bodies bool) int {
	broken := 0
	for _, it := range t.Items {
		if t.listed[it.ID] {
			continue
		}
		r := t.Runs.Of(it.ID)
		if away := t.Runs.Away(it.ID); !r.Finished && r.Running == 0 && away > absent {
			t.Env.Printf("LOST: step %s: its time is up; item %s, which no replica has finished, was at no replica for %.1f s",
				t.Step, it.ID, away.Seconds())
			broken++
		}
		if bodies && !t.bodyComes(it.ID) {
			t.Env.Printf("LOST: step %s: item %s isn't listed and doesn't give its body", t.Step, it.ID)
			broken++
		}
	}
	return broken
}

// bodyComes reports whether any machine gives the body of an item.
func (t *Trainer) bodyComes(id string) bool {
	for n := range bodyTries {
		m := t.Env.Machines[n%len(t.Env.Machines)]
		a := Call(m.Front, http.MethodGet, "/items/"+t.Step+"?id="+id, "", 0, nil, nil)
		t.Env.Printf("body of %s at %s: %d, %d bytes", id, m.Name, a.Status, len(a.Body))
		if a.Status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
