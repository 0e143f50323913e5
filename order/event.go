package order

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/effect"
)

// Set identifies, within a data centre, the endpoints that one order applies
// to.
type Set struct {
	Service string
	Tier    string
}

// Intent is the content of a set's row: the last order, sent or to be sent.
type Intent struct {
	// ID identifies the order at its receiver. It stays the same when the
	// order is sent again, also by another holder.
	ID string `json:"id"`
	// Seq is incremented by one with each new order for the set.
	Seq   uint64 `json:"seq"`
	Count int    `json:"count"`
	// Epoch is the fencing token of the holder that last wrote the row.
	Epoch uint64 `json:"epoch"`
	// Done is set if the receiver accepted the order.
	Done bool `json:"done"`
	// ObservedRunning is how many endpoints, Count at most, were observed to run
	// for minReachedTime. If fewer run now, some were lost.
	ObservedRunning int `json:"ran,omitempty"`
}

// Stored is an Intent together with the version of its row.
type Stored struct {
	Intent  Intent
	Version uint64
}

// Action is a call that a Machine requests. After each Action the caller must
// call Step with the matching Event, exactly once, before the next Tick.
type Action interface{ action() }

// Load requests the rows of all sets. Its result is Loaded or LoadFailed.
type Load struct{}

// Write requests a write of a set's row on condition that the row's version is
// IfVersion (zero: that it does not exist) and that Intent.Epoch is still
// current. Its result is WriteDone.
type Write struct {
	Set       Set
	Intent    Intent
	IfVersion uint64
}

// Send requests that an order is sent. Its result is SendDone.
type Send struct {
	Set    Set
	Intent Intent
}

func (Load) action()  {}
func (Write) action() {}
func (Send) action()  {}

// Event is an input of a Machine.
type Event interface{ event() }

// Loaded is the result of a Load that succeeded.
type Loaded struct{ Rows map[Set]Stored }

// LoadFailed is the result of a Load that returned nothing.
type LoadFailed struct{}

// WriteDone is the result of a Write.
type WriteDone struct{ Outcome effect.Outcome }

// SendDone is the result of a Send.
type SendDone struct{ Outcome effect.Outcome }

// Observed reports the counts of one complete observation. Sets that are not in
// Counts have no endpoints.
type Observed struct {
	// Started is when the observation was requested.
	Started time.Duration
	Counts  map[Set]int
}

func (Loaded) event()     {}
func (LoadFailed) event() {}
func (WriteDone) event()  {}
func (SendDone) event()   {}
func (Observed) event()   {}

// newIntent returns the order that follows prev.
func newIntent(dataCentre string, s Set, prev Intent, count int, epoch uint64) Intent {
	seq := prev.Seq + 1
	return Intent{
		ID:              fmt.Sprintf("%s/%s/%s/%d", dataCentre, s.Service, s.Tier, seq),
		Seq:             seq,
		Count:           count,
		Epoch:           epoch,
		ObservedRunning: min(prev.ObservedRunning, count),
	}
}
