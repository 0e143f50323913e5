package proctest

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// TestWithdrawalOutlivesAllInstances withdraws a key while the table is down, and
// kills every instance that has received the withdrawal before the table is up
// again. The new instances must run no request with the key.
func TestWithdrawalOutlivesAllInstances(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	withdrawn := s.newKey("to-withdraw")
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{TableDown: true}, nil)
	if out := s.ctl(s.instances[0], "", "key", "withdraw", "to-withdraw"); !strings.Contains(out, "durable no, copied yes") {
		t.Fatalf("the withdrawal was not copied: %s", out)
	}
	old := s.instances
	s.instances = nil
	for _, in := range old {
		in.signal(syscall.SIGKILL)
		<-in.exited
	}
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{}, nil)
	for _, in := range old {
		s.addInstance(in.name, "dc-1")
	}
	for _, in := range s.instances {
		s.waitFor("a complete response at "+in.name, func() bool {
			r, _ := generate(in, withdrawn, "under a lost withdrawal", 1)
			if r.complete {
				t.Fatal("a request ran with the withdrawn key")
			}
			r, _ = generate(in, key, "under a key that works", 1)
			return r.complete
		})
		r, _ := generate(in, withdrawn, "under a lost withdrawal", 1)
		if r.refused == nil || r.refused.Code != int(code.KeyWithdrawn) {
			t.Errorf("a request with the withdrawn key ended as %+v at %s", r, in.name)
		}
	}
	s.waitFor("the withdrawal in the audit trail", func() bool {
		return strings.Contains(s.ctl(s.instances[1], "", "audit"), "to-withdraw")
	})
	if n := s.runsOf("under a lost withdrawal"); n > 0 {
		t.Errorf("%d requests ran with the withdrawn key", n)
	}
}
