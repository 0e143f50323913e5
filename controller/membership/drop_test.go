package membership

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/gossip"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/memnet"
)

// TestDroppedConnectionGetsNoRequest checks that a request which follows at once
// goes over a new connection.
func TestDroppedConnectionGetsNoRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := memnet.New()
		host := network.Host("a")
		dialled := 0
		o := connectionOptions("a", func(ctx context.Context, net, addr string) (net.Conn, error) {
			dialled++
			return host.Dial(ctx, net, addr)
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
		const rounds = 20
		for i := range rounds {
			if err := a.exchange(t.Context(), a.peerConns.client, peer); err != nil {
				t.Errorf("exchange %d: %v", i, err)
			}
			a.peerConns.drop(peer.Addr)
		}
		if dialled != rounds {
			t.Errorf("%d connections for %d exchanges, each followed by a drop", dialled, rounds)
		}
		network.Kill("b")
		time.Sleep(time.Minute)
	})
}
