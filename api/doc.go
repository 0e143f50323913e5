// Package api defines the messages of the operators' HTTP interface and a
// client for it. Each instance serves the interface on its operators' address;
// cumincovectl is a client:
//
//	POST /v1/changes               ChangeRequest, ChangeResponse
//	GET  /v1/objects?kind&selector Objects
//	GET  /v1/status                Status
//	POST /v1/keys                  KeyRequest, KeyResponse
//	POST /v1/keys/{name}/withdraw  WithdrawResponse
//	GET  /v1/audit?after&limit     AuditPage
//	POST /v1/drain                 DrainResponse
//	GET  /v1/usage?window          Usage
//	GET  /v1/steps                 Steps
//
// Requests carry the operator's name in X-Operator and, if the instance
// requires one, the operators' token as a bearer token. The body of an error
// response is an Error with one of the codes of package code.
package api
