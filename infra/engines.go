package infra

import (
	"context"
	"errors"
	"time"
)

// The ways in which the generation of a sample ends without its last event.
var (
	// ErrNotRun says that the engine did no work on the sample.
	ErrNotRun = errors.New("infra: sample not run")
	// ErrSampleFailed says that the engine failed on the sample; the run
	// counts as one of its attempts.
	ErrSampleFailed = errors.New("infra: sample failed")
	// ErrSampleRejected says that the sample can never be generated.
	ErrSampleRejected = errors.New("infra: sample rejected")
	// ErrStreamBroken says that the stream ended early. It may go on at another
	// engine after its last event.
	ErrStreamBroken = errors.New("infra: stream broken")
	// ErrOrderRefused says that an engine did not take an order: another one is
	// in progress, or its count of orders differs from the expected one.
	ErrOrderRefused = errors.New("infra: order refused")
)

// EngineRef names one start of one engine.
type EngineRef struct {
	// Endpoint is the endpoint's name and Addr its IP address and port.
	Endpoint string
	Addr     string
}

// Generation asks an engine for the events of one sample.
type Generation struct {
	Engine EngineRef
	// ID is the sample's, Host the host of its route and Team its owner.
	ID   string
	Host string
	Team string
	Path string
	// Header holds the headers that came with the sample.
	Header map[string]string
	Body   []byte
	// After is the index of the last event that is known; zero is none.
	After int
	// Budget is the time that the engine may take.
	Budget time.Duration
}

// Event is one event of a sample's stream.
type Event struct {
	// Index rises by one from one event to the next, beginning at 1.
	Index int
	Text  string
	// Version is the weight version that produced the event.
	Version uint64
}

// WeightOrder tells an engine to load a version of a model.
type WeightOrder struct {
	Engine  EngineRef
	Model   string
	Version uint64
	// KeepRuns lets running samples go on under the new version.
	KeepRuns bool
	// Expected is the number of orders that the engine must have accepted
	// before, so that a delayed order is not carried out after a newer one.
	Expected uint64
	Holder   string
	Epoch    uint64
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	// Orders is the number of orders accepted, and Busy says that one is being
	// carried out.
	Orders   uint64
	Busy     bool
	Versions map[string]uint64
}

// Engines speaks to model engines.
type Engines interface {
	// Generate runs a sample and calls each for every event. It returns nil
	// after the last event, an error of this package, or that of each.
	Generate(ctx context.Context, g Generation, each func(Event) error) error
	// Report asks an engine for its state.
	Report(ctx context.Context, e EngineRef) (EngineReport, error)
	// Order sends an order. It returns nil if it was accepted or already
	// holds, ErrOrderRefused, ErrStaleEpoch, or ErrUnknownOutcome.
	Order(ctx context.Context, o WeightOrder) error
}
