package lease_test

import (
	"testing"
	"time"

	"github.com/cumincove/cumincove/lease"
)

// TestTakeBack checks that a process acquires the lease of an earlier process
// of its name at once. It acquires the lease of a later process of its name, or
// of another name, only after the wait.
func TestTakeBack(t *testing.T) {
	const incarnation = 5
	cases := []struct {
		name   string
		row    lease.Row
		off    bool
		atOnce bool
	}{
		{name: "an earlier process of its name", row: lease.Row{Holder: "a", Incarnation: 4}, atOnce: true},
		{name: "a later process of its name", row: lease.Row{Holder: "a", Incarnation: 6}},
		{name: "another name", row: lease.Row{Holder: "b", Incarnation: 4}},
		{name: "not set", row: lease.Row{Holder: "a", Incarnation: 4}, off: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := lease.New(lease.Config{Holder: "a", Incarnation: incarnation, Duration: 3 * time.Second, AllowSelfTakeover: !tc.off})
			m.SetCandidate(true, "")
			m.Tick(0)
			tc.row.Epoch, tc.row.TakeoverWait = 7, 3*time.Second
			m.Step(0, lease.ReadDone{Row: tc.row, Version: 9})
			actions := m.Tick(time.Millisecond)
			if len(actions) == 0 {
				if tc.atOnce {
					t.Error("lease not acquired at once")
				}
				return
			}
			w, ok := actions[0].(lease.Write)
			if ok != tc.atOnce || ok && (!w.Acquire || w.Row.Epoch != 8) {
				t.Errorf("unexpected action %+v", actions[0])
			}
		})
	}
}
