// Package poison detects requests that crash the endpoint that runs them, and
// limits the damage when their caller retries them, at this instance or another.
//
// A request is identified by its Fingerprint: its team and its content. It is
// lost if the endpoint to which it was sent returns no complete answer. When an
// endpoint crashes, all requests that ran there become suspects. A suspect runs
// in isolation at an endpoint, so that the next crash can be attributed to it
// alone. A suspect that was lost at two endpoints waits for a pause before it
// runs again, so that a harmless request that was hit twice in a burst of
// crashes is not refused. After the third crash the suspect is refused for a
// time. A request that only ran next to the cause of a crash is refused only if
// it also crashes an endpoint in isolation, and is cleared by its first
// complete answer. Two instances may each run a suspect in isolation at the
// same endpoint at about the same time, before either learns of the other run.
// A crash then does not count as an isolated one for either suspect.
//
// An endpoint that lost a request is taken to have crashed if it accepts no new
// connections at that time. Otherwise the crash may be detected later: the
// endpoint's entry expires, or the endpoint is found to have restarted. Until
// then the loss is unconfirmed. Unconfirmed losses do not make a request a
// suspect, but a request that was lost at three endpoints waits for a pause as
// well.
//
// Instances exchange losses as messages of type LossReport, which may arrive
// late, twice and in any order.
//
// The package is pure: it starts no goroutines, reads no clock and does no I/O.
// A Table is not safe for concurrent use.
package poison
