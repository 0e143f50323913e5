package dispatch

const (
	// warmMargin is the part of its capacity by which an endpoint may be busier
	// than others and is still preferred for its open connection.
	warmMargin = 0.25
	// maxWarm bounds the endpoints that are looked at for an open connection. Each
	// instance looks at the same ones again and again, so that of many endpoints it
	// keeps using a few.
	maxWarm = 32
)

// preferWarm prefers the endpoints to which a connection is open, unless others are
// preferred already: to open one takes longer, and the endpoint's work.
func (c *candidates) preferWarm() {
	if len(c.holders) > 0 || len(c.list) == 0 {
		return
	}
	first := c.d.first % len(c.list)
	for k := range min(len(c.list), maxWarm) {
		at := (first + k) % len(c.list)
		if c.d.opt.Warm(c.list[at].Addr) > 0 {
			c.holders = append(c.holders, at)
			c.margin = warmMargin
		}
	}
}
