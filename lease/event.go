package lease

import "github.com/cumincove/cumincove/effect"

// Action is a call that a Machine requests. After each Action the caller must
// call Step with the matching Event, exactly once.
type Action interface{ action() }

// Read requests a read of the row. Its result is ReadDone or ReadFailed.
type Read struct{}

// Write requests a write of the row on condition that its version is IfVersion
// (zero: that it does not exist). Its result is WriteDone.
type Write struct {
	Row       Row
	IfVersion uint64
	// Acquire marks the first write under Row.Epoch. A caller that stores the
	// epoch in a second row writes that row in the same transaction.
	Acquire bool
}

func (Read) action()  {}
func (Write) action() {}

// Event is an input of a Machine.
type Event interface{ event() }

// ReadDone is the result of a Read that succeeded. Version is zero if the row
// does not exist.
type ReadDone struct {
	Row     Row
	Version uint64
}

// ReadFailed is the result of a Read that returned nothing.
type ReadFailed struct{}

// WriteDone is the result of a Write.
type WriteDone struct{ Outcome effect.Outcome }

// OperationStarted reports that an operation has started under the current
// term.
type OperationStarted struct{}

// OperationEnded reports that an operation has ended. ResponseReceived is set
// if the receiver's response arrived, so that the operation can have no later
// effect.
type OperationEnded struct{ ResponseReceived bool }

func (ReadDone) event()         {}
func (ReadFailed) event()       {}
func (WriteDone) event()        {}
func (OperationStarted) event() {}
func (OperationEnded) event()   {}
