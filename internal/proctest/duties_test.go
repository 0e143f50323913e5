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
	// responseDelay is the delay of the platform's responses.
	responseDelay = 100 * time.Millisecond
	// lossPeriod is the time in which the platform loses requests and responses
	// before a round continues.
	lossPeriod = time.Second
)

// readRow decodes a row of the platform's table. Faults of the platform do not
// affect the read.
func (s *system) readRow(key string, into any) {
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

// waitHolder waits until an instance other than excluded holds a duty's lease.
func (s *system) waitHolder(duty string, excluded *instance) *instance {
	s.Helper()
	var found *instance
	s.waitFor("a holder of the lease of "+duty, func() bool {
		var l lease.Row
		s.readRow("lease/"+duty, &l)
		for _, in := range s.instances {
			if in.name == l.Holder && !l.Released && in != excluded {
				found = in
			}
		}
		return found != nil
	})
	return found
}

// suspendOrderingHolder changes the pool's count, so that the holder of ordersDuty
// writes an intent. It suspends the holder while the response to this write is still
// delayed; the order would be the holder's next call. It returns the holder.
func (s *system) suspendOrderingHolder(n int) *instance {
	s.Helper()
	other := s.otherInstance(s.waitHolder(ordersDuty, nil))
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		s.setPoolSize(other, n)
	}()
	s.waitFor("an open intent", func() bool {
		in := order.Intent{Done: true}
		s.readRow("order/dc-1/pool/cheap", &in)
		return !in.Done
	})
	h := s.waitHolder(ordersDuty, nil)
	h.signal(syscall.SIGSTOP)
	<-changed
	return h
}

// setPoolSize changes the number of endpoints of the pool through an instance.
func (s *system) setPoolSize(in *instance, n int) {
	s.Helper()
	s.ctl(in, fmt.Sprintf(`{"services": [{"name": "pool", "type": "engine", "endpoints": "app=none",
		"pools": [{"data_centre": "dc-1", "tier": "cheap", "min": %d, "max": %d}]}]}`, n, n), "apply", "-f", "-")
}

// waitPoolSize waits until the platform runs n endpoints of the pool.
func (s *system) waitPoolSize(n int) {
	s.Helper()
	s.waitFor(fmt.Sprintf("%d running endpoints", n), func() bool {
		_, running := s.endpointsIn("dc-1")
		return running == n
	})
}

// otherInstance returns an instance that is not excluded.
func (s *system) otherInstance(excluded ...*instance) *instance {
	for _, in := range s.instances {
		if !slices.Contains(excluded, in) {
			return in
		}
	}
	s.Fatal("no other instance")
	return nil
}

// TestHolderPausedAndKilled suspends holders of duties in the middle of their work
// and kills one, while the platform is slow and loses requests and responses. The
// platform ignores epochs. The test checks the orders and reports that it received.
func TestHolderPausedAndKilled(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	load := s.startLoad(s.deploy())
	s.setPoolSize(s.instances[0], 2)
	s.waitPoolSize(2)
	for round := range 4 {
		s.control(s.platform, http.MethodPut, "/control/faults",
			fakeplatform.Faults{SlowResponse: responseDelay, LoseResponses: 1, LoseRequests: 1}, nil)
		time.Sleep(lossPeriod)
		h := s.waitHolder(usageDuty, nil)
		if round%2 == 0 {
			h = s.suspendOrderingHolder(3 + round)
		}
		h.signal(syscall.SIGSTOP)
		s.waitHolder(ordersDuty, h)
		s.waitHolder(usageDuty, h)
		s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{SlowResponse: responseDelay}, nil)
		s.setPoolSize(s.otherInstance(h), 6+round)
		s.waitPoolSize(6 + round)
		h.signal(syscall.SIGCONT)
		s.waitFor("ready "+h.name, func() bool { return s.ready(h) })
		s.setPoolSize(s.otherInstance(h), 1+round)
		s.waitPoolSize(1 + round)
	}
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{}, nil)
	victim := s.waitHolder(usageDuty, nil)
	victim.signal(syscall.SIGKILL)
	<-victim.exited
	s.waitHolder(usageDuty, victim)
	s.waitHolder(ordersDuty, victim)
	s.setPoolSize(s.otherInstance(victim), 5)
	s.waitPoolSize(5)
	load.check()
	s.waitFor("a usage report", func() bool { return len(s.platformRecord().Reports) > 0 })
	reported := fmt.Sprint(s.platformRecord().Reports[0].Window)
	if text := s.ctl(s.otherInstance(victim), "", "usage", "--window", reported); !strings.Contains(text, "yes") {
		t.Errorf("a reported window is not sealed:\n%s", text)
	}
	s.checkOrders()
	s.checkReports(load, victim)
}

// checkOrders checks that in each data centre epochs never decrease and each epoch
// has one holder, and that a repeated order has the same count. It returns the
// holders.
func (s *system) checkOrders() map[string]bool {
	s.Helper()
	holderOf, counts, last, holders := map[string]string{}, map[string]int{}, map[string]uint64{}, map[string]bool{}
	list := s.platformRecord().Orders
	for _, o := range list {
		epoch := fmt.Sprintf("%s/%d", o.DataCentre, o.Epoch)
		if h, ok := holderOf[epoch]; ok && h != o.Holder {
			s.Errorf("epoch %s has holders %s and %s", epoch, h, o.Holder)
		}
		if n, ok := counts[o.ID]; ok && n != o.Count {
			s.Errorf("order %s has counts %d and %d", o.ID, n, o.Count)
		}
		if o.Epoch < last[o.DataCentre] {
			s.Errorf("order %s of %s has epoch %d after epoch %d", o.ID, o.Holder, o.Epoch, last[o.DataCentre])
		}
		holderOf[epoch], counts[o.ID], last[o.DataCentre], holders[o.Holder] = o.Holder, o.Count, o.Epoch, true
	}
	s.Logf("%d orders, by epoch and holder: %v", len(list), holderOf)
	return holders
}

// checkReports waits until all usage is reported, except for usage that the killed
// instance may not have written. It then checks that no more usage is reported than
// was possible.
func (s *system) checkReports(load *callerLoad, victim *instance) {
	s.Helper()
	served, ofVictim, uncertain := uint64(0), uint64(0), uint64(0)
	for _, r := range append(load.streams, load.calls...) {
		switch {
		case r.complete && r.in == victim:
			ofVictim++
			served++
		case r.complete:
			served++
		case r.refused == nil:
			uncertain++ // it may have been served without a response to the caller
		}
	}
	served += uint64(len(s.instances)) // the first request of newKey to each instance
	reported := uint64(0)
	s.waitFor("usage reported", func() bool {
		reported, _ = s.reportedRequests()
		return reported >= served-ofVictim
	})
	time.Sleep(freezeTime) // two more windows, which may contain too much usage
	if reported, _ = s.reportedRequests(); reported > served+uncertain {
		s.Errorf("%d requests reported, %d served and %d possibly served", reported, served, uncertain)
	}
	s.Logf("%d requests served, %d possibly served, %d reported, in %d reports", served, uncertain, reported, len(s.platformRecord().Reports))
}

// reportedRequests returns the number of requests in the reports, with each window
// counted once, and the number of windows. It checks that all reports of a window
// are equal, that epochs never decrease, and that each epoch has one holder.
func (s *system) reportedRequests() (sum uint64, reportedWindows int) {
	s.Helper()
	windows, holderOf, last := map[int64][]infra.TeamUsage{}, map[uint64]string{}, uint64(0)
	for _, r := range s.platformRecord().Reports {
		if h, ok := holderOf[r.Epoch]; ok && h != r.Holder {
			s.Errorf("epoch %d has holders %s and %s", r.Epoch, h, r.Holder)
		}
		holderOf[r.Epoch] = r.Holder
		if r.Epoch < last {
			s.Errorf("window %d reported in epoch %d after epoch %d", r.Window, r.Epoch, last)
		}
		last = r.Epoch
		if previous, ok := windows[r.Window]; ok {
			if !reflect.DeepEqual(previous, r.Teams) {
				s.Errorf("window %d reported as %v and %v", r.Window, previous, r.Teams)
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
