// Package keys withdraws keys, also while the store is unavailable.
//
// Withdrawals are only ever added, so a withdrawal needs no agreement. The
// instance that receives the request refuses the key immediately, stops the
// requests that use it, and starts exchanges that distribute the withdrawal to
// the other instances. The withdrawal is in force when a majority of the member
// list has it, because an instance that can't reach any of these members stops
// being fresh; see package freshness. It is durable when it is committed to the
// configuration. Any instance that has the withdrawal commits it as soon as the
// store is available.
package keys
