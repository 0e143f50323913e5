package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

func connect(t *testing.T) (n *Network, near, far net.Conn) {
	t.Helper()
	n = New()
	l, err := n.Host("b").Listen("tcp", "b:1")
	if err != nil {
		t.Fatal(err)
	}
	near, err = n.Host("a").Dial(t.Context(), "tcp", "b:1")
	if err != nil {
		t.Fatal(err)
	}
	far, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return n, near, far
}

func TestSilentConnectionDeliversNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, near, far := connect(t)
		n.Silence("a", "b")
		if _, err := near.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		near.Close()
		far.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := far.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read from a silent connection: %v", err)
		}
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("read after close: %v", err)
		}
		far.Close()
	})
}

func TestCutAndKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, far := connect(t)
		n.Cut("a", "b")
		if _, err := far.Read(make([]byte, 1)); err == nil {
			t.Error("read from a cut connection succeeds")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.Host("a").Dial(ctx, "tcp", "b:1"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("dial over a cut: %v", err)
		}
		n.Heal("a", "b")
		n.Kill("b")
		if _, err := n.Host("a").Dial(t.Context(), "tcp", "b:1"); err == nil {
			t.Error("dial to a killed host succeeds")
		}
	})
}

// TestWritesDoNotBlock checks that writes return although the other end does not read,
// and that written data arrives after the writer has closed the connection.
func TestWritesDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, near, far := connect(t)
		n.Freeze("b")
		for _, part := range []string{"one ", "two"} {
			if _, err := near.Write([]byte(part)); err != nil {
				t.Fatal(err)
			}
		}
		near.Close()
		n.Thaw("b")
		if got, err := io.ReadAll(far); string(got) != "one two" || err != nil {
			t.Errorf("read %q, error %v", got, err)
		}
		far.Close()
	})
}
