package dedup

import "time"

// State is the state of a request according to its row.
type State string

// The states of a row.
const (
	// Claimed means that the owner may send the request to an endpoint, or has
	// done so.
	Claimed State = "claimed"
	// Released means that the request was not run. The ID may be claimed again.
	Released State = "released"
	// Ran means that an endpoint answered the request.
	Ran State = "ran"
	// MayHaveRun means that the request was sent to an endpoint, but no complete
	// answer was received.
	MayHaveRun State = "may_have_run"
)

// Row is the content of the row of a request.
type Row struct {
	State State `json:"state"`
	// Nonce is different for each claim of an ID. Owner is the process that made
	// this claim.
	Nonce string `json:"nonce"`
	Owner string `json:"owner"`
	// Digest is the digest of the request's content.
	Digest string `json:"digest"`
	// Until is the wall clock time at which the owner abandons the request. It
	// only decides whether a duplicate is described as "under way" or as "may
	// have run".
	Until time.Time `json:"until"`
	// Answer is the answer to a request that ran, if it was kept.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is the stored answer to a request.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Versioned is a row with its version. Version zero means that the row does not
// exist.
type Versioned struct {
	Row     Row
	Version uint64
}

// claimable reports whether the row does not exist or is released.
func (v Versioned) claimable() bool {
	return v.Version == 0 || v.Row.State == Released
}

// Position identifies one version of the row of one generation.
type Position struct {
	Generation uint64
	Version    uint64
}

// ReportedAt returns the row as it is reported to the callers of duplicates. A
// claim whose owner has terminated, or has abandoned the request according to
// the wall clock, is reported as MayHaveRun.
func (r Row) ReportedAt(wall time.Time, ownerTerminated bool) Row {
	if r.State == Claimed && (ownerTerminated || wall.After(r.Until)) {
		r.State = MayHaveRun
	}
	return r
}

// Request identifies a request to claim.
type Request struct {
	Team    string
	Service string
	// ID is chosen by the caller.
	ID string
	// Digest is the digest of the request's content.
	Digest string
	// Until is the value for Row.Until.
	Until time.Time
}
