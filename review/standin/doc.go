// Package standin has stand-ins for the users' platform, for its replicas and for
// its trainers, and starts the daemon's processes, for the cases of the review.
//
// The stand-ins behave as the users' pages describe. They listen on loopback
// addresses only.
package standin
