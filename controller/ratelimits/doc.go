// Package ratelimits keeps this instance to the rate limits that endpoints name in
// their answers, together with the other instances.
//
// The Controller is the shell around a ratelimit.Node. It reads limits from answers,
// exchanges them with other instances as rows of the platform's table, and exchanges
// permits with the endpoints' coordinators in calls between instances. The request
// path calls Any, Usable, Take, Request, Recheck and Wait, which never block on I/O.
package ratelimits
