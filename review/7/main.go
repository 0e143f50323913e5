// Command 7 submits a step with one large item, kills the machine that runs the step,
// and looks where its items are.
package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cumincove/cumincove/review/kit2"
)

const (
	step = "7c41e09b52d6a3f8"
	// largeBody is the body of the large item. The whole submission is about a quarter
	// of max-body-bytes (33,554,432).
	largeBody  = 6 << 20
	smallItems = 4
	// events times eventPause is the time that an item needs.
	events     = 20
	eventPause = 150 * time.Millisecond
	// restartAfter is the time until the killed process runs again.
	restartAfter = time.Second
	// timeUp is queue-ttl-s: until then no item may be given up.
	timeUp = 40 * time.Second
	// absent is the time at no replica that RULES, LOST, allows in steady state.
	absent = 5 * time.Second
	// bodyTries bounds the tries of a body at the end of the day.
	bodyTries = 8
)

func main() { kit2.Main("review/7", run) }

func run(e *kit2.Env) (int, error) {
	runs := kit2.NewRuns()
	for _, id := range []string{"i-engine1", "i-engine2"} {
		if _, err := e.AddEngine(id, runs, events, eventPause); err != nil {
			return kit2.NotRun, err
		}
	}
	if _, err := e.AddPlain("i-app1"); err != nil {
		return kit2.NotRun, err
	}
	e.Store.Put("op", "config", kit2.Config(3, []kit2.Route{kit2.RolloutRoute(), kit2.ScoreRoute()}, kit2.Engines(), kit2.Plain()))
	for _, name := range []string{"frontend-mvd-a-1", "frontend-mvd-a-2", "frontend-mvd-a-3"} {
		if _, err := e.AddMachine(name, e.Store.Addr, 314); err != nil {
			return kit2.NotRun, err
		}
	}
	if err := e.Start(); err != nil {
		return kit2.NotRun, err
	}
	// A machine that does not run the model's steps itself would read the step from the
	// store at once. So the step goes to the machine that runs them.
	m, err := runnerOfSteps(e)
	if err != nil {
		return kit2.NotRun, err
	}
	items := []kit2.Item{kit2.NewItem("e5b2907c14da6f00", "g1", make([]byte, largeBody))}
	for n := range smallItems {
		items = append(items, kit2.NewItem(fmt.Sprintf("e5b2907c14da6f%02d", n+1), "g1", []byte("prompt")))
	}
	submitted := time.Now()
	a := kit2.Submit(m.Front, step, kit2.Submission{Model: kit2.Model, MinVersion: 1, Desired: 1, Requests: items})
	e.Printf("submission of %d items, one with %d bytes, at %s: %d", len(items), largeBody, m.Name, a.Status)
	if a.Status != http.StatusAccepted {
		return kit2.NotRun, fmt.Errorf("the submission was answered %d: %s", a.Status, a.Body)
	}
	for runs.Of(items[0].ID).Started == 0 || runs.Of(items[1].ID).Started == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(4 * eventPause)
	if e.Trouble {
		if err := kill(e); err != nil {
			return kit2.NotRun, err
		}
	}
	listed := map[string]string{}
	for time.Since(submitted) < timeUp && len(listed) < len(items) {
		read(e, len(listed), listed)
		time.Sleep(500 * time.Millisecond)
	}
	return judge(e, items, runs, listed), nil
}

// runnerOfSteps submits a small step and returns the machine that runs it. The same
// machine runs all steps of the model.
func runnerOfSteps(e *kit2.Env) (*kit2.Machine, error) {
	const first = "7c41e09b52d6a300"
	s := kit2.Submission{Model: kit2.Model, MinVersion: 1, Desired: 1, Requests: []kit2.Item{kit2.NewItem("e5b2907c14daff01", "g0", []byte("prompt"))}}
	if a := kit2.Submit(e.Machines[0].Front, first, s); a.Status != http.StatusAccepted {
		return nil, fmt.Errorf("the first submission was answered %d", a.Status)
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, res := kit2.Read(e.Machines[0].Front, first, 0, time.Second); len(res.Results) > 0 {
			if m := e.Owner(first); m != nil {
				return m, nil
			}
		}
	}
	return nil, fmt.Errorf("the first step has no result")
}

// kill kills the machine that runs the step, and starts it again.
func kill(e *kit2.Env) error {
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

// read reads the results at a machine in turn.
func read(e *kit2.Env, after int, listed map[string]string) {
	m := e.Machines[time.Now().Second()%len(e.Machines)]
	status, res := kit2.Read(m.Front, step, after, 0)
	if status != http.StatusOK {
		e.Printf("results at %s: %d", m.Name, status)
		return
	}
	for _, r := range res.Results {
		e.Printf("result: item %s is %s", r.ID, r.State)
		listed[r.ID] = r.State
	}
}

// judge checks LOST.
func judge(e *kit2.Env, items []kit2.Item, runs *kit2.Runs, listed map[string]string) int {
	verdict := kit2.Held
	for _, it := range items {
		if _, ok := listed[it.ID]; ok {
			continue
		}
		r := runs.Of(it.ID)
		away := time.Since(r.LeftAt)
		if !r.Finished && r.Running == 0 && away > absent {
			e.Printf("LOST: the step's time is up; item %s, which no replica has finished, was at no replica for %.1f s", it.ID, away.Seconds())
			verdict = kit2.Broken
		}
		if !bodyComes(e, it.ID) {
			e.Printf("LOST: item %s isn't listed and doesn't give its body", it.ID)
			verdict = kit2.Broken
		}
	}
	return verdict
}

// bodyComes reports whether any machine gives the body of an item.
func bodyComes(e *kit2.Env, id string) bool {
	for n := range bodyTries {
		m := e.Machines[n%len(e.Machines)]
		a := kit2.Call(m.Front, http.MethodGet, "/items/"+step+"?id="+id, "", 0, nil, nil)
		e.Printf("body of %s at %s: %d, %d bytes", id, m.Name, a.Status, len(a.Body))
		if a.Status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
