// Package ratelimit shares the rate limits that endpoints name among instances.
//
// An endpoint may name in its answers how many requests per second it takes from
// all instances together. A Table records these limits.
//
// The package has no goroutines, clocks or I/O. Times are boot times. Its types
// need a lock if several goroutines share them.
package ratelimit
