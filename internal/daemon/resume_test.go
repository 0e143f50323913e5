package daemon_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/label"
)

// resumeTestbed is a testbed with model engines behind two services. Interrupted
// streams of the service "resume" are continued at another engine, those of "abort"
// are not.
type resumeTestbed struct {
	*testbed
	engines         []*daemontest.Endpoint
	endpointConfigs []config.Endpoint
}

func newResumeTestbed(t testing.TB) *resumeTestbed {
	e := &resumeTestbed{testbed: newTestbed(t)}
	sel := label.MustParse("app=resume")
	put := config.Objects{Services: []config.Service{
		{Meta: config.Meta{Name: "resume"}, Type: config.ServiceEngine, Endpoints: sel, Resume: config.ResumeSameVersion},
		{Meta: config.Meta{Name: "abort"}, Type: config.ServiceEngine, Endpoints: sel},
	}}
	for i := range 4 {
		endpoint, c, err := e.sys.AddEngine(fmt.Sprintf("resume-%d", i), "dc-a", map[string]string{"app": "resume"},
			fakeengine.Options{TokenDelay: 5 * time.Millisecond, Version: 7})
		e.check(err)
		e.engines, e.endpointConfigs = append(e.engines, endpoint), append(e.endpointConfigs, c)
	}
	put.Endpoints = e.endpointConfigs
	_, err := e.ops.Change(context.Background(), api.ChangeRequest{Put: put})
	e.check(err)
	for i := range e.sys.Instances {
		e.eventually("services in force", func() bool {
			_, complete := e.stream(i, "abort", "warm up", 1, func(int) {})
			return complete
		})
	}
	return e
}

// ranAt returns which engines ran a prompt.
func (e *resumeTestbed) ranAt(prompt string) (at []int) {
	for i, engine := range e.engines {
		if engine.Record().RunsByContent[prompt] > 0 {
			at = append(at, i)
		}
	}
	return at
}

// TestStreamsResumeAtAnotherEngine crashes the engine of a stream after each number of
// tokens, and marks the engine of another stream as leaving. Both must be continued
// at another engine. Without resume, a stream must be truncated.
func TestStreamsResumeAtAnotherEngine(t *testing.T) {
	e := newResumeTestbed(t)
	const tokens = 16
	for cut := 1; cut < tokens; cut++ {
		prompt := fmt.Sprintf("cut at %d", cut)
		got, complete := e.stream(cut%2, "resume", prompt, tokens, func(n int) {
			if n == cut {
				e.engines[e.ranAt(prompt)[0]].Crash()
			}
		})
		if !complete || !slices.Equal(got, fakeengine.Tokens(prompt, 9, tokens)) {
			t.Errorf("%s: complete %v, tokens %v", prompt, complete, got)
		}
		for _, engine := range e.engines {
			engine.Restart()
		}
		e.eventually("engines restarted", func() bool {
			_, complete := e.stream(cut%2, "abort", "probe", 1, func(int) {})
			return complete
		})
	}
	const long = 400
	got, complete := e.stream(0, "resume", "leaving", long, func(n int) {
		if n == 5 {
			c := e.endpointConfigs[e.ranAt("leaving")[0]]
			c.Leaving = true
			_, err := e.ops.Change(context.Background(), api.ChangeRequest{Put: config.Objects{Endpoints: []config.Endpoint{c}}})
			e.check(err)
		}
	})
	if !complete || !slices.Equal(got, fakeengine.Tokens("leaving", 9, long)) || len(e.ranAt("leaving")) < 2 {
		t.Errorf("leaving: complete %v, %d tokens, ran at %v", complete, len(got), e.ranAt("leaving"))
	}
	if got, complete := e.stream(1, "abort", "no resume", tokens, func(n int) {
		if n == 5 {
			e.engines[e.ranAt("no resume")[0]].Crash()
		}
	}); complete || len(got) == 0 {
		t.Errorf("without resume: complete %v, %d tokens", complete, len(got))
	}
}
