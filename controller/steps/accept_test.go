package steps_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

// TestLostAnswer checks submissions for which the store's response to the commit
// is lost: the step is accepted if the commit took effect. Otherwise it is refused,
// and a later execution of the commit has no effect.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration // negative: never
		code  code.Number
	}{
		{"executed", 0, code.OK},
		{"lost", -1, code.StoreDown},
		{"executed late", 3 * time.Second, code.StoreDown},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, "a")
				defer cluster.stopAll()
				a := cluster.instances["a"]
				lose := func(commit func()) error {
					a.table.interceptCommit.Store(nil) // only the first one
					switch {
					case c.delay == 0:
						commit()
					case c.delay > 0:
						time.AfterFunc(c.delay, commit)
					}
					return infra.ErrUnknownOutcome
				}
				a.table.interceptCommit.Store(&lose)
				err := cluster.accept(a, spec("s", 2))
				if c.code == code.OK {
					if err != nil {
						t.Fatal(err)
					}
					cluster.mustRead(a, "s", 2, time.Minute)
					return
				}
				wantCode(t, err, c.code)
				time.Sleep(time.Minute)
				if n := cluster.startedSamples("s", 2); n != 0 {
					t.Errorf("%d samples of a refused step were started, want none", n)
				}
				cluster.mustAccept(a, spec("s", 2))
				cluster.mustRead(a, "s", 2, time.Minute)
			})
		})
	}
}

// TestSlowReads checks that readers that wait for a slow store do not block other
// callers.
func TestSlowReads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		b := cluster.instances["b"]
		cluster.mustAccept(cluster.instances["a"], spec("s", 2))
		if _, err := b.Read(t.Context(), "s", team, 0, 0); err != nil {
			t.Fatal(err)
		}
		b.table.slow.Store(int64(1500 * time.Millisecond))
		for range 3 {
			go func() { _, _ = b.Read(t.Context(), "s", team, 0, time.Minute) }()
		}
		for range 5 {
			time.Sleep(700 * time.Millisecond)
			began := time.Now()
			b.OpenSteps()
			cluster.mustAccept(b, spec(fmt.Sprint("s", began.UnixNano()), 1))
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Errorf("step accepted after %v, want at most 100ms", took)
			}
		}
		b.table.slow.Store(0)
		cluster.mustRead(b, "s", 2, time.Minute)
	})
}

// TestLargeStep checks that a step that needs many rows and transactions is read
// back completely, including its large bodies.
func TestLargeStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		s := spec("s", 40)
		for i := range s.Samples {
			s.Samples[i].Body = []byte(strings.Repeat("x", 90_000+i))
		}
		cluster.mustAccept(cluster.instances["a"], s)
		for _, i := range []int{0, 39} {
			body, err := cluster.instances["b"].Body(t.Context(), "s", team, s.Samples[i].ID)
			if err != nil || len(body) != 90_000+i {
				t.Errorf("sample %d: got body of %d bytes, error %v", i, len(body), err)
			}
		}
		cluster.mustRead(cluster.instances["b"], "s", 40, 2*time.Minute)
	})
}
