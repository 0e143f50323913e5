// Package route chooses an endpoint for a request.
//
// Load reports are delayed. If each instance chose the endpoint with the lowest
// reported load, all would send to the same one. So a choice draws a few random
// candidates and returns the least loaded of them, according to the last report
// corrected by the requests sent since. Endpoints of the local data centre are
// preferred while one of them has room. Endpoints that fail repeatedly are
// ejected for a time, but at most a fixed part of the endpoints of a service.
//
// The package is pure: it starts no goroutines, reads no clock and does no I/O.
// Random numbers are passed in.
package route
