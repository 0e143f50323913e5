package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/memnet"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/internal/tlsfile/tlstest"
	"github.com/cumincove/cumincove/view"
	"google.golang.org/protobuf/proto"
)

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// TestMeasureConnection counts the bytes that an exchange sends over TCP in
// addition to its messages: for the first exchange on a connection, and for one
// on a reused connection.
//
//	go test ./controller/membership -run MeasureConnection -v
func TestMeasureConnection(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		t.Run(fmt.Sprintf("encrypted=%v", encrypted), func(t *testing.T) { measureConnection(t, encrypted) })
	}
}

func measureConnection(t *testing.T, encrypted bool) {
	const reused = 100
	var read, written, dialled atomic.Int64
	var source *tlsfile.Source
	if encrypted {
		source = loadFiles(t)
	}
	a := New(connectionOptions("a", source.Dialer(func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialled.Add(1)
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countingConn{conn, &read, &written}, err
	}, "h2")))
	addr := servePeer(t, New(connectionOptions("b", nil)), source)
	exchange := func() (sent, received int64) {
		sent, received = -written.Load(), -read.Load()
		ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
		defer cancel()
		req := &gossipv1.ExchangeRequest{Envelope: a.envelope(a.node.Request("b"), "b", nil)}
		resp, err := peerClient(a.peerConns.client, addr).Exchange(ctx, connect.NewRequest(req))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Millisecond) // HTTP/2 acknowledgements are sent after the response
		return sent + written.Load() - int64(proto.Size(req)), received + read.Load() - int64(proto.Size(resp.Msg))
	}
	sent, received := exchange()
	t.Logf("first exchange: request %d bytes, response %d bytes in addition to the message", sent, received)
	sent, received = 0, 0
	for range reused {
		s, r := exchange()
		sent, received = sent+s, received+r
	}
	t.Logf("reused connection: request %.1f bytes, response %.1f bytes in addition to the message", float64(sent)/reused, float64(received)/reused)
	if dialled.Load() != 1 {
		t.Errorf("%d connections for %d exchanges, want 1", dialled.Load(), reused+1)
	}
}

// loadFiles returns certificates that are valid for this host.
func loadFiles(t *testing.T) *tlsfile.Source {
	t.Helper()
	source, err := tlsfile.Load(tlstest.New(t).Issue("instance", 1), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// unresponsiveConn discards written data once unresponsive is set.
type unresponsiveConn struct {
	net.Conn
	unresponsive *atomic.Bool
}

func (c unresponsiveConn) Write(p []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentConnection checks that an exchange over a connection that became
// unresponsive is retried, and that the connection is not used again. Under fake
// time a busy machine can't use up an exchange's timeout.
func TestSilentConnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := memnet.New()
		host := network.Host("a")
		var unresponsive []*atomic.Bool
		o := connectionOptions("a", func(ctx context.Context, net, addr string) (net.Conn, error) {
			conn, err := host.Dial(ctx, net, addr)
			unresponsive = append(unresponsive, &atomic.Bool{})
			return unresponsiveConn{conn, unresponsive[len(unresponsive)-1]}, err
		})
		o.Clock, o.DialHTTP1 = clock.NewMonotonic(), host.Dial
		a := New(o)
		l, err := network.Host("b").Listen("tcp", "10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		serve(t, l, New(connectionOptions("b", nil)), nil)
		peer := gossip.Peer{Name: "b", Addr: "10.0.0.2:1"}
		a.node.Seed(0, []gossip.Seed{{Name: peer.Name, Addr: peer.Addr}})
		a.runExchanges(t.Context(), peer)
		unresponsive[0].Store(true)
		a.runExchanges(t.Context(), peer)
		if m := a.node.Members()[1]; m.Status != gossip.Alive {
			t.Errorf("peer is %s after its connection became unresponsive, want alive", m.Status)
		}
		a.runExchanges(t.Context(), peer)
		a.peerConns.mu.Lock()
		open := len(a.peerConns.conns)
		a.peerConns.mu.Unlock()
		if len(unresponsive) != 2 || open != 1 {
			t.Errorf("%d connections, %d open, want 2 and 1", len(unresponsive), open)
		}
		network.Kill("b")
		time.Sleep(time.Minute) // until the transports' timers have ended
	})
}

func connectionOptions(name string, dial func(context.Context, string, string) (net.Conn, error)) Options {
	return Options{
		Self: infra.Instance{Name: name}, Incarnation: 1, Views: view.NewStore(),
		Clock: clock.Boot{}, Log: slog.New(slog.DiscardHandler), Dial: dial,
	}
}

// servePeer serves c's handler over TCP and returns its address.
func servePeer(t *testing.T, c *Controller, source *tlsfile.Source) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serve(t, l, c, source)
	return l.Addr().String()
}

// serve serves c's handler at a listener until the test ends.
func serve(t *testing.T, l net.Listener, c *Controller, source *tlsfile.Source) {
	mux := http.NewServeMux()
	mux.Handle(c.Handler(func(uint64) ([]byte, error) { return nil, nil }))
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	s := &http.Server{Handler: mux, Protocols: p}
	go s.Serve(source.Listener(l, "h2", "http/1.1"))
	t.Cleanup(func() { s.Close() })
}
