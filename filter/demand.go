package filter

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// retired is the value of a counter that is being removed from the map and must
// not be used. It is so far below zero that the counter stays negative however
// often concurrent requests increment it.
const retired = -1 << 40

// Demand counts the requests of each service that are queued or running at this
// instance. The zero value is ready for use.
type Demand struct {
	services sync.Map // service to *atomic.Int64
}

// ServeHTTP counts the request until it ends.
func (d *Demand) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	defer d.enter(r.Service.Name).Add(-1)
	return next.ServeHTTP(w, r)
}

// enter increments the service's counter and returns it.
func (d *Demand) enter(service string) *atomic.Int64 {
	for {
		n, ok := d.services.Load(service)
		if !ok {
			n, _ = d.services.LoadOrStore(service, new(atomic.Int64))
		}
		if counter := n.(*atomic.Int64); counter.Add(1) > 0 {
			return counter
		}
		d.services.CompareAndDelete(service, n)
	}
}

// Counts returns the number of requests of each service, and removes the counters
// of services without requests.
func (d *Demand) Counts() map[string]int {
	counts := map[string]int{}
	d.services.Range(func(service, n any) bool {
		counter := n.(*atomic.Int64)
		if requests := counter.Load(); requests > 0 {
			counts[service.(string)] = int(requests)
		} else if counter.CompareAndSwap(0, retired) {
			d.services.CompareAndDelete(service, n)
		}
		return true
	})
	return counts
}
