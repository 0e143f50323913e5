package durable

import "time"

// Spec is a step as it was submitted.
type Spec struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Route is the name of the step's route, Host is the route's host, and Service
	// is the service that was chosen for the step when it was accepted. Engines of
	// another service generate the samples if the route leads there later.
	Route   string `json:"route"`
	Host    string `json:"host"`
	Service string `json:"service"`
	// ConfigVersion is the version of the configuration in which the route was
	// found.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Number is the step's number at its trainer, and Model is the model that is
	// trained.
	Number int    `json:"number"`
	Model  string `json:"model"`
	// MinVersion is the oldest weight version that may generate the samples.
	MinVersion uint64 `json:"min_version"`
	// SingleVersion requires each sample to be generated with one weight version.
	SingleVersion bool `json:"single_version,omitempty"`
	// Groups is the number of complete groups that the trainer waits for.
	Groups int `json:"groups"`
	// MaxFailures is the number of engine failures after which a sample is
	// abandoned, and MaxScoreFailures the number of scoring service failures. An
	// abandoned sample gets a result without a text.
	MaxFailures      int `json:"max_failures"`
	MaxScoreFailures int `json:"max_score_failures"`
	// Submitted is when the step was accepted, Due is when its results are
	// needed, and AbandonAfter is when samples without a complete text may be
	// abandoned, all in Unix milliseconds.
	Submitted    int64 `json:"submitted"`
	Due          int64 `json:"due"`
	AbandonAfter int64 `json:"give_up"`

	Samples []Sample `json:"-"`
}

// Sample is one request of a step.
type Sample struct {
	ID     string            `json:"id"`
	Group  string            `json:"group"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
	// Length is the estimated number of tokens to generate; zero means unknown.
	Length int `json:"length,omitempty"`
	// Scorer is the call that scores the text, or nil if the text is not scored.
	Scorer *Scorer `json:"scorer,omitempty"`
}

// Scorer is a call to a scoring service.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Result is the outcome of a sample.
type Result struct {
	ID string `json:"id"`
	// Complete results have the complete text. Other samples could not be
	// generated or scored, and their results have no text.
	Complete bool   `json:"complete"`
	Text     string `json:"text,omitempty"`
	// Versions lists the weight versions that produced the text, in order.
	Versions []uint64 `json:"versions,omitempty"`
	Score    string   `json:"score,omitempty"`
}

// Saved is the saved state of a sample whose result is not stored yet.
type Saved struct {
	ID string `json:"id"`
	// Complete reports that the last event was received.
	Complete bool     `json:"whole,omitempty"`
	Events   []string `json:"events"`
	Versions []uint64 `json:"versions"`
	// Failures counts the engine's failures on the sample so far, and
	// ScoreFailures those of the scoring service.
	Failures      int `json:"failures,omitempty"`
	ScoreFailures int `json:"score_failures,omitempty"`
}

// Endpoint is an engine that a Step may use.
type Endpoint struct {
	Name string
	// Version is the weight version that the endpoint has of the step's model.
	Version uint64
	// FreeSlots is the number of additional streams that the endpoint can accept,
	// and Load the fraction of its slots in use.
	FreeSlots int
	Load      float64
	// IdleConnections is the number of idle connections to the endpoint.
	IdleConnections int
	// Speed is the endpoint's speed relative to the median of its service; zero means
	// unknown.
	Speed float64
}

// RunID identifies one stream from one engine within its Step.
type RunID uint64

// Action is an operation that the caller of a Step must carry out.
type Action interface{ action() }

// Start requests the events of a sample that follow event number After. Report the
// events with Event and the end of the stream with Ended.
type Start struct {
	Run      RunID
	Sample   Sample
	Endpoint string
	After    int
	// Priority is told to the engine if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
}

// Cancel stops a stream that is no longer needed. Its events and its end need not
// be reported.
type Cancel struct {
	Run RunID
	// Slow reports that the stream was slow or stalled at Endpoint, and that the
	// sample moves to another endpoint.
	Slow     bool
	Endpoint string
	// Yielded reports that the stream made room for a sample of a group that is
	// needed, and that its own sample resumes later.
	Yielded bool
}

// Score requests a sample's score. Report the result with Scored.
type Score struct {
	ID     string
	Scorer Scorer
}

func (Start) action()  {}
func (Cancel) action() {}
func (Score) action()  {}

// End is the way a stream ended.
type End int

// The ends of a stream.
const (
	// Completed means that the last event was received.
	Completed End = iota
	// Refused means that the engine did no work on the sample.
	Refused
	// Failed means that the engine failed on the sample.
	Failed
	// Rejected means that the sample can never be generated.
	Rejected
	// Interrupted means that the stream was interrupted.
	Interrupted
)

// ScoreEnd is the way a call to the scoring service ended.
type ScoreEnd int

// The ends of a call to the scoring service.
const (
	// ScoreDone means that the score was received.
	ScoreDone ScoreEnd = iota
	// ScoreFailed means that the service failed on the sample.
	ScoreFailed
	// ScoreUnavailable means that there was no response, or that the call was
	// refused.
	ScoreUnavailable
)

// Batch contains results to store at consecutive positions, starting at Position.
type Batch struct {
	Position int
	Results  []Result
}

const (
	// refusedBackoff is how long a sample waits after an engine refused it, and
	// failureBackoff after its stream was interrupted or failed, or after a
	// scoring call that returned no score. Both double up to maxBackoff.
	refusedBackoff = 40 * time.Millisecond
	failureBackoff = 20 * time.Millisecond
	maxBackoff     = 640 * time.Millisecond
	// avoidPeriod is how long a sample avoids an endpoint that refused it, or where
	// its stream failed, was interrupted or was slow, if there are other endpoints.
	avoidPeriod = time.Second
	// minEndpointBackoff is how long an endpoint that refused a sample receives no
	// other sample. It doubles with each consecutive refusal up to
	// maxEndpointBackoff.
	minEndpointBackoff = 50 * time.Millisecond
	maxEndpointBackoff = 400 * time.Millisecond
	// maxBatch bounds the number of results in a Batch, and maxBatchBytes the total
	// size of their texts unless a single text is larger.
	maxBatch      = 24
	maxBatchBytes = 400 << 10
)
