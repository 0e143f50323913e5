package httpapi

import "github.com/cumincove/cumincove/infra"

// Rows is the response to a request for a list of rows.
type Rows struct {
	Rows []infra.Row `json:"rows"`
}

// CommitRequest is one transaction.
type CommitRequest struct {
	Ops []infra.Op `json:"ops"`
}

// InstanceList is the response to a request for the list of instances.
type InstanceList struct {
	Instances []infra.Instance `json:"instances"`
}

// EndpointList is the response to a request for a list of endpoints.
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

// ErrorBody is the response to a request that failed without any effect.
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
