package filter

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/view"
)

// TestTeamLimitSum checks that the instances together admit no more requests
// than the limit, or one request each if the limit is smaller than the number
// of instances.
func TestTeamLimitSum(t *testing.T) {
	for maxInFlight := 1; maxInFlight < 40; maxInFlight++ {
		c := config.NewState()
		c.Teams["a"] = config.Team{MaxInFlight: maxInFlight}
		for _, m := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
			c.Members[m] = config.Member{}
		}
		v := view.NewStore()
		v.Update(func(v *view.View) { v.SetConfig(c) })
		admitted := 0
		for range c.Members {
			admitted += fill(&TeamLimit{}, &Request{View: v.Load(), Team: "a"})
		}
		if admitted > max(maxInFlight, len(c.Members)) {
			t.Fatalf("limit %d: %d requests in flight", maxInFlight, admitted)
		}
	}
}

// TestTeamLimitFollowsDemand checks borrowing. Nine instances share a limit of
// 90, and all callers use one instance. That instance borrows from the others,
// while the sum stays within the limit. After 30 s without messages it admits only
// its own part again.
func TestTeamLimitFollowsDemand(t *testing.T) {
	const maxInFlight, instances = 90, 9
	c := config.NewState()
	c.Teams["a"] = config.Team{MaxInFlight: maxInFlight}
	for i := range instances {
		c.Members[strconv.Itoa(i)] = config.Member{}
	}
	v := view.NewStore()
	v.Update(func(v *view.View) { v.SetConfig(c) })
	now := &fakeClock{}
	var list [instances]*TeamLimit
	for i := range list {
		list[i] = &TeamLimit{Views: v, Clock: now, MaxRequestTime: time.Minute, Seq: 1}
	}
	r := &Request{View: v.Load(), Team: "a"}
	before := fill(list[0], r)
	for range 8 {
		now.t += time.Second / 4
		fill(list[0], r)
		for i, l := range list[1:] {
			lender := strconv.Itoa(i + 1)
			list[0].HandleGrants(now.t, lender, l.HandleBorrowRequests("0", list[0].BorrowRequests(lender)))
		}
	}
	sum, after := 0, fill(list[0], r)
	for _, l := range list {
		sum += fill(l, r)
	}
	t.Logf("in flight at one instance: %d, then %d; at all %d of %d", before, after, sum, maxInFlight)
	if after < maxInFlight*2/3 || sum > maxInFlight {
		t.Errorf("in flight at one instance: %d, then %d; at all %d of %d", before, after, sum, maxInFlight)
	}
	now.t += 30 * time.Second
	if n := fill(list[0], r); n != before {
		t.Errorf("%d in flight long after the last message, want %d as before the first", n, before)
	}
}

type fakeClock struct{ t time.Duration }

func (c *fakeClock) Now() time.Duration { return c.t }

// fill returns how many requests are admitted at the same time. Each request is
// sent from within the handler of the one before.
func fill(l *TeamLimit, r *Request) (n int) {
	var inner HandlerFunc
	inner = func(w http.ResponseWriter, r *Request) error {
		n++
		return l.ServeHTTP(w, r, inner)
	}
	err := l.ServeHTTP(httptest.NewRecorder(), r, inner)
	var ce *code.Error
	if !errors.As(err, &ce) || ce.Number != code.TeamLimit {
		panic("the chain of requests did not end with code.TeamLimit")
	}
	return n
}
