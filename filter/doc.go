// Package filter is the chain of filters that handles a caller's request. The
// chain for services has these filters, in this order, one file each:
//
//   - Entry assigns an ID to the request and turns errors into responses;
//   - Admission bounds the requests in flight at this instance;
//   - Service finds the service by the path;
//   - Fresh refuses requests while the configuration may be out of date;
//   - Identify finds the team by the key;
//   - Authorise checks that the team may call the service;
//   - Select reads which endpoints of the service the caller selects;
//   - TeamLimit bounds the requests in flight of the team;
//   - Body reads the body;
//   - Secret refuses requests that would expose a key to an endpoint;
//   - Deduplicate runs a request once per ID that its caller assigned;
//   - Demand counts the service's requests that are queued or running;
//   - Usage counts requests and tokens for the team;
//   - Attempt waits for a slot at an endpoint, makes attempts there and forwards
//     the response.
//
// Other chains find the service with Route instead of Service, enforce the limits
// in the configuration with Limits, or, where no attempt is made, stop a request
// with StopOnRevocation when its key becomes invalid.
//
// Each filter either calls the next handler or returns an error. Errors are
// *code.Error values; Entry turns them into the response. If part of a response
// has already been sent, an error aborts the connection instead, so that a
// truncated response never looks complete.
//
// The policies are in packages without I/O and goroutines (outcome, fairqueue,
// route, limit, retry, poison); dispatch and this package add both.
package filter
