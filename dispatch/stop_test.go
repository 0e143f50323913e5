package dispatch

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/code"
)

// TestStopRefusesWhatMayOutlastIt guards against requests that wait until this instance
// ends, and are then cut without an answer: those that may wait longer are refused at
// once, and the others are still served.
func TestStopRefusesWhatMayOutlastIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newTestDispatcher(t)
		now := d.opt.Clock.Now()
		short, long := now+4*time.Second, now+time.Minute
		var mu sync.Mutex
		var slots []*Slot
		refused, served := 0, 0
		acquire := func(deadline time.Duration) {
			slot, err := d.Acquire(t.Context(), Work{Service: "s", Team: "a", Deadline: deadline})
			mu.Lock()
			defer mu.Unlock()
			var coded *code.Error
			switch {
			case err == nil:
				slots = append(slots, slot)
				if deadline == short {
					served++
				}
			case errors.As(err, &coded) && coded.Number == code.Draining && deadline == long && coded.Info().Effect == code.NotRun:
				refused++
			default:
				t.Errorf("deadline %v: %v", deadline, err)
			}
		}
		var wg sync.WaitGroup
		for d.service("s").waiting.Load() == 0 { // until all slots are in use
			wg.Go(func() { acquire(long) })
			synctest.Wait()
		}
		for range 3 {
			wg.Go(func() { acquire(short) })
		}
		wg.Go(func() { acquire(long) })
		synctest.Wait()
		d.Stop(now + 5*time.Second)
		wg.Go(func() { acquire(long) })
		synctest.Wait()
		mu.Lock()
		if refused != 3 || served != 0 {
			t.Errorf("%d requests were refused and %d served, want 3 and 0", refused, served)
		}
		inUse := slots
		mu.Unlock()
		for _, slot := range inUse {
			slot.Done(Answered)
		}
		wg.Wait()
		if served != 3 {
			t.Errorf("%d of the requests that end in time were served, want 3", served)
		}
	})
}
