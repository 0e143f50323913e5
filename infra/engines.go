package infra

import (
	"context"
	"errors"
	"time"
)

// Errors of Engines. All but ErrOrderRefused are returned when the generation of
// a sample ends before its last event.
var (
	// ErrNotRun is returned when the engine did no work on the sample.
	ErrNotRun = errors.New("infra: sample not run")
	// ErrSampleFailed is returned when the engine failed on the sample. The run
	// counts as one of the sample's attempts.
	ErrSampleFailed = errors.New("infra: sample failed")
	// ErrSampleRejected is returned when the sample can never be generated.
	ErrSampleRejected = errors.New("infra: sample rejected")
	// ErrStreamInterrupted is returned when the stream ended before its last
	// event. Another engine may continue it after the last event received.
	ErrStreamInterrupted = errors.New("infra: stream broken")
	// ErrOrderRefused is returned when an engine did not accept an order because
	// another order is in progress or because the engine has not accepted the
	// expected number of orders.
	ErrOrderRefused = errors.New("infra: order refused")
)

// EngineRef identifies one start of one engine.
type EngineRef struct {
	// Endpoint is the endpoint's name and Addr its IP address and port.
	Endpoint string
	Addr     string
}

// GenerateRequest is a request to generate the events of one sample.
type GenerateRequest struct {
	Engine EngineRef
	// ID is the ID of the sample, Host the host of its route and Team the team
	// that owns it.
	ID   string
	Host string
	Team string
	Path string
	// Header contains the headers that were submitted with the sample.
	Header map[string]string
	Body   []byte
	// LastIndex is the index of the last event received. Zero means none.
	LastIndex int
	// Priority is the priority among the requests of the engine, from 0, the highest,
	// to 9. Nil means that the engine is told none.
	Priority *int
	// Timeout is the time limit for the engine.
	Timeout time.Duration
	// Handoff, if set, is called before the first byte can be sent. An error ends
	// the request with ErrNotRun.
	Handoff func() error
}

// Event is one event of a sample's stream.
type Event struct {
	// Index is the number of the event in the stream, starting at 1.
	Index int
	Text  string
	// Version is the weight version that produced the event.
	Version uint64
}

// WeightOrder is an order to an engine to load a weight version of a model.
type WeightOrder struct {
	Engine  EngineRef
	Model   string
	Version uint64
	// KeepRunningSamples allows running samples to continue under the new
	// version.
	KeepRunningSamples bool
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before this one, so that a delayed order is not executed after a newer one.
	ExpectedOrders uint64
	Holder         string
	Epoch          uint64
}

// EngineReport is the state that an engine reports.
type EngineReport struct {
	// AcceptedOrders is the number of orders accepted. Busy is set while the
	// engine executes an order.
	AcceptedOrders uint64
	Busy           bool
	// Versions is the weight version of each model that the engine has loaded.
	Versions map[string]uint64
}

// Engines sends requests to model engines.
type Engines interface {
	// Generate runs a sample and calls the function each with every event. It
	// returns nil after the last event, and otherwise an error of this package or
	// the error that the function returned.
	Generate(ctx context.Context, g GenerateRequest, each func(Event) error) error
	// Report returns the state of an engine.
	Report(ctx context.Context, e EngineRef) (EngineReport, error)
	// Order sends an order. It returns nil if the order was accepted or if the
	// engine already has the weight version. Otherwise it returns
	// ErrOrderRefused, ErrStaleEpoch, or ErrUnknownOutcome.
	Order(ctx context.Context, o WeightOrder) error
}
