// Package deduplication performs the I/O for the state machines of package dedup:
// it claims rows of the platform's table for requests, records the outcomes of
// the requests, and deletes expired rows.
//
// A claim takes one transaction; claims that wait at the same time share one. The
// outcome of a request is recorded after its answer; records that wait at the
// same time share a transaction, too.
package deduplication
