// Package lease implements a lease on a duty. The lease is stored as one row in
// a transactional table, and only its holder may perform the duty's operations.
//
// Machine is a pure state machine. It requests reads and conditional writes of
// the row and receives their results; the caller does the I/O. All times are
// the boot time of the computer that runs the Machine (CLOCK_BOOTTIME, which
// also advances while the computer is suspended). Times of two computers are
// never compared.
//
// The following rules prevent two holders at the same time:
//
//   - A holder's term is counted from before the write that acquired or renewed
//     it, and only after that write is confirmed. By the holder's clock, the
//     term therefore ends before Duration has passed since the row changed.
//   - A write whose response was lost renews nothing until a read returns the
//     row with the write's nonce.
//   - A candidate writes only after it has observed the row unchanged for
//     Duration, plus the maximum drift between two clocks, plus the longest
//     time an operation can still be in progress after its last check.
//   - Every write is conditional on the version of the row that the decision
//     to write was based on.
//
// Guard and its connections repeat the check until immediately before bytes are
// passed to the kernel. What they can't exclude is a pause between that check
// and the kernel's send. Config.ActTime does not cover such a pause; a receiver
// that compares epochs does.
//
// The row must never be deleted, because its epoch would start from zero again.
package lease
