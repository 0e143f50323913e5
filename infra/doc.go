// Package infra defines the interfaces to the surrounding platform: a
// transactional table, an object store, a list of instances that may be out of
// date, orders for endpoints, and usage reports.
//
// All data that must outlive an instance, or on which instances must agree, is
// stored through these interfaces. Instances themselves store nothing durably.
// Callers must distinguish the failures of a call: either it definitely had no
// effect (ErrConflict, ErrUnavailable, ErrNotFound), or its outcome is unknown
// (ErrUnknownOutcome) because the response was lost and the request may have
// been executed.
//
// There are two kinds of platforms. Platform contains the interfaces of one that
// is configured through the system's own operators' interface, and Managed those
// of one whose operators write to its store.
//
// Package httpapi contains the client for the HTTP interface of a Platform.
package infra
