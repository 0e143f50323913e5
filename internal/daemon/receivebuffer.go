package daemon

import (
	"net"
	"sync/atomic"

	"github.com/cumincove/cumincove/attempt"
)

const (
	// receiveBuffer bounds what the kernel has received on a connection and nobody has
	// read, in bytes. It counts towards the memory of the machine.
	receiveBuffer = 32 << 10
	// wideReceiveBuffer is the bound while a large body is read, so that its sender waits
	// less often, and wideAfter the part of a body after which it counts as large.
	wideReceiveBuffer = 256 << 10
	wideAfter         = 64 << 10
	// wideShare is the part of the memory for requests that wide buffers use at most: a
	// sixteenth.
	wideShare = 16
)

// wideBuffers counts the wide receive buffers that an instance may still use. A nil
// *wideBuffers has none.
type wideBuffers struct{ free atomic.Int64 }

func newWideBuffers(requestMemory int64) *wideBuffers {
	w := &wideBuffers{}
	w.free.Store(requestMemory / wideShare / wideReceiveBuffer)
	return w
}

// take reports whether there is a buffer, and takes it.
func (w *wideBuffers) take() bool {
	if w == nil {
		return false
	}
	if w.free.Add(-1) >= 0 {
		return true
	}
	w.free.Add(1)
	return false
}

// put returns a buffer that was taken.
func (w *wideBuffers) put() { w.free.Add(1) }

// widen sets wideReceiveBuffer if there is one.
func (c *timedConn) widen() {
	if c.wide.Load() || !c.wideBuffers.take() {
		return
	}
	c.wide.Store(true)
	attempt.SetReceiveBuffer(c.kernelConn(), wideReceiveBuffer)
}

// narrow sets receiveBuffer again.
func (c *timedConn) narrow() {
	if !c.wide.Swap(false) {
		return
	}
	attempt.SetReceiveBuffer(c.kernelConn(), receiveBuffer)
	c.wideBuffers.put()
}

// kernelConn returns the connection below the bounds.
func (c *timedConn) kernelConn() net.Conn {
	if b, ok := c.Conn.(*boundedConn); ok {
		return b.Conn
	}
	return c.Conn
}
