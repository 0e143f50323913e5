// Package poison contains requests that crash the endpoint that runs them and
// that their caller sends again, to this instance or another.
//
// A request is known by its Fingerprint: its team and its content. When an
// endpoint crashes, everything that ran there becomes suspect. A suspect runs
// alone at an endpoint, so that the next crash is attributed to it and to
// nothing else. One that was lost with two endpoints waits for a pause before it
// runs again, so that a burst of crashes blames nobody who was hit twice; after
// the third crash it is refused for a time. A neighbour in a crash is only ever
// refused if it crashes an endpoint alone as well, and is cleared by its first
// whole answer. When two suspects were alone, as far as their instances knew, at
// the same endpoint at about the same time, neither is blamed.
//
// An endpoint that lost a request has crashed if it takes no new connections
// then. Otherwise it may turn out later: its entry lapses, or it is found to have
// started anew. Until then the loss is unconfirmed. Such losses blame nobody, but a
// request that was lost at three endpoints waits for a pause as well.
//
// Losses spread between instances as Rumours, which may arrive late, twice and
// in any order.
//
// The package is pure: no goroutines, no clock, no I/O. A Table needs a lock
// around it when goroutines share it.
package poison
