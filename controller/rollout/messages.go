package rollout

import (
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
)

// OpenResponse is the response to POST /v1/steps.
type OpenResponse struct {
	ID string `json:"id"`
	// Cursor is the cursor of the first pull.
	Cursor string `json:"cursor"`
	// Existed is set if the same step was opened before.
	Existed bool `json:"existed,omitempty"`
}

// Samples is the response to GET /v1/steps/{id}/samples.
type Samples struct {
	Step    string          `json:"step"`
	Samples []ledger.Sample `json:"samples"`
	// Next is the cursor that the trainer sends once it has processed the
	// samples. Until then, pulls with the same cursor return the same samples,
	// except those that became too old.
	Next string `json:"next"`
	// Done is set if no samples follow these.
	Done bool `json:"done"`
	// Durable is set if the samples are stored.
	Durable bool `json:"durable"`
	// NewestVersion is the weight version that staleness was measured against.
	NewestVersion uint64 `json:"newest_version"`
	// Failed lists groups that were abandoned.
	Failed []int `json:"failed,omitempty"`
}

// StepProgress is the response to GET /v1/steps/{id}.
type StepProgress struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	rollout.Progress
}

// StepList is the response to GET /v1/steps.
type StepList struct {
	Steps []string `json:"steps"`
	// After is the parameter "after" of the request for the next page. It is
	// empty if there are no more steps.
	After string `json:"after,omitempty"`
}

// Group is the request body of a call to a scoring service: one complete group.
type Group struct {
	Step    string          `json:"step"`
	Group   int             `json:"group"`
	Prompt  string          `json:"prompt"`
	Samples []ledger.Sample `json:"samples"`
}

// Scores is the response body of a scoring service: one score for each sample,
// in any order.
type Scores struct {
	Scores []SampleScore `json:"scores"`
}

// SampleScore is the score of a sample. Slot and Attempt are those of the
// sample in the Group.
type SampleScore struct {
	ledger.Slot
	Attempt uint64   `json:"attempt"`
	Score   *float64 `json:"score"`
}

// pullRequest is a pull from a trainer or from another instance.
type pullRequest struct {
	cursor ledger.Cursor
	max    int
	// version is the weight version that the trainer reports as published, or
	// zero.
	version uint64
}
