// Command orphan plays a case of the review: the owner of batch submissions is cut from
// the platform's store for two seconds while the store loses answers. It exits with 1 if
// items of an accepted batch submission are left at no replica until their trainer's time
// is up, with 0 if they are not, and with 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cumincove/cumincove/review/standin"
)

const (
	steps    = 4
	items    = 4
	replicas = 6

	// The text of an item has events at most the sheet's pause apart. One item of each
	// step is short, so that the step has results early.
	events      = 180
	shortEvents = 20
	eventTime   = 100 * time.Millisecond

	// The disturbances, no longer and no stronger than in the site file.
	cutTime   = 2300 * time.Millisecond
	lossAfter = 1100 * time.Millisecond // from the start of the cut
	lossShare = 0.35                    // of the writes

	// The trouble comes up to rounds times, until it leaves items, and each time
	// beginTime after new steps.
	rounds    = 6
	beginTime = 2500 * time.Millisecond

	// If an item is at no replica for quietTime, resumeTime after the trouble, the
	// trouble isn't repeated.
	resumeTime = 3 * time.Second
	quietTime  = 1500 * time.Millisecond

	// budget is how long the trainer waits for a step. The rule asks for idleTime of
	// steady state, which begins three seconds after the last disturbance.
	budget   = 45 * time.Second
	idleTime = 5 * time.Second
)

func main() {
	o := standin.Options{Engines: replicas, Apps: 1, Events: textLength, EventTime: eventTime}
	standin.Main(o, func(d *standin.Deployment) (bool, error) { return (&deployment{Deployment: d}).play() })
}

// deployment is a deployment with the number of the steps that were submitted.
type deployment struct {
	*standin.Deployment
	submitted int
}

// textLength returns the number of events of an item's text.
func textLength(id string) int {
	if strings.HasSuffix(id, "00000000") {
		return shortEvents
	}
	return events
}

func (d *deployment) play() (broken bool, err error) {
	for range rounds {
		steps, err := d.submit()
		if err != nil {
			return false, err
		}
		accepted := time.Now()
		time.Sleep(beginTime)
		if d.Trouble {
			if err := d.disturb(steps[0]); err != nil {
				return false, err
			}
			time.Sleep(resumeTime)
		}
		left := d.unlisted(steps)
		if !d.Trouble || d.idleItems(left, quietTime) > 0 {
			return d.watch(left, accepted.Add(budget))
		}
	}
	fmt.Println("held: no item was left")
	return false, nil
}

// submit submits the next steps and returns their numbers.
func (d *deployment) submit() (list []int, err error) {
	for range steps {
		step := d.submitted
		d.submitted++
		list = append(list, step)
		if err := d.Trainer.Submit(d.Addrs, fmt.Sprintf("%s%d", standin.PathTrain, step), standin.BatchID(step), standin.NewBatch(step, items), 4*time.Second); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// owner returns the instance that wrote to the store that it runs a step.
func (d *deployment) owner(step int) (*standin.Instance, error) {
	for _, in := range d.Instances {
		_, ok := d.Store.Find(func(r standin.Row) bool {
			return r.Part == standin.BatchID(step) && r.Key == "state/owner" && strings.Contains(string(r.Value), `"`+in.Name+`"`)
		})
		if ok {
			return in, nil
		}
	}
	return nil, errors.New("no instance runs the step")
}

// disturb cuts the instance that runs a step from the store, and lets answers of the
// store be lost meanwhile.
func (d *deployment) disturb(step int) error {
	in, err := d.owner(step)
	if err != nil {
		return err
	}
	d.Record.Add("trouble: %s is cut from the store", in.Name)
	in.Link.SetCut(true)
	heal := time.Now().Add(cutTime)
	time.Sleep(lossAfter)
	d.Record.Add("trouble: answers of the store are lost")
	d.Store.SetLose(func(standin.Transaction) bool { return rand.Float64() < lossShare })
	time.Sleep(time.Until(heal))
	d.Record.Add("trouble: %s reaches the store, no more answers are lost", in.Name)
	in.Link.SetCut(false)
	d.Store.SetLose(nil)
	return nil
}

// unlisted returns those of the steps that lack results.
func (d *deployment) unlisted(steps []int) (list []int) {
	for _, step := range steps {
		if len(d.Listed(step)) < items {
			list = append(list, step)
		}
	}
	return list
}

// idleItems counts the items of steps that no replica finished and that were at no
// replica for the given time.
func (d *deployment) idleItems(steps []int, idle time.Duration) (n int) {
	for _, step := range steps {
		n += len(d.Idle(step, items, idle))
	}
	return n
}

// watch reads the results of steps until all are there or the trainer's time is up.
// It reports whether the rule is broken then.
func (d *deployment) watch(steps []int, until time.Time) (broken bool, err error) {
	for len(steps) > 0 && time.Now().Before(until) {
		time.Sleep(500 * time.Millisecond)
		steps = d.unlisted(steps)
	}
	if len(steps) == 0 {
		fmt.Println("held: all results were listed")
		return false, nil
	}
	busy := 0
	for _, r := range d.Engines {
		busy += r.Busy()
	}
	for _, step := range steps {
		list := d.Idle(step, items, idleTime)
		text := fmt.Sprintf("step %d has %d of %d results as its time is up; at no replica: %v; %d of %d slots in use",
			step, len(d.Listed(step)), items, list, busy, replicas*standin.Slots)
		d.Record.Add("%s", text)
		fmt.Println(text)
		broken = broken || len(list) > 0 && busy*2 < replicas*standin.Slots
	}
	return broken, nil
}
