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

// resumeTestbed is a testbed with model engines behind two services.
// Interrupted streams of the service "resume" are continued at another engine,
// those of "abort" are not.
type resumeTestbed struct {
	*testbed
	engines         []*daemontest.Endpoint
	endpointConfigs []config.Endpoint
}

func newResumeTestbed(t testing.TB) *resumeTestbed {
	b := &resumeTestbed{testbed: newTestbed(t)}
	sel := label.MustParse("app=resume")
	put := config.Objects{Services: []config.Service{
		{Meta: config.Meta{Name: "resume"}, Type: config.ServiceEngine, Endpoints: sel, Resume: config.ResumeSameVersion},
		{Meta: config.Meta{Name: "abort"}, Type: config.ServiceEngine, Endpoints: sel},
	}}
	for i := range 4 {
		endpoint, c, err := b.sys.AddEngine(fmt.Sprintf("resume-%d", i), "dc-a", map[string]string{"app": "resume"},
			fakeengine.Options{TokenDelay: 5 * time.Millisecond, Version: 7})
		b.check(err)
		b.engines, b.endpointConfigs = append(b.engines, endpoint), append(b.endpointConfigs, c)
	}
	put.Endpoints = b.endpointConfigs
	_, err := b.ops.Change(context.Background(), api.ChangeRequest{Put: put})
	b.check(err)
	for i := range b.sys.Instances {
		b.eventually("services in force", func() bool {
			_, complete := b.stream(i, "abort", "warm up", 1, func(int) {})
			return complete
		})
	}
	return b
}

// ranAt returns which engines ran a prompt.
func (b *resumeTestbed) ranAt(prompt string) (at []int) {
	for i, engine := range b.engines {
		if engine.Record().RunsByContent[prompt] > 0 {
			at = append(at, i)
		}
	}
	return at
}

// TestStreamsResumeAtAnotherEngine crashes the engine of a stream after each
// number of tokens, and marks the engine of another stream as leaving. Both
// must be continued at another engine. Without resume, a stream must be
// truncated.
func TestStreamsResumeAtAnotherEngine(t *testing.T) {
	b := newResumeTestbed(t)
	const tokens = 16
	for cut := 1; cut < tokens; cut++ {
		prompt := fmt.Sprintf("cut at %d", cut)
		got, complete := b.stream(cut%2, "resume", prompt, tokens, func(n int) {
			if n == cut {
				b.engines[b.ranAt(prompt)[0]].Crash()
			}
		})
		if !complete || !slices.Equal(got, fakeengine.Tokens(prompt, 9, tokens)) {
			t.Errorf("%s: complete %v, tokens %v", prompt, complete, got)
		}
		for _, engine := range b.engines {
			engine.Restart()
		}
		b.eventually("engines restarted", func() bool {
			_, complete := b.stream(cut%2, "abort", "probe", 1, func(int) {})
			return complete
		})
	}
	const long = 400
	got, complete := b.stream(0, "resume", "leaving", long, func(n int) {
		if n == 5 {
			c := b.endpointConfigs[b.ranAt("leaving")[0]]
			c.Leaving = true
			_, err := b.ops.Change(context.Background(), api.ChangeRequest{Put: config.Objects{Endpoints: []config.Endpoint{c}}})
			b.check(err)
		}
	})
	if !complete || !slices.Equal(got, fakeengine.Tokens("leaving", 9, long)) || len(b.ranAt("leaving")) < 2 {
		t.Errorf("leaving: complete %v, %d tokens, ran at %v", complete, len(got), b.ranAt("leaving"))
	}
	if got, complete := b.stream(1, "abort", "no resume", tokens, func(n int) {
		if n == 5 {
			b.engines[b.ranAt("no resume")[0]].Crash()
		}
	}); complete || len(got) == 0 {
		t.Errorf("without resume: complete %v, %d tokens", complete, len(got))
	}
}
