// Package dispatch assigns work to endpoints and queues it while no endpoint has
// room.
//
// It adds state, clocks and goroutines to the pure packages fairqueue, limit and
// route. Acquire waits in the queue of the service until an endpoint with room
// has been chosen. The caller releases the returned Slot with the result of the
// attempt. Caller requests and rollout work go through the same queues, so a
// single order applies to both.
//
// While no work is queued, Acquire takes no lock.
package dispatch
