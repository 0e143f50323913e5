package proctest

import (
	"net/http"
	"testing"

	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/tlsfile/tlstest"
)

// TestEncrypted runs all parts of the system with TLS on every connection. While the
// store is down, instances remain fresh only through messages of their peers. No
// address may accept unencrypted requests.
func TestEncrypted(t *testing.T) {
	s := startWith(&system{T: t, authority: tlstest.New(t)}, 3, fakeArgs)
	load := s.startLoad(s.deploy())
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{Down: true}, nil)
	s.ctl(s.instances[0], "", "key", "withdraw", "first")
	for _, in := range s.instances {
		s.waitWithdrawn(in, load.key)
		for _, addr := range []string{in.callers, in.peers, in.operators} {
			resp, err := http.Get("http://" + addr + "/healthz")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusBadRequest {
				t.Errorf("%s responds without encryption: %s", addr, resp.Status)
			}
		}
	}
	load.check()
}
