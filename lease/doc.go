// Package lease implements the lease on a duty, a task that one process at a
// time performs. The lease is stored as one row in a transactional table, and
// only its holder may perform the duty's operations.
//
// Machine is a pure state machine. It requests reads and conditional writes of
// the row and receives their results; the caller does the I/O. All times are
// the boot time of the computer that runs the Machine (CLOCK_BOOTTIME, which
// also advances while the computer is suspended). Times of two computers are
// never compared.
//
// The following rules prevent two holders at the same time:
//
//   - A holder's term is counted from the time at which it requested the write
//     that acquired or renewed the lease, and is valid only after that write is
//     confirmed. By the holder's clock, the term therefore ends before Duration
//     has passed since the row changed.
//   - A write whose response was lost neither starts nor extends a term until a
//     read returns the row with the write's nonce.
//   - A candidate takes over a lease that was not released only after it has
//     observed the row unchanged for Duration, plus the maximum drift between
//     two clocks, plus the longest time an operation can still be in progress
//     after its last check. Config.AllowSelfTakeover makes an exception.
//   - Every write is conditional on the version of the row that the decision
//     to write was based on.
//
// Guard.Check checks the term during an operation, and a Conn repeats the check
// immediately before bytes are passed to the kernel. A pause between this last
// check and the kernel's send cannot be excluded. Config.MaxOperationTime does
// not cover such a pause; a receiver that refuses older epochs does.
//
// The row must never be deleted, because its epoch would start from zero again.
package lease
