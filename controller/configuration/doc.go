// Package configuration keeps this instance's configuration in step with the
// store, commits operators' changes, and determines whether the configuration
// is fresh and which version is in force at all instances.
//
// The store has a head row with the newest version, and a log row and an audit
// row for each change. All three are written in one transaction that checks the
// head. An instance's State is the result of applying the log's changes in
// order, so two instances at the same version have the same State. Complete
// States are written periodically to the object store as snapshots, and log rows
// that the second-newest snapshot covers are deleted: see snapshot.go and
// snapshot_write.go.
//
// A change reaches the other instances through the exchanges between them: an
// instance that receives a higher version fetches the State from the peer that
// reported it, and reads the store only occasionally.
//
// The configuration contains a member list of up to MaxMembers instances. An
// instance is fresh while a majority of these members reports that they have no
// newer version; package freshness has the exact rules. The instances maintain
// the list themselves, without an operator: see members.go.
package configuration
