// Package config defines the configuration that operators edit: teams, keys,
// services, endpoints and members, each with labels, and the versioned changes
// that transform one State into the next.
//
// A State is immutable once published; Apply returns a new one. Each change
// increments the version by one. The store contains the log of changes and
// occasional snapshots of a complete State. The State of a version is therefore
// always the result of applying the log up to that version.
package config
