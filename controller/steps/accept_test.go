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

// TestLostAnswer: a submission whose answer is lost is accepted if it took
// effect. If not it is refused, and a delayed execution has no effect.
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
				w := newWorld(t, "a")
				defer w.stopAll()
				a := w.instances["a"]
				lose := func(commit func()) error {
					a.table.late.Store(nil) // only the first one
					switch {
					case c.delay == 0:
						commit()
					case c.delay > 0:
						time.AfterFunc(c.delay, commit)
					}
					return infra.ErrUnknownOutcome
				}
				a.table.late.Store(&lose)
				err := w.accept(a, spec("s", 2))
				if c.code == code.OK {
					if err != nil {
						t.Fatal(err)
					}
					w.mustRead(a, "s", 2, time.Minute)
					return
				}
				wantCode(t, err, c.code)
				time.Sleep(time.Minute)
				if n := w.started("s", 2); n != 0 {
					t.Errorf("%d samples of a refused step ran", n)
				}
				w.mustAccept(a, spec("s", 2))
				w.mustRead(a, "s", 2, time.Minute)
			})
		})
	}
}

// TestSlowReads: readers that wait for a slow store hold up nobody else.
func TestSlowReads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		b := w.instances["b"]
		w.mustAccept(w.instances["a"], spec("s", 2))
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
			b.Open()
			w.mustAccept(b, spec(fmt.Sprint("s", began.UnixNano()), 1))
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Errorf("a step was accepted after %v", took)
			}
		}
		b.table.slow.Store(0)
		w.mustRead(b, "s", 2, time.Minute)
	})
}

// TestLargeStep: a step over many rows and transactions comes back whole, as do
// long texts.
func TestLargeStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		defer w.stopAll()
		s := spec("s", 40)
		for i := range s.Samples {
			s.Samples[i].Body = []byte(strings.Repeat("x", 90_000+i))
		}
		w.mustAccept(w.instances["a"], s)
		for _, i := range []int{0, 39} {
			body, err := w.instances["b"].Body(t.Context(), "s", team, s.Samples[i].ID)
			if err != nil || len(body) != 90_000+i {
				t.Errorf("sample %d: body of %d bytes, %v", i, len(body), err)
			}
		}
		w.mustRead(w.instances["b"], "s", 40, 2*time.Minute)
	})
}
