// Package leases runs package lease on the platform's table. It has a Runner for
// each duty, and a Manager that decides for which duties this instance is a
// candidate.
//
// A duty is a task that one instance at a time performs, in one data centre or
// for the whole system. Duties are distributed over the live members by
// rendezvous hashing: for each duty every instance ranks the members by a hash
// of the duty and the member. The first member is the preferred holder, the first
// few are candidates, and no other instance reads the row. While instances have
// different member lists, they rank differently. This costs a handoff but is
// safe, since only the row determines the holder.
//
// An operation under a lease looks like this:
//
//	err := runner.Do(ctx, func(ctx context.Context, epoch uint64) error {
//		return endpoints.Order(ctx, order(epoch))
//	})
//
// Its context ends before the term does, and the lease is not released while
// the operation is in progress.
package leases
