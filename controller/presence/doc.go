// Package presence finds the instances of a system whose only meeting place is
// the platform's table.
//
// Every instance writes a row of its own once a period, and reads all of them.
// An instance counts as alive while its row goes on changing, by the reader's
// own clock; the times of two instances are never compared. While the table
// does not answer nobody is taken for dead.
//
// The rows also tell what an instance has in flight at each endpoint, so that
// the others can count it in, how large it is, and what teams use there while
// requests wait elsewhere.
package presence
