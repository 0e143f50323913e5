// Package infra describes what the surrounding platform gives: a
// transactional table, an object store, a lagging list of instances, orders
// for endpoints and usage reports.
//
// Everything that must outlive an instance, or that instances must agree on,
// goes through these interfaces; instances themselves keep nothing. Each call
// can fail in three ways that callers must tell apart: it definitely had no
// effect (ErrConflict, ErrUnavailable, ErrNotFound), or its outcome is unknown
// (ErrUnknownOutcome) because the answer was lost after the request may have
// been executed.
//
// Package httpapi holds the client for the platform's HTTP interface.
package infra
