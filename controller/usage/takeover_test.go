package usage_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// TestReportsInTimeAfterTheHolderIsCutOff checks that each window is reported
// within 10 s of its end although the holder of the duty loses its connection to
// the store for good, at various offsets within a window.
func TestReportsInTimeAfterTheHolderIsCutOff(t *testing.T) {
	const length, due = 5 * time.Second, 10 * time.Second
	o := timing{lease: 3 * time.Second, window: length, flush: time.Second, grace: 3 * time.Second}
	for offset := time.Duration(0); offset < length; offset += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			fake := fakeplatform.New(fakeplatform.Options{})
			a, b := startWith(t, fake, 0, o), startWith(t, fake, 1, o)
			defer b.stop()
			defer a.stop()
			time.Sleep(4*length + offset)
			holder := a
			if n := fake.Record().Reports; len(n) == 0 || n[len(n)-1].Holder != "i0" {
				holder = b
			}
			holder.off.Store(true)
			reported := map[int64]bool{}
			for range 60 {
				time.Sleep(500 * time.Millisecond)
				for _, r := range fake.Record().Reports {
					reported[r.Window] = true
				}
				last := time.Now().Add(-due - length)
				w := last.Unix() - last.Unix()%int64(length/time.Second)
				if !reported[w] {
					t.Fatalf("holder cut off at offset %v: window %d is not reported %v after its end", offset, w, due)
				}
			}
		})
	}
}

// TestHandoffWithoutOutage checks that a new holder that has observed no outage
// reports due windows at once, without waiting for the other instances to flush.
func TestHandoffWithoutOutage(t *testing.T) {
	const length, grace = 5 * time.Second, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{})
		o := timing{
			lease: 3 * time.Second, window: length, flush: time.Second, grace: grace,
			storeAvailableFor: func() time.Duration { return time.Hour },
		}
		a, b := startWith(t, fake, 0, o), startWith(t, fake, 1, o)
		time.Sleep(4*length + grace - 100*time.Millisecond) // just before a window is closed
		due := len(fake.Record().Reports) + 1
		holder, other := a, b
		if r := fake.Record().Reports; r[len(r)-1].Holder != "i0" {
			holder, other = b, a
		}
		defer other.stop()
		var stopping sync.WaitGroup
		defer stopping.Wait()
		stopping.Go(holder.stop)
		time.Sleep(2*o.flush - 100*time.Millisecond)
		if got := len(fake.Record().Reports); got < due {
			t.Errorf("%d windows reported, want %d", got, due)
		}
	})
}
