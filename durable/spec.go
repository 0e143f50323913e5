package durable

import "time"

// Spec is a step as it was submitted.
type Spec struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Route is the name of the step's route, Host its host, and Service the
	// service whose engines generate the samples.
	Route   string `json:"route"`
	Host    string `json:"host"`
	Service string `json:"service"`
	// Number counts the steps of a trainer, and Model is what it trains.
	Number int    `json:"number"`
	Model  string `json:"model"`
	// MinVersion is the oldest weight version that may generate its samples.
	MinVersion uint64 `json:"min_version"`
	// SingleVersion samples must be generated under one version.
	SingleVersion bool `json:"single_version,omitempty"`
	// Groups is how many whole groups the trainer waits for.
	Groups int `json:"groups"`
	// MaxFailures is how many failures of the engine make a sample
	// unreachable, and MaxScoreFailures how many of the scoring service.
	MaxFailures      int `json:"max_failures"`
	MaxScoreFailures int `json:"max_score_failures"`
	// Submitted is when the step was accepted, and Due when its results are
	// wanted, in Unix milliseconds. GiveUp is when samples may be given up.
	Submitted int64 `json:"submitted"`
	Due       int64 `json:"due"`
	GiveUp    int64 `json:"give_up"`

	Samples []Sample `json:"-"`
}

// Sample is one request of a step.
type Sample struct {
	ID     string            `json:"id"`
	Group  string            `json:"group"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
	// Length estimates the tokens to generate; zero is unknown.
	Length int `json:"length,omitempty"`
	// Scorer is the call that scores the text; nil if none does.
	Scorer *Scorer `json:"scorer,omitempty"`
}

// Scorer is a call of a scoring service.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Result is what became of a sample.
type Result struct {
	ID string `json:"id"`
	// Complete results have the whole text; the others could not be generated.
	Complete bool   `json:"complete"`
	Text     string `json:"text,omitempty"`
	// Versions lists the weight versions that produced the text, in order.
	Versions []uint64 `json:"versions,omitempty"`
	Score    string   `json:"score,omitempty"`
}

// Saved is what has come of a sample.
type Saved struct {
	ID string `json:"id"`
	// Whole says that the last event came.
	Whole    bool     `json:"whole,omitempty"`
	Events   []string `json:"events"`
	Versions []uint64 `json:"versions"`
	// Failures counts the engine's failures so far, and ScoreFailures those of
	// the scoring service.
	Failures      int `json:"failures,omitempty"`
	ScoreFailures int `json:"score_failures,omitempty"`
}

// Endpoint is an engine that a Step may use.
type Endpoint struct {
	Name string
	// Version is the weight version of the step's model there.
	Version uint64
	// Free is the number of further streams that it may be given, and Load the
	// part of its slots that is in use.
	Free int
	Load float64
	// Warm is the number of open and unused connections to it.
	Warm int
}

// RunID names one stream from one engine within its Step.
type RunID uint64

// Action is something that the user of a Step is to do.
type Action interface{ action() }

// Start asks for the events of a sample that follow After. Report them with
// Event and the end of the stream with Ended.
type Start struct {
	Run      RunID
	Sample   Sample
	Endpoint string
	After    int
}

// Cancel stops a stream that is of no more use. Nothing more needs to be
// reported of it.
type Cancel struct {
	Run RunID
	// Slow says that the Endpoint held the sample up, which goes on elsewhere.
	Slow     bool
	Endpoint string
}

// Score asks for a sample's score. Report with Scored.
type Score struct {
	ID     string
	Scorer Scorer
}

func (Start) action()  {}
func (Cancel) action() {}
func (Score) action()  {}

// End says how a stream ended.
type End int

// The ends of a stream.
const (
	// Whole: the last event came.
	Whole End = iota
	// Refused: the engine did no work on it.
	Refused
	// Failed: the engine failed on the sample.
	Failed
	// Rejected: the sample can never be generated.
	Rejected
	// Broken: the stream ended early.
	Broken
)

// ScoreEnd says how a call of the scoring service ended.
type ScoreEnd int

// The ends of such a call.
const (
	// ScoreDone: the score came.
	ScoreDone ScoreEnd = iota
	// ScoreFailed: the service failed on the sample.
	ScoreFailed
	// ScoreLost: no answer came, or a refusal.
	ScoreLost
)

// Batch is results that are to be stored from a position on.
type Batch struct {
	Position int
	Results  []Result
}

const (
	// refusedPause is how long a sample waits after an engine refused it, and
	// lostPause after a stream broke. Both double up to maxPause.
	refusedPause = 40 * time.Millisecond
	lostPause    = 20 * time.Millisecond
	maxPause     = 640 * time.Millisecond
	// avoidTime is how long a sample stays away from an endpoint that refused
	// or broke it, if there are others.
	avoidTime = time.Second
	// restTime is how long an endpoint that refused a sample gets no other one.
	// It doubles with each refusal in a row up to maxRest.
	restTime = 50 * time.Millisecond
	maxRest  = 400 * time.Millisecond
	// maxBatch bounds the results of a Batch, and maxBatchBytes their text
	// unless one alone is longer.
	maxBatch      = 24
	maxBatchBytes = 400 << 10
)
