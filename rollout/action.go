package rollout

import (
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/ledger"
)

// RunID identifies one stream from one engine. It is the engine's request ID.
type RunID string

// Action is an operation that the caller of Tick must carry out: a Start, a
// Halt, a Cancel, a Write, a Score or a CancelScore.
type Action interface{ action() }

// Start requests a new stream. The caller reports its chunks with Step.Chunk,
// and a stream that ends without a last chunk with Step.StreamEnded.
type Start struct {
	Run      RunID
	Endpoint string
	Request  engine.GenerateRequest
	// From is the stream that this one continues, if that stream was ended by
	// a Halt. Its endpoint may still have the KV cache of the resumed tokens.
	From Source
}

// Source identifies a stream that ended at an endpoint. The zero value means
// that there is no such stream.
type Source struct {
	Run      RunID
	Endpoint string
}

// Halt requests that the engine end a stream, so that the stream can continue
// at another endpoint. The caller continues to report its chunks. The last
// chunk has the finish reason "cancelled".
type Halt struct {
	Run      RunID
	Endpoint string
}

// Cancel stops a stream that is no longer needed. The caller need not report
// further events of the stream.
type Cancel struct {
	Run      RunID
	Endpoint string
}

// Write requests that a batch be stored. The caller reports the result with
// Step.BatchStored or Step.BatchFailed.
type Write struct {
	Batch *ledger.Batch
}

// CallID identifies one call to the step's scoring service.
type CallID string

// Score requests the scores of a complete group. The caller reports the result
// with Step.Scored.
type Score struct {
	Call    CallID
	Group   int
	Samples []ledger.Sample
	// Deadline is the time by which the call must have ended, in boot time.
	Deadline time.Duration
}

// CancelScore stops a call that is no longer needed. The caller need not report
// its result.
type CancelScore struct {
	Call CallID
}

func (Start) action()       {}
func (Halt) action()        {}
func (Cancel) action()      {}
func (Write) action()       {}
func (Score) action()       {}
func (CancelScore) action() {}

// Endpoint is an engine that a Step may use.
type Endpoint struct {
	Name string
	// Version is the weight version that the endpoint last reported; zero means
	// unknown.
	Version uint64
	// Free is the number of additional streams that may be started there.
	Free int
}
