// Package view contains the read-copy-update snapshot of the state that request
// handling reads: configuration, endpoints, members and withdrawn keys.
//
// Controllers are the only writers. A reader loads one View without a lock and
// uses it for a complete decision. A View is immutable once it is published. The
// values that change with every request, such as the number of requests in
// flight at an endpoint, are atomics that successive Views share.
package view
