// Package window adds up usage per team in time windows, and freezes the totals
// of each window so that all reports of it are equal.
//
// Tally runs in every instance. It keeps one row for each window and process
// (incarnation), called a part: the usage that the process counted in the
// window. The row contains totals, not increments, so that a write may be
// repeated. Sealer runs in the one process that is in charge: the one that holds
// the lease for sealing windows. To seal a window is to close it and to freeze
// its totals.
//
//  1. It closes all windows before a time by writing the Closed row. A Tally's
//     write succeeds only if that row still has the version that the Tally last
//     read, so no write can reach a closed window.
//  2. It adds up the rows of the oldest closed window and freezes the sum in the
//     window's own row. The same transaction advances the cursor.
//  3. It reads the frozen row, reports it until a report succeeds, and advances
//     the cursor.
//
// A Tally that finds a window closed reads how much of its own row was counted.
// It adds the remaining usage to the current window and marks it late. Usage
// that a process did not write before it died is lost. No other usage is lost,
// and none is counted twice.
//
// Both types are pure state machines: Next returns a call to make, and Step
// handles its result. A window is identified by its start in Unix seconds. Wall
// clocks only determine the window that usage is counted in, so a difference
// between clocks makes usage late but never makes the totals wrong.
package window
