// Package httpapi is the client for the platform's HTTP interface.
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
// Bodies are JSON but for objects. The token, if there is one, goes along as a
// bearer token. A failure is answered with an ErrorBody whose Error is
// "not_found" (404), "conflict" (409), "stale_epoch" (412) or "unavailable"
// (503); with each of them nothing was written.
//
// What the client can't tell it doesn't claim. Before a connection was got
// nothing was sent, so the error is infra.ErrUnavailable. After that a
// write without a readable answer is infra.ErrUnknownOutcome, while a read
// without one is infra.ErrUnavailable.
package httpapi
