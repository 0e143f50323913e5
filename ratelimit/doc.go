// Package ratelimit lets instances keep together to the rate limits that endpoints
// name.
//
// An endpoint may name in its answers how many requests per second it takes from
// all instances together. Each such endpoint has one coordinator, an instance that
// rendezvous hashing selects among the members. The coordinator issues permits at
// the endpoint's rate, and an instance needs one for each request to the endpoint.
// A permit is valid for a short time only, so those of an instance that stops are
// soon void. An instance that reaches no coordinator sends nothing to the endpoint.
//
// Two instances must never coordinate an endpoint at the same time. All of them
// read the members from one linearizable table. An instance therefore coordinates
// only while its list of members is recent (maxMembersAge), and only after it was
// the selected one for longer than any other instance can go on with an older list
// (takeoverDelay).
//
// A Node is the part of one instance. It combines four state machines: a Table
// records the limits, an office decides which endpoints the instance coordinates, a
// budget schedules the permits of one endpoint, and holdings are the permits that
// the instance has. The package has no goroutines, clocks or I/O. Times are boot
// times. A Node needs a lock if several goroutines share it.
package ratelimit
