// Package presence tracks the live instances of a system through rows in the
// platform's table, for systems whose instances can find each other only there.
//
// Every instance writes its own row once per period and reads all rows. An
// instance counts as alive while its row keeps changing, measured by the
// reader's own clock; the clocks of two instances are never compared. While the
// table is unavailable, no instance is declared down.
//
// A row also contains the number of requests that the instance has in flight at
// each endpoint, so that other instances include them in the endpoint's load; the
// size of the instance; the rollout steps that it runs; the services for which requests wait at it; and the usage
// by teams, at this instance, of the services for which requests wait at other
// instances.
package presence
