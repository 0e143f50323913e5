// Package fairqueue implements a queue of waiting requests that shares a
// service fairly between teams.
//
// Teams share by weight and by cost (tokens, or another unit that the caller
// chooses), not by the number of requests. The algorithm is start-time fair
// queueing (Goyal, Vin, Cheng 1996) with one first-in first-out list for each
// team. A team is charged when its request is dequeued, so a request that is
// cancelled while it waits costs nothing. Done corrects the charge to the
// actual cost. Interactive requests have priority over rollout requests, which
// are guaranteed a minimum share.
//
// A request is refused immediately if its team's list is full or its estimated
// wait exceeds its deadline. Push, Pop, Cancel and Done take time
// proportional to the logarithm of the number of teams.
//
// The package is pure: it starts no goroutines, reads no clock and does no I/O.
// A Queue is not safe for concurrent use.
package fairqueue
