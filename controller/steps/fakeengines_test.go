package steps_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/infra"
)

// fakeEngines is a fake infra.Engines. It produces the events of samples, and
// records the requests.
type fakeEngines struct {
	mu sync.Mutex
	// after contains, by sample, the LastIndex of each request: the event after
	// which the engine continues.
	after map[string][]int
	// at contains, by sample, the endpoint of each request, and gone the endpoints
	// that have ended.
	at   map[string][]string
	gone map[string]bool
	// priorities contains, by sample, the priority of each request, or "none".
	priorities map[string][]string
	// pause, if set, returns the time between two events of a sample, given how often
	// the sample was started before.
	pause func(sample string, run int) time.Duration
	// bodies contains, by sample, the body of the last request. events, if set, are the
	// events of all samples.
	bodies map[string][]byte
	events []string
}

// bodyOf returns the body of the last request of a sample, or nil.
func (e *fakeEngines) bodyOf(sample string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bodies[sample]
}

// textOf returns the text of an event, and whether it is the last one.
func (e *fakeEngines) textOf(sample string, i int) (text string, last bool) {
	if e.events != nil {
		return e.events[i-1], i == len(e.events)
	}
	return eventText(sample, i), i == eventCount
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{after: map[string][]int{}, at: map[string][]string{}, gone: map[string]bool{}, priorities: map[string][]string{}, bodies: map[string][]byte{}}
}

// end ends an endpoint, and with it its streams.
func (e *fakeEngines) end(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone[endpoint] = true
}

func (e *fakeEngines) isGone(endpoint string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone[endpoint]
}

// endpointsOf returns the endpoints at which a sample was started, in order.
func (e *fakeEngines) endpointsOf(sample string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at[sample]
}

// prioritiesOf returns the priorities of the requests of a sample, in order.
func (e *fakeEngines) prioritiesOf(sample string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.priorities[sample]
}

func (e *fakeEngines) forgetBodies() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.bodies)
}

func (e *fakeEngines) Generate(ctx context.Context, g infra.GenerateRequest, each func(infra.Event) error) error {
	e.mu.Lock()
	e.after[g.ID] = append(e.after[g.ID], g.LastIndex)
	e.at[g.ID] = append(e.at[g.ID], g.Engine.Endpoint)
	priority := "none"
	if g.Priority != nil {
		priority = fmt.Sprint(*g.Priority)
	}
	e.priorities[g.ID] = append(e.priorities[g.ID], priority)
	e.bodies[g.ID] = g.Body
	pause := eventPeriod
	if e.pause != nil {
		pause = e.pause(g.ID, len(e.at[g.ID])-1)
	}
	e.mu.Unlock()
	for i, last := g.LastIndex+1, false; !last; i++ {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return infra.ErrStreamInterrupted
		}
		if e.isGone(g.Engine.Endpoint) {
			return infra.ErrStreamInterrupted
		}
		var text string
		text, last = e.textOf(g.ID, i)
		if err := each(infra.Event{Index: i, Text: text, Version: 1}); err != nil {
			return err
		}
	}
	return nil
}

func (e *fakeEngines) Report(context.Context, infra.EngineRef) (infra.EngineReport, error) {
	return infra.EngineReport{}, nil
}

func (e *fakeEngines) Order(context.Context, infra.WeightOrder) error { return nil }

// runs returns the events after which a sample was started, in order of the starts.
func (e *fakeEngines) runs(sample string) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.after[sample]
}

func eventText(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

func completeText(id string) string {
	var list []string
	for i := 1; i <= eventCount; i++ {
		list = append(list, eventText(id, i))
	}
	return strings.Join(list, "\n")
}
