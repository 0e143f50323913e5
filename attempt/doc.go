// Package attempt sends one request to one endpoint over net/http, exactly once.
//
// http.Transport resends a request on its own when a reused connection breaks:
// any GET, and any POST with an Idempotency-Key. A Pool therefore manages
// single connections (http.ClientConn), which do not resend, and selects the
// connection for each request. Call.Handoff is called before the first byte can
// be sent; an attempt that fails before that call was not run.
//
// A response is either complete or an error. Its end must be marked
// (Content-Length or chunked encoding), its ID must be the request's, and
// timeouts bound the wait for the first byte and between any two reads. A
// connection is closed after any failure and never reused.
package attempt
