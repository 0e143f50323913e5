// Package freshness decides whether an instance may use the configuration that
// it has installed. It needs no consensus group, and it works while the store is
// unavailable.
//
// A configuration has a member list and a version that never decreases. Three
// types track it:
//
//   - Reader determines whether this instance is fresh. An instance is fresh if
//     a majority of the member list has reported, no longer ago than the bound
//     in the instance's own boot time, that it had no newer version. While the
//     list is empty, a read of the store replaces the reports.
//   - Tracker determines which version is in force everywhere: a majority of
//     the version's member list has had it for the bound, so no instance with a
//     lower version is fresh.
//   - Quorum determines when a fact that is not in the store yet, such as the
//     withdrawal of a key, is stored by a majority of the members, so that it
//     survives the replacement of single members.
//
// The time of a report is the time at which the reader started the exchange
// that returned it, less the age that the sender stated. A pushed message may be
// arbitrarily old, so it never makes a Reader fresh. It may be passed to a
// Tracker, because a member never goes back to a lower version.
//
// A replaced instance has lost its state. It vouches, which means that its own
// report counts, only after two steps. It must have read the store since its
// start, which returns every version that its predecessor can have confirmed.
// And it must have exchanged messages with a majority of the members, which
// returns every fact that a Quorum has counted.
//
// The member list may change by one member at a time, and only when the previous
// change of the list is in force, so that the majorities of consecutive lists
// intersect; see CheckListChange.
//
// The package has no goroutines and reads no clock. All times are boot times
// of the calling instance.
package freshness
