package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/membudget"
)

// TestEvictedHead: a head that gives way to another one gets a response without TLS.
func TestEvictedHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100 << 10
		budget := membudget.New(membudget.Options{Total: total, Reserve: total, Clock: clock.NewMonotonic()})
		client, inside := net.Pipe()
		c := &timedConn{Conn: inside, state: newConnState(), budget: budget, plain: true}
		go func() {
			for {
				if _, err := c.Read(make([]byte, 16<<10)); err != nil {
					return
				}
			}
		}()
		if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nA: "+string(make([]byte, 32<<10))); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		other := budget.Open("", nil)
		defer other.Close()
		other.Complete()
		if !other.Grow(60 << 10) {
			t.Fatal("the head did not give way")
		}
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != code.Lookup(code.MemoryFull).HTTPStatus {
			t.Errorf("status %d", resp.StatusCode)
		}
	})
}
