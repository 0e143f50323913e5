package proctest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/order"
)

const (
	ordersDuty = "orders/dc-1"
	usageDuty  = "usage"
	// answerTime is how long the platform's answers take, and lossTime how
	// long its losses are left to happen.
	answerTime = 100 * time.Millisecond
	lossTime   = time.Second
)

// row reads a row of the platform's table past its faults.
func (s *system) row(key string, into any) {
	s.Helper()
	var row infra.Row
	s.control(s.platform, http.MethodGet, "/control/row?key="+url.QueryEscape(key), nil, &row)
	if len(row.Value) == 0 {
		return
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		s.Fatal(err)
	}
}

// holder waits for a holder of a duty other than not.
func (s *system) holder(duty string, not *instance) *instance {
	s.Helper()
	var found *instance
	s.until("a holder of "+duty, func() bool {
		var l lease.Row
		s.row("lease/"+duty, &l)
		for _, in := range s.instances {
			if in.name == l.Holder && !l.Released && in != not {
				found = in
			}
		}
		return found != nil
	})
	return found
}

// ordering changes the pool's count and returns the holder that has written
// the intent, while the answer is still on its way. The order comes next.
func (s *system) ordering(n int) *instance {
	s.Helper()
	through := s.other(s.holder(ordersDuty, nil))
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		s.wantPool(through, n)
	}()
	s.until("an open intent", func() bool {
		in := order.Intent{Done: true}
		s.row("order/dc-1/pool/cheap", &in)
		return !in.Done
	})
	h := s.holder(ordersDuty, nil)
	h.signal(syscall.SIGSTOP)
	<-changed
	return h
}

// wantPool sets, through an instance, how many endpoints the pool has.
func (s *system) wantPool(through *instance, n int) {
	s.Helper()
	s.ctl(through, fmt.Sprintf(`{"services": [{"name": "pool", "type": "engine", "endpoints": "app=none",
		"pools": [{"data_centre": "dc-1", "tier": "cheap", "min": %d, "max": %d}]}]}`, n, n), "apply", "-f", "-")
}

// untilPool waits until the platform runs n endpoints of the pool.
func (s *system) untilPool(n int) {
	s.Helper()
	s.until(fmt.Sprintf("%d endpoints", n), func() bool {
		_, running := s.endpointsIn("dc-1")
		return running == n
	})
}

// other returns an instance that is none of those given.
func (s *system) other(not ...*instance) *instance {
	for _, in := range s.instances {
		if !slices.Contains(not, in) {
			return in
		}
	}
	s.Fatal("no other instance")
	return nil
}

// TestHolderPausedAndKilled pauses holders of duties in the middle of their
// work and kills one, over a platform that is slow, loses answers and ignores
// epochs, and checks what arrived there.
func TestHolderPausedAndKilled(t *testing.T) {
	s := start(t, 3, standins...)
	load := s.call(s.deploy())
	s.wantPool(s.instances[0], 2)
	s.untilPool(2)
	for round := range 4 {
		s.control(s.platform, http.MethodPut, "/control/faults",
			fakeplatform.Faults{SlowAnswer: answerTime, LoseAnswers: 1, LoseRequests: 1}, nil)
		time.Sleep(lossTime)
		h := s.holder(usageDuty, nil)
		if round%2 == 0 {
			h = s.ordering(3 + round)
		}
		h.signal(syscall.SIGSTOP)
		s.holder(ordersDuty, h)
		s.holder(usageDuty, h)
		s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{SlowAnswer: answerTime}, nil)
		s.wantPool(s.other(h), 6+round)
		s.untilPool(6 + round)
		h.signal(syscall.SIGCONT)
		s.until("ready "+h.name, func() bool { return s.ready(h) })
		s.wantPool(s.other(h), 1+round)
		s.untilPool(1 + round)
	}
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{}, nil)
	victim := s.holder(usageDuty, nil)
	victim.signal(syscall.SIGKILL)
	<-victim.exited
	s.holder(usageDuty, victim)
	s.holder(ordersDuty, victim)
	s.wantPool(s.other(victim), 5)
	s.untilPool(5)
	load.check()
	s.until("a usage report", func() bool { return len(s.record().Reports) > 0 })
	reported := fmt.Sprint(s.record().Reports[0].Window)
	if text := s.ctl(s.other(victim), "", "usage", "--window", reported); !strings.Contains(text, "yes") {
		t.Errorf("a reported window is not sealed:\n%s", text)
	}
	s.checkOrders()
	s.checkReports(load, victim)
}

// checkOrders demands that in each data centre epochs only rise, and that each
// has one holder and each order one count. It returns the holders.
func (s *system) checkOrders() map[string]bool {
	s.Helper()
	holderOf, counts, last, holders := map[string]string{}, map[string]int{}, map[string]uint64{}, map[string]bool{}
	list := s.record().Orders
	for _, o := range list {
		epoch := fmt.Sprintf("%s/%d", o.DataCentre, o.Epoch)
		if h, ok := holderOf[epoch]; ok && h != o.Holder {
			s.Errorf("epoch %s of %s and %s", epoch, h, o.Holder)
		}
		if n, ok := counts[o.ID]; ok && n != o.Count {
			s.Errorf("order %s with counts %d and %d", o.ID, n, o.Count)
		}
		if o.Epoch < last[o.DataCentre] {
			s.Errorf("order %s of %s in epoch %d after epoch %d", o.ID, o.Holder, o.Epoch, last[o.DataCentre])
		}
		holderOf[epoch], counts[o.ID], last[o.DataCentre], holders[o.Holder] = o.Holder, o.Count, o.Epoch, true
	}
	s.Logf("%d orders, by epoch and holder: %v", len(list), holderOf)
	return holders
}

// checkReports waits until all usage is reported, but for what a killed
// instance may not have written, and demands that no more ever is.
func (s *system) checkReports(load *callers, victim *instance) {
	s.Helper()
	served, ofVictim, uncertain := uint64(0), uint64(0), uint64(0)
	for _, r := range append(load.streams, load.calls...) {
		switch {
		case r.whole && r.in == victim:
			ofVictim++
			served++
		case r.whole:
			served++
		case r.refused == nil:
			uncertain++ // it may have been served, only the caller didn't see it
		}
	}
	served += uint64(len(s.instances)) // the key's warm-up
	reported := uint64(0)
	s.until("usage reported", func() bool {
		reported, _ = s.reported()
		return reported >= served-ofVictim
	})
	time.Sleep(freeze) // two more windows, which might hold too much
	if reported, _ = s.reported(); reported > served+uncertain {
		s.Errorf("%d requests reported, %d served and %d perhaps", reported, served, uncertain)
	}
	s.Logf("%d requests served, %d perhaps, %d reported, in %d reports", served, uncertain, reported, len(s.record().Reports))
}

// reported adds up the requests in the reports, each window once, and counts
// the windows. It demands that a window has one set of figures, that epochs
// only rise, and that each has one holder.
func (s *system) reported() (sum uint64, reportedWindows int) {
	s.Helper()
	windows, holderOf, last := map[int64][]infra.TeamUsage{}, map[uint64]string{}, uint64(0)
	for _, r := range s.record().Reports {
		if h, ok := holderOf[r.Epoch]; ok && h != r.Holder {
			s.Errorf("epoch %d has holders %s and %s", r.Epoch, h, r.Holder)
		}
		holderOf[r.Epoch] = r.Holder
		if r.Epoch < last {
			s.Errorf("window %d reported in epoch %d after epoch %d", r.Window, r.Epoch, last)
		}
		last = r.Epoch
		if before, ok := windows[r.Window]; ok {
			if !reflect.DeepEqual(before, r.Teams) {
				s.Errorf("window %d reported as %v and %v", r.Window, before, r.Teams)
			}
			continue
		}
		windows[r.Window] = r.Teams
		for _, u := range r.Teams {
			sum += u.Requests
		}
	}
	return sum, len(windows)
}
