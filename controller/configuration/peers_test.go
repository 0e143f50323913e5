package configuration

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/freshness"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
)

// newMemberTest returns a Controller of instance a that has installed the given
// version with the given member list. It has reports of b, which confirmed version
// 4, and of c, which confirmed the installed version.
func newMemberTest(t *testing.T, version uint64, members []string) *Controller {
	t.Helper()
	c := New(Options{Self: "a", Clock: clock.Boot{}, Freshness: time.Hour})
	if err := c.reader.Install(version, members); err != nil {
		t.Fatal(err)
	}
	now := c.o.Clock.Now()
	c.reader.HandleReply(now, "b", version, []freshness.Report{{Member: "b"}, {Member: "c", Age: time.Minute}})
	c.confirmedVersions = map[string]uint64{"b": 4, "c": version}
	return c
}

// TestFreshnessReports checks that a peer decodes the freshness reports of a
// response as they were sent, packed or not, and ignores packed reports for
// another member list. Requests must carry no reports.
func TestFreshnessReports(t *testing.T) {
	list := []string{"a", "b", "c"}
	from := newMemberTest(t, 5, list)
	own := freshness.ListDigest(list)
	for _, test := range []struct {
		name   string
		digest uint64 // of the requesting peer's list
		to     []string
		packed bool
		want   map[string]uint64
	}{
		{"same list", own, list, true, map[string]uint64{"b": 4, "c": 5}},
		{"other list", own + 1, []string{"b", "c"}, false, map[string]uint64{"b": 4, "c": 5}},
		{"peer that sends no digest", 0, list, false, map[string]uint64{"b": 4, "c": 5}},
		{"list changed since the request", own, []string{"b", "c", "d"}, true, map[string]uint64{}},
	} {
		resp := &gossipv1.Envelope{}
		from.Fill(resp, "x", &gossipv1.Envelope{Freshness: &gossipv1.Freshness{List: test.digest}})
		f := resp.GetFreshness()
		if packed := len(f.GetAges()) > 0; packed != test.packed || packed == (len(f.GetWords()) > 0) {
			t.Errorf("%s: packed %v, %d reports with names", test.name, packed, len(f.GetWords()))
		}
		reports, confirmed := newMemberTest(t, 5, test.to).reports(f)
		if !maps.Equal(confirmed, test.want) {
			t.Errorf("%s: confirmed versions %v, want %v", test.name, confirmed, test.want)
		}
		for _, r := range reports {
			if r.Member == "c" && r.Age < time.Minute {
				t.Errorf("%s: the report of c is %v old, want a minute or more", test.name, r.Age)
			}
		}
	}
	request := &gossipv1.Envelope{}
	from.Fill(request, "x", nil)
	if f := request.GetFreshness(); len(f.GetAges())+len(f.GetWords()) > 0 {
		t.Error("a request carries freshness reports")
	}
}

// TestPollPeriodOfManyInstances checks that the poll period of a fresh instance
// grows with the number of instances, also for an instance that is not on the
// member list, as are most instances of a large system.
func TestPollPeriodOfManyInstances(t *testing.T) {
	const instances = 520
	all := map[string]view.Member{}
	for i := range instances {
		all[fmt.Sprint(i)] = view.Member{}
	}
	for _, list := range [][]string{{"a", "b", "c"}, {"b", "c", "d"}} {
		c := newMemberTest(t, 5, list)
		c.o.Views = view.NewStore()
		c.o.Views.Update(func(v *view.View) { v.Members = all })
		c.o.Poll = time.Second
		if p := c.pollPeriod(); p > 2*c.o.Poll {
			t.Errorf("list %v: poll period is %v before the first read", list, p)
		}
		c.reader.HandleStoreRead(c.o.Clock.Now(), 5)
		if p := c.pollPeriod(); p < instances/storeReaders*c.o.Poll/2 {
			t.Errorf("list %v: poll period is only %v after the first read", list, p)
		}
	}
}
