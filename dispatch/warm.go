package dispatch

const (
	// warmMargin is the fraction of its capacity by which an endpoint may be
	// busier than others and still be preferred for its idle connection.
	warmMargin = 0.25
	// maxWarm bounds the endpoints that are checked for an idle connection. An
	// instance always checks the same ones, so that with many endpoints it keeps
	// using a few of them.
	maxWarm = 32
)

// preferWarm prefers the endpoints to which an idle connection is open, because
// opening one takes time and costs the endpoint work. It does nothing if other
// endpoints are preferred already.
func (c *candidates) preferWarm() {
	if len(c.preferredPositions) > 0 || len(c.list) == 0 {
		return
	}
	first := c.d.warmOffset % len(c.list)
	for k := range min(len(c.list), maxWarm) {
		at := (first + k) % len(c.list)
		if c.d.opt.IdleConnections(c.list[at].Addr) > 0 {
			c.preferredPositions = append(c.preferredPositions, at)
			c.margin = warmMargin
		}
	}
}
