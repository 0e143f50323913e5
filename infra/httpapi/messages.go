package httpapi

import "github.com/cumincove/cumincove/infra"

// Rows is the answer to a listing of rows.
type Rows struct {
	Rows []infra.Row `json:"rows"`
}

// CommitRequest is one transaction.
type CommitRequest struct {
	Ops []infra.Op `json:"ops"`
}

// InstanceList is the answer to a listing of instances.
type InstanceList struct {
	Instances []infra.Instance `json:"instances"`
}

// EndpointList is the answer to a listing of endpoints.
type EndpointList struct {
	Endpoints []infra.RunningEndpoint `json:"endpoints"`
}

// The values of ErrorBody.Error.
const (
	ErrorNotFound    = "not_found"
	ErrorConflict    = "conflict"
	ErrorStaleEpoch  = "stale_epoch"
	ErrorUnavailable = "unavailable"
)

// ErrorBody is the answer to a request that failed with no effect.
type ErrorBody struct {
	Error  string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

var sentinels = map[string]error{
	ErrorNotFound:    infra.ErrNotFound,
	ErrorConflict:    infra.ErrConflict,
	ErrorStaleEpoch:  infra.ErrStaleEpoch,
	ErrorUnavailable: infra.ErrUnavailable,
}
