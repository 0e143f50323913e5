// Package dedup decides whether a request may run that its caller may have
// sent before. The state of a request ID is one row in a transactional table.
//
// Claim and Finish are pure state machines for one request. Claim returns
// conditional writes and reads for the caller to perform, until the request
// owns the row or the row of another request is found. Finish records the
// result of the request. GenerationTracker is a state machine for the expiry of
// rows. The caller does the I/O for all of them. All times are boot times of
// the host of the caller. Times of two hosts are never compared, except
// Row.Until, which only decides how a duplicate is described to its caller.
//
// The following rules prevent two requests with one ID from running:
//
//   - A request runs only after it has confirmed that a row with its nonce was
//     written. A write whose response was lost confirms nothing until a read
//     returns the row.
//   - Each write is conditional on the version that it was decided on, and rows
//     are not deleted while they are valid, so a write that arrives late has no
//     effect.
//   - A row is released only if its request was certainly not run. A row whose
//     owner has terminated means "may have run" for as long as it is valid.
//   - A row belongs to a generation, and is valid in it and in the next one. A
//     claim is conditional on its generation being the newest one, and on the
//     previous generation having no row of the ID, or a released one. A
//     generation is ended only by a process that has observed it as the newest
//     one for the promised time (see Retention), so a row is valid for at least
//     that long.
//   - A request is not sent to an endpoint after the promised time, less a
//     margin for clocks of different rates.
package dedup
