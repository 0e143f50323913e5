// Package httpapi is the client for the HTTP interface of an infra.Platform.
// These are the requests, each with its body, or for GET the body of the
// response:
//
//	GET    /v1/table/row?key=K                      Row
//	GET    /v1/table/rows?prefix=P&after=A&limit=N  Rows
//	POST   /v1/table/commit                         CommitRequest
//	GET    /v1/objects?name=N                       the object's bytes
//	PUT    /v1/objects?name=N                       the object's bytes
//	DELETE /v1/objects?name=N
//	GET    /v1/instances                            InstanceList
//	POST   /v1/endpoints/orders                     infra.EndpointOrder
//	GET    /v1/endpoints?data_centre=D              EndpointList
//	POST   /v1/usage                                infra.UsageReport
//
// Bodies are JSON, except for the bodies of objects. The token, if there is
// one, is sent as a bearer token. The body of an error response is an ErrorBody
// whose Error is "not_found" (404), "conflict" (409), "stale_epoch" (412) or
// "unavailable" (503). Each of them means that nothing was written.
//
// An error of the client states that a call had no effect only if this is
// certain. As long as the request has no connection, nothing has been sent and
// the error is infra.ErrUnavailable. After that, a write without a readable
// response returns infra.ErrUnknownOutcome, and a read without one returns
// infra.ErrUnavailable.
package httpapi
