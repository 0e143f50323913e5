package proctest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// withdrawalBound is how long a request with a withdrawn key may run after the
// withdrawal was acknowledged.
const withdrawalBound = 3 * time.Second

// relay starts a relay to an instance's peer address and returns the relay's
// address. The connections of the isolated instance are silent in both directions.
func (s *system) relay(to *instance) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.relayConn(conn, to)
		}
	}()
	return ln.Addr().String()
}

// relayConn connects conn to the peer address of an instance.
func (s *system) relayConn(conn net.Conn, to *instance) {
	defer conn.Close()
	from := s.diallingInstance(conn)
	out, err := net.Dial("tcp", to.peers)
	if err != nil {
		return
	}
	defer out.Close()
	if from == nil {
		return // the dialling instance has closed the connection or exited
	}
	go s.forward(out, conn, from, to)
	s.forward(conn, out, from, to)
}

// forward copies from src to dst. It waits while one of the two instances is
// isolated.
func (s *system) forward(dst, src net.Conn, from, to *instance) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, readErr := src.Read(buf)
		for in := s.isolated.Load(); in != nil && (in == from || in == to); in = s.isolated.Load() {
			time.Sleep(pollPeriod)
		}
		if _, err := dst.Write(buf[:n]); err != nil || readErr != nil {
			return
		}
	}
}

// diallingInstance returns the instance that opened a connection, or nil if there
// is none. It finds the process that owns the socket in Linux's /proc.
func (s *system) diallingInstance(conn net.Conn) (found *instance) {
	sockets, _ := os.ReadFile("/proc/net/tcp")
	local := fmt.Sprintf("0100007F:%04X", conn.RemoteAddr().(*net.TCPAddr).Port)
	for line := range strings.Lines(string(sockets)) {
		const localField, inodeField = 1, 9
		fields := strings.Fields(line)
		if fields[localField] != local {
			continue
		}
		s.processes.Range(func(pid, in any) bool {
			files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
			for _, file := range files {
				if link, _ := os.Readlink(file); link == "socket:["+fields[inodeField]+"]" {
					found = in.(*instance)
				}
			}
			return found == nil
		})
	}
	return found
}

// TestSplit withdraws a key while an instance is disconnected from its peers, once
// with the platform up and once with it down. Within withdrawalBound no request with
// the key may run there. After the split the instance must accept requests again.
func TestSplit(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %v", down), func(t *testing.T) { testSplit(t, down) })
	}
}

func testSplit(t *testing.T, down bool) {
	s := startWith(&system{T: t, useRelays: true}, 3, fakeArgs)
	load := s.startLoad(s.deploy())
	withdrawn := s.newKey("to-withdraw")
	isolated := s.instances[2]
	stream := s.startStream(isolated, withdrawn, "over the split", 100_000)
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{Down: down}, nil)
	s.isolated.Store(isolated)
	s.ctl(s.instances[0], "", "key", "withdraw", "to-withdraw")
	select {
	case r := <-stream:
		if !r.interrupted {
			t.Errorf("the stream with a withdrawn key ended as %+v", r)
		}
	case <-time.After(withdrawalBound):
		t.Error("a stream with a withdrawn key continues")
	}
	r, _ := generate(isolated, withdrawn, "in the split", 1)
	if n := s.runsOf("in the split"); n > 0 || !r.refusedAs(code.NotFresh, code.KeyWithdrawn) {
		t.Errorf("a request with a withdrawn key ended as %+v, run %d times", r, n)
	}
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{}, nil)
	s.isolated.Store(nil)
	s.waitFor("a complete response after the split", func() bool {
		r, _ := generate(isolated, load.key, "after the split", 1)
		return r.complete
	})
	if r, _ := generate(isolated, withdrawn, "late", 1); !r.refusedAs(code.KeyWithdrawn) {
		t.Errorf("a request with a withdrawn key ended as %+v after the split", r)
	}
	load.check()
}
